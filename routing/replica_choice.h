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

/// Which limit keeps an available target from getting one more request.
enum class full_reason : std::uint8_t {
    InFlight, ///< The limit of requests in flight from this instance.
    Connections, ///< This instance's share of the target's connections.
    ColdStart, ///< The rate of requests that a cold target bears.
};

std::string_view nameOf(full_reason reason);

/// Input for the choice: state of one replica.
struct replica_view
{
    const target_health *health = nullptr;
    unsigned slots = 1;
    bool isLocal = false; ///< In the data centre of this instance.
    bool isStale = false; ///< Its registration has disappeared; last choice.
    bool isTried = false; ///< An earlier attempt of this request may have run there.
    bool hasRefused = false; ///< An earlier attempt was refused and didn't run; retried only when no other replica is left.
    bool isUnreachable = false; ///< Its whole data centre is unreachable from this instance.
    bool hasCapacity = false; ///< May get one more request within the limits of requests in flight, connections and cold start.
    full_reason fullReason = full_reason::InFlight; ///< Valid unless hasCapacity.
    std::chrono::milliseconds warmupLeft{0};
    bool isSavingLimit = false; ///< Its request limit is not used up, but a request that is not sent now can be sent later, when other replicas are late.
    target_health::clock::time_point limitedUntil{}; ///< When its request limit, or a pause that it asked for, lets this instance send the next request.
};

/// Why no replica was chosen.
enum class no_replica : std::uint8_t {
    NoneLeft, ///< No replica is known, or all were tried.
    AllUnavailable, ///< All replicas left are backed off or in unreachable data centres.
    AllLimited, ///< All replicas left that are available have named a request limit that is used up, or asked for a pause.
    AllFull, ///< At least one replica left is available but has no capacity for a request from this instance.
};

std::string_view nameOf(no_replica reason);

struct replica_decision
{
    std::optional<std::size_t> chosen; ///< Index into the views.
    std::chrono::microseconds expected{0}; ///< Expected latency of the chosen replica.
    no_replica reason = no_replica::NoneLeft; ///< Valid when none was chosen.
    full_reason fullReason = full_reason::InFlight; ///< Of the last full replica; valid for AllFull.
    target_health::clock::time_point retryAt{}; ///< Earliest retry of an unavailable or limited replica; valid for AllUnavailable and AllLimited.
};

/// Chooses the replica with the lowest expected latency; prefers the local data centre unless a remote replica is clearly faster. typical: median latency
/// of such requests over all targets. The random number in 0 to 1 breaks ties, so that instances with the same state don't all choose the same replica.
/// The choice avoids paused, slow, refusing and failing targets and evens out queues at targets with few slots. Precondition: each view has a health.
replica_decision
chooseReplica(const std::vector<replica_view> &replicas, std::chrono::microseconds typical, target_health::clock::time_point now, double random);

} // namespace balsamhook
