#include "routing/response_policy.h"

#include <algorithm>
#include <cmath>

namespace balsamhook
{

namespace
{

constexpr double HedgePercentileFactor = 1.2;
constexpr double MinHedgeMedianFactor = 1.5;

} // namespace

std::size_t partsNeeded(std::size_t shards, double minimumCoverage)
{
    constexpr double RoundingError = 1e-9;
    const double needed = std::ceil(static_cast<double>(shards) * minimumCoverage - RoundingError);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, needed)));
}

gather_decision decideGather(const gather_progress &progress, bool isObjectiveOver)
{
    const std::size_t needed = partsNeeded(progress.shards, progress.minimumCoverage);
    if (progress.parts == progress.shards) {
        return gather_decision::Respond;
    }
    if (progress.parts + progress.pending < needed) {
        return gather_decision::Fail;
    }
    const bool isCovered = progress.parts >= needed;
    if (isCovered && (isObjectiveOver || progress.pending == 0)) {
        return gather_decision::Respond;
    }
    return gather_decision::Wait;
}

bool isShardSkipped(const shard_load &load)
{
    const std::size_t maxMissing = load.shards - partsNeeded(load.shards, load.minimumCoverage);
    // The other half of the shards that may be missing is reserved for those that turn out late after the send.
    const std::size_t maxSkipped = (maxMissing + 1) / 2;
    return load.timeLeft.count() > 0 && load.expected > load.timeLeft && load.skipped < maxSkipped;
}

std::chrono::microseconds hedgeDelay(const latency_window &latency, std::chrono::milliseconds objective, double maxObjectiveShare)
{
    const double maximum = std::chrono::duration<double, std::micro>(objective).count() * maxObjectiveShare;
    const double minimum = static_cast<double>(latency.median().count()) * MinHedgeMedianFactor;
    const double preferred = static_cast<double>(latency.percentile90().count()) * HedgePercentileFactor;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::min(std::max(preferred, minimum), maximum)));
}

} // namespace balsamhook
