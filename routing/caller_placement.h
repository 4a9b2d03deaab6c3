#pragma once

#include "base/base.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// An instance that callers may be directed to.
struct placement_candidate
{
    std::string instance;
    std::string dataCentre;
    endpoint callers; ///< Address for callers.
    bool isSender = true; ///< False for a standby instance.
    bool isImpaired = false; ///< At least one route can't be served because of unreachable data centres.
    bool isAlive = true; ///< False for a peer that was alive recently.
};

/// Input for the placement of the callers of one data centre.
struct placement_request
{
    std::string callerDataCentre;
    std::map<std::string, std::size_t> targetsOfDataCentre; ///< Number of ready targets by data centre.
    std::size_t maxAddresses = 64;
    std::string localDataCentre; ///< Of this instance.
    bool isStoreReachable = true; ///< From this instance.
};

/// Returns the addresses of the instances that callers of one data centre connect to: in the callers' data centre when it has enough targets and instances,
/// else in the data centres with enough targets, else anywhere. Sub-queries then stay inside one data centre where possible. Senders that can serve every
/// route are preferred over impaired senders, and these over standby instances, also when they are in another data centre. When the local data centre seems
/// to be cut off from the others, the peers that were alive recently are added, because callers may still reach them. The list isn't empty when a candidate
/// is alive and maxAddresses is above 0. Directing callers matters because a query costs its sender one message for each shard, and because callers must
/// not stay at instances that can't reach the shards.
std::vector<endpoint> placeCallers(const std::vector<placement_candidate> &candidates, const placement_request &request);

} // namespace balsamhook
