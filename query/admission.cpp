#include "query/admission.h"

#include "base/base.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Shortest queue time among the usable replicas; no value when none is usable.
std::optional<std::chrono::microseconds> shortestQueue(const shard_layout &shard, const target_view &targets)
{
    std::optional<std::chrono::microseconds> shortest;
    for (const replica &candidate : shard.replicas) {
        if (!candidate.usable || !targets.isUsable(candidate.target)) {
            continue;
        }
        const auto expected = targets.queueTime(candidate.target);
        shortest = shortest ? std::min(*shortest, expected) : expected;
    }
    return shortest;
}

} // namespace

admission::admission(std::size_t limit)
    : m_limit(limit)
{
    BALSAM_ASSERT(limit > 0);
}

std::string_view admission::refusal(
    std::size_t running, const service_layout &service, const target_view &targets, double minimumCoverage, std::chrono::microseconds remaining) const
{
    if (running >= m_limit) {
        return "overloaded";
    }
    std::size_t usable = 0;
    std::size_t inTime = 0;
    for (const shard_layout &shard : service.shards) {
        const auto expected = shortestQueue(shard, targets);
        usable += expected ? 1 : 0;
        inTime += expected && *expected <= remaining ? 1 : 0;
    }
    // Shards without a usable replica are reported as missing by the query itself; only queues are a reason to shed.
    const bool tooFew = inTime == 0 || static_cast<double>(inTime) < minimumCoverage * static_cast<double>(service.shards.size());
    return usable > inTime && tooFew ? "deadline_too_short" : "";
}

bool admission::isOverloaded(std::size_t running) const
{
    return running * 2 > m_limit;
}

} // namespace balsamhook
