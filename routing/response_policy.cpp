#include "routing/response_policy.h"

#include <algorithm>
#include <cmath>

namespace balsamhook
{

namespace
{

constexpr double HedgePercentileFactor = 1.2;
constexpr double ShortestHedgeMedians = 1.5;

} // namespace

std::size_t partsNeeded(std::size_t shards, double minimumCoverage)
{
    constexpr double RoundingError = 1e-9;
    const double needed = std::ceil(static_cast<double>(shards) * minimumCoverage - RoundingError);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, needed)));
}

gather_verdict decideGather(const gather_progress &progress, bool isObjectiveOver)
{
    const std::size_t needed = partsNeeded(progress.shards, progress.minimumCoverage);
    if (progress.parts == progress.shards) {
        return gather_verdict::Answer;
    }
    if (progress.parts + progress.pending < needed) {
        return gather_verdict::Fail;
    }
    const bool isEnough = progress.parts >= needed;
    if (isEnough && (isObjectiveOver || progress.pending == 0)) {
        return gather_verdict::Answer;
    }
    return gather_verdict::Wait;
}

bool isShardSkipped(const shard_load &load)
{
    const std::size_t mayMiss = load.shards - partsNeeded(load.shards, load.minimumCoverage);
    // Half of what may be missing is kept for shards that turn out late only while they are waited for.
    const std::size_t maySkip = (mayMiss + 1) / 2;
    return load.timeLeft.count() > 0 && load.expected > load.timeLeft && load.skipped < maySkip;
}

std::chrono::microseconds hedgeDelay(const latency_window &latency, std::chrono::milliseconds objective, double longestShare)
{
    const double longest = std::chrono::duration<double, std::micro>(objective).count() * longestShare;
    const double shortest = static_cast<double>(latency.median().count()) * ShortestHedgeMedians;
    const double wanted = static_cast<double>(latency.percentile90().count()) * HedgePercentileFactor;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::min(std::max(wanted, shortest), longest)));
}

} // namespace balsamhook
