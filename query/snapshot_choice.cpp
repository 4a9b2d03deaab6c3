#include "query/snapshot_choice.h"

#include <algorithm>
#include <map>

namespace balsamhook
{

namespace
{

/// Distinct snapshots of the configured layout that usable replicas of the shard hold.
std::vector<snapshot> snapshotsOf(const shard_layout &shard, std::uint64_t layoutEpoch, const target_view &targets)
{
    std::vector<snapshot> held;
    for (const replica &candidate : shard.replicas) {
        const target_report *report = candidate.usable ? targets.report(candidate.target) : nullptr;
        if (report == nullptr || !report->usable) {
            continue;
        }
        for (const snapshot &item : report->snapshots) {
            if (item.layoutEpoch == layoutEpoch && std::find(held.begin(), held.end(), item) == held.end()) {
                held.push_back(item);
            }
        }
    }
    return held;
}

} // namespace

std::optional<snapshot_choice> chooseSnapshot(const service_layout &service, const target_view &targets, std::optional<snapshot> newerThan)
{
    std::map<snapshot, std::size_t> shardsBySnapshot;
    for (const shard_layout &shard : service.shards) {
        for (const snapshot &held : snapshotsOf(shard, service.layoutEpoch, targets)) {
            ++shardsBySnapshot[held];
        }
    }
    std::optional<snapshot_choice> best;
    for (const auto &[candidate, shards] : shardsBySnapshot) {
        const bool allowed = !newerThan || candidate > *newerThan;
        // The map is ordered by age, so an equal number of shards prefers the newer snapshot.
        if (allowed && (!best || shards >= best->shards)) {
            best = snapshot_choice{candidate, shards};
        }
    }
    return best;
}

} // namespace balsamhook
