#include "query/admission.h"

#include "base/base.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Minimum queue time of the usable replicas; no value when none is usable.
std::optional<std::chrono::microseconds> minQueueTime(const shard_layout &shard, const target_view &targets)
{
    std::optional<std::chrono::microseconds> minimum;
    for (const replica &candidate : shard.replicas) {
        if (!candidate.usable || !targets.isUsable(candidate.target)) {
            continue;
        }
        const auto expected = targets.queueTime(candidate.target);
        minimum = minimum ? std::min(*minimum, expected) : expected;
    }
    return minimum;
}

} // namespace

admission::admission(std::size_t limit)
    : m_limit(limit)
{
    BALSAM_ASSERT(limit > 0);
}

std::string_view admission::refusalReason(
    std::size_t inFlight, const service_layout &service, const target_view &targets, double minimumCoverage, std::chrono::microseconds remaining) const
{
    if (inFlight >= m_limit) {
        return "overloaded";
    }
    std::size_t usable = 0;
    std::size_t shardsInTime = 0;
    for (const shard_layout &shard : service.shards) {
        const auto expected = minQueueTime(shard, targets);
        usable += expected ? 1 : 0;
        shardsInTime += expected && *expected <= remaining ? 1 : 0;
    }
    // The query itself reports shards without a usable replica as missing, so only queue times are a reason to refuse it here.
    const bool coverageTooLow = shardsInTime == 0 || static_cast<double>(shardsInTime) < minimumCoverage * static_cast<double>(service.shards.size());
    return usable > shardsInTime && coverageTooLow ? "deadline_too_short" : "";
}

bool admission::isOverloaded(std::size_t inFlight) const
{
    return inFlight * 2 > m_limit;
}

} // namespace balsamhook
