#pragma once

#include "routing/target_health.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// What the choice knows of one replica.
struct replica_view
{
    const target_health *health = nullptr;
    unsigned slots = 1;
    bool isLocal = false; ///< In the data centre of this instance.
    bool isLapsed = false; ///< Its registration is gone; the last choice.
    bool isTried = false; ///< This request was sent there before and may have run.
    bool hasRefused = false; ///< This request was sent there before and did not run; asked again only when no other is left.
    bool isUnreachable = false; ///< Its whole data centre doesn't answer this instance.
    bool hasRoom = false; ///< A connection is free or may be opened.
    std::chrono::milliseconds warmupLeft{0};
};

/// Why no replica was chosen.
enum class no_replica : std::uint8_t {
    None, ///< No replica is known, or all were tried.
    AllUnavailable, ///< All are left alone after failures.
    AllFull, ///< All have as many requests from this instance as they may get.
};

std::string_view nameOf(no_replica reason);

struct replica_decision
{
    std::optional<std::size_t> chosen; ///< Index into the views.
    std::chrono::microseconds expected{0}; ///< Expected latency of the chosen one.
    no_replica reason = no_replica::None; ///< Valid when none was chosen.
    target_health::clock::time_point retryAt{}; ///< When an unavailable replica may be tried again; valid for AllUnavailable.
};

/// Chooses the replica with the lowest expected latency; prefers the own data centre while that costs little. The random number in 0 to 1 breaks ties,
/// so that instances that know the same don't all choose the same replica.
/// Answers the load of pauses, slow, refusing and failing targets in a fan-out, and of uneven queues at targets with few slots.
replica_decision
chooseReplica(const std::vector<replica_view> &replicas, std::chrono::microseconds typical, target_health::clock::time_point now, double random);

} // namespace balsamhook
