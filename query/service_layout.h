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

/// One target of a shard, with what the configuration says about it.
struct replica
{
    std::string target;
    std::string dataCentre;
    bool usable = false; ///< Neither leaving nor in a data centre that is out.
};

struct shard_layout
{
    std::string shard;
    std::vector<replica> replicas;
};

/// A service as the query logic needs it, resolved once for each configuration revision.
struct service_layout
{
    std::string name;
    service_kind kind = service_kind::Query;
    std::uint64_t layoutEpoch = 1;
    std::chrono::milliseconds deadline{0};
    double minimumCoverage = 0.0;
    std::chrono::milliseconds answerAfter{0};
    double hedgePercent = 0.0;
    std::vector<shard_layout> shards;
};

/// Layouts by service name. Running queries keep the layout they started with.
using service_layouts = std::map<std::string, std::shared_ptr<const service_layout>, std::less<>>;

/// Resolves the services of a valid document.
service_layouts resolveLayouts(const configuration_document &document);

} // namespace balsamhook
