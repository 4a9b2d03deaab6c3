#pragma once

#include "configuration/configuration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// One target of a shard, with its configuration.
struct replica
{
    std::string target;
    std::string dataCentre;
    bool usable = false; ///< False when the target is leaving or its data centre is out.
};

struct shard_layout
{
    std::string shard;
    std::vector<replica> replicas;
};

/// A service with its shards and replicas, resolved once for each configuration revision.
struct service_layout
{
    std::string name;
    service_kind kind = service_kind::Query;
    std::uint64_t layoutEpoch = 1;
    std::chrono::milliseconds deadline{0};
    double minimumCoverage = 0.0; ///< 0 to 1
    std::chrono::milliseconds answerAfter{0}; ///< When to respond with partial coverage; 0: at the deadline.
    double hedgePercent = 0.0; ///< Budget for extra attempts, as a percentage of the first attempts.
    std::vector<shard_layout> shards;
};

/// Layouts by service name. A running query keeps the layout that it started with.
using service_layouts = std::map<std::string, std::shared_ptr<const service_layout>, std::less<>>;

/// Resolves the layouts of all services. Precondition: the document is valid.
service_layouts resolveLayouts(const configuration_document &document);

} // namespace balsamhook
