#pragma once

#include "routing/latency_window.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsamhook
{

/// How far a query over many shards has come.
struct gather_progress
{
    std::size_t shards = 0;
    std::size_t parts = 0; ///< Shards whose part is in.
    std::size_t pending = 0; ///< Shards that may still bring a part.
    double minimumCoverage = 0;
};

enum class gather_verdict : std::uint8_t {
    Wait,
    Answer, ///< With the parts that are in.
    Fail, ///< The minimum coverage can't be reached any more.
};

/// Decides whether a query is answered now. Complete answers go out at once; partial ones once the time is up in which callers want the answer, if
/// they cover enough. A partial answer in time is worth more to a caller than a complete one that is late.
gather_verdict decideGather(const gather_progress &progress, bool isObjectiveOver);

/// What is weighed before a sub-query is sent.
struct shard_load
{
    std::chrono::microseconds expected{0}; ///< Until the best replica would answer.
    std::chrono::microseconds timeLeft{0}; ///< Until the query is answered with what is in.
    std::size_t skipped = 0; ///< Shards that this query already leaves out.
    std::size_t shards = 0;
    double minimumCoverage = 0;
};

/// True when a shard is left out because its best replica would answer too late anyway, and the query can do without it. A send would only lengthen the
/// queue there. Answers the load of a shard whose replicas have become slow: without it every query waits for that shard and asks both replicas.
bool isShardSkipped(const shard_load &load);

/// Smallest number of parts that reaches the coverage.
std::size_t partsNeeded(std::size_t shards, double minimumCoverage);

/// Time after which a second replica is asked when the first has not answered: a little above the 90th percentile, at most the given share of the
/// objective. Answers the load of targets that pause for longer than the objective.
std::chrono::microseconds hedgeDelay(const latency_window &latency, std::chrono::milliseconds objective, double longestShare);

} // namespace balsamhook
