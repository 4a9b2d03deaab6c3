#include "query/service_layout.h"

#include <unordered_map>

namespace balsamhook
{

namespace
{

using target_index = std::unordered_map<std::string, const target_configuration *>;

shard_layout resolveShard(const configuration_document &document, const target_index &targets, const shard_configuration &configured)
{
    shard_layout shard{configured.shard, {}};
    for (const std::string &name : configured.targets) {
        const auto found = targets.find(name);
        if (found != targets.end()) {
            shard.replicas.push_back({name, found->second->dataCentre, document.isUsable(*found->second)});
        }
    }
    return shard;
}

} // namespace

service_layouts resolveLayouts(const configuration_document &document)
{
    target_index targets;
    for (const target_configuration &target : document.targets) {
        targets.emplace(target.name, &target);
    }
    service_layouts layouts;
    for (const service_configuration &service : document.services) {
        auto layout = std::make_shared<service_layout>();
        layout->name = service.name;
        layout->kind = service.kind;
        layout->layoutEpoch = service.layoutEpoch;
        layout->deadline = service.deadline;
        layout->minimumCoverage = service.minimumCoverage;
        layout->answerAfter = service.answerAfter;
        layout->hedgePercent = service.hedgePercent;
        for (const shard_configuration &shard : service.shards) {
            layout->shards.push_back(resolveShard(document, targets, shard));
        }
        layouts.emplace(service.name, std::move(layout));
    }
    return layouts;
}

} // namespace balsamhook
