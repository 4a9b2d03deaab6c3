#pragma once

#include "routing/latency_window.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsamhook
{

/// Progress of a query.
struct gather_progress
{
    std::size_t shards = 0;
    std::size_t parts = 0; ///< Shards whose part has arrived.
    std::size_t pending = 0; ///< Shards whose part may still arrive.
    double minimumCoverage = 0;
};

enum class gather_decision : std::uint8_t {
    Wait,
    Respond, ///< With the parts that have arrived.
    Fail, ///< The minimum coverage is no longer reachable.
};

/// Decides whether a query gets its response now. A complete response is sent at once, a partial one when the objective is over and the minimum coverage
/// is reached: a partial response in time is worth more to callers than a complete one that is late.
gather_decision decideGather(const gather_progress &progress, bool isObjectiveOver);

/// Input for the decision whether to send a sub-query to a shard.
struct shard_load
{
    std::chrono::microseconds expected{0}; ///< Expected latency of the best replica.
    std::chrono::microseconds timeLeft{0}; ///< Until the query gets its response with the parts that have arrived.
    std::size_t skipped = 0; ///< Shards that this query has already skipped.
    std::size_t shards = 0;
    double minimumCoverage = 0;
};

/// True when a shard is skipped: its best replica would respond too late, and the query has skipped fewer than half (rounded up) of the shards that may be
/// missing at the minimum coverage. False when no time is left. A send would only lengthen the queue there. Without skipping, every query waits for a shard
/// whose replicas are slow and sends to both of them.
bool isShardSkipped(const shard_load &load);

/// Minimum number of parts that reaches the coverage; at least 1.
std::size_t partsNeeded(std::size_t shards, double minimumCoverage);

/// Delay before a hedge is sent to a second replica: slightly above the 90th percentile and well above the median, but at most the given share of the
/// objective, so that a hedge still helps when targets pause for longer than the objective.
std::chrono::microseconds hedgeDelay(const latency_window &latency, std::chrono::milliseconds objective, double maxObjectiveShare);

} // namespace balsamhook
