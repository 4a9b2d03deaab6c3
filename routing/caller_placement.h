#pragma once

#include "base/base.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// An instance that callers could be sent to.
struct placement_candidate
{
    std::string instance;
    std::string dataCentre;
    endpoint callers;
    bool isSender = true; ///< Runs requests as its main work.
    bool isImpaired = false; ///< Can't reach enough targets for some route.
    bool isAlive = true; ///< False: was alive a short while ago.
};

/// What decides where callers of one data centre go.
struct placement_request
{
    std::string callerDataCentre;
    std::map<std::string, std::size_t> targetsOfDataCentre; ///< Targets that are ready.
    std::size_t largestAnswer = 64;
    std::string ownDataCentre; ///< Of the instance that answers.
    bool isStoreReached = true; ///< By the instance that answers.
};

/// Chooses the instances that callers of one data centre connect to: in the callers' own data centre when it holds targets, else in the data centres
/// that do, so that sub-queries stay inside one data centre. Senders that can serve every route go before impaired ones, and these before others. An
/// instance whose data centre seems to be cut off from the others adds those that it heard there last: callers may still reach them.
/// Never returns an empty list when a candidate is alive. Answers the load of fan-out queries, each of which costs one message for each shard at the
/// instance that runs it, and of callers that stay at instances which can't reach the shards.
std::vector<endpoint> placeCallers(const std::vector<placement_candidate> &candidates, const placement_request &request);

} // namespace balsamhook
