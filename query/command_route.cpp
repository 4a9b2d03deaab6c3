#include "query/command_route.h"

#include "base/base.h"

namespace balsamhook
{

std::uint64_t bucketOfKey(std::string_view key)
{
    return stableHash(key) % CommandBuckets;
}

std::optional<command_route> routeCommand(const service_layout &service, const target_view &targets, std::string_view key)
{
    const std::uint64_t bucket = bucketOfKey(key);
    std::optional<command_route> best;
    std::uint64_t bestWeight = 0;
    for (const shard_layout &shard : service.shards) {
        for (const replica &candidate : shard.replicas) {
            const std::string *owner = targets.owner(candidate.target);
            if (!candidate.usable || owner == nullptr || !targets.isUsable(candidate.target)) {
                continue;
            }
            const std::uint64_t weight = stableHash(candidate.target, bucket);
            if (!best || weight > bestWeight) {
                best = command_route{candidate.target, *owner};
                bestWeight = weight;
            }
        }
    }
    return best;
}

} // namespace balsamhook
