#include "routing/replica_choice.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr double RandomSpread = 0.15; ///< Random share added to the cost to break ties.
constexpr double ColdFactor = 1.6;
/// A target of another data centre must be faster by this share of the typical latency: traffic between data centres costs money, and a small gain is
/// mostly noise.
constexpr double RemotePenalty = 0.7;
constexpr double SavedLimitPenalty = 1; ///< As a share of the typical latency.
constexpr std::chrono::microseconds RemoteRoundTrip{2000};
constexpr std::chrono::milliseconds StalePenalty{200};
constexpr std::chrono::milliseconds RefusedPenalty{100};
/// Delay before the choice is retried for an unreachable data centre.
constexpr std::chrono::milliseconds UnreachableRetryDelay{100};
constexpr double MaxRefusedShare = 0.9;

std::chrono::microseconds
costOf(const replica_view &replica, std::chrono::microseconds expected, std::chrono::microseconds typical, target_health::clock::time_point now, double random)
{
    double cost = static_cast<double>(expected.count()) * (1 + RandomSpread * random);
    // A refused request is sent again, which takes time and uses the retry budget.
    const double refused = std::min(replica.health->refusedShare(now), MaxRefusedShare);
    cost = cost / (1 - refused) + static_cast<double>(typical.count()) * refused;
    if (replica.warmupLeft.count() > 0) {
        cost *= ColdFactor;
    }
    if (replica.isSavingLimit) {
        cost += static_cast<double>(typical.count()) * SavedLimitPenalty;
    }
    if (!replica.isLocal) {
        cost += static_cast<double>(typical.count()) * RemotePenalty + static_cast<double>(RemoteRoundTrip.count());
    }
    std::chrono::microseconds total(static_cast<std::int64_t>(cost));
    total += replica.isStale ? StalePenalty : std::chrono::milliseconds(0);
    total += replica.hasRefused ? RefusedPenalty : std::chrono::milliseconds(0);
    return total;
}

/// Records a replica that can be used from the given time on. Of several reasons the decision keeps the greatest.
void recordRetry(replica_decision &decision, no_replica reason, target_health::clock::time_point at)
{
    const bool isFirst = decision.retryAt == target_health::clock::time_point{};
    decision.retryAt = isFirst ? at : std::min(decision.retryAt, at);
    decision.reason = std::max(decision.reason, reason);
}

} // namespace

std::string_view nameOf(no_replica reason)
{
    switch (reason) {
    case no_replica::NoneLeft:
        return "no_target";
    case no_replica::AllUnavailable:
        return "all_unavailable";
    case no_replica::AllLimited:
        return "all_limited";
    case no_replica::AllFull:
        return "all_full";
    }
    return "unknown";
}

std::string_view nameOf(full_reason reason)
{
    switch (reason) {
    case full_reason::InFlight:
        return "in_flight";
    case full_reason::Connections:
        return "connections";
    case full_reason::ColdStart:
        return "cold_start";
    }
    return "unknown";
}

replica_decision
chooseReplica(const std::vector<replica_view> &replicas, std::chrono::microseconds typical, target_health::clock::time_point now, double random)
{
    replica_decision decision;
    std::chrono::microseconds lowest = std::chrono::microseconds::max();
    double spread = random;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        const replica_view &replica = replicas[i];
        // Derives a different number in 0 to 1 for each replica.
        spread = spread * 7.31 + 0.17;
        spread -= static_cast<double>(static_cast<std::int64_t>(spread));
        if (replica.isTried) {
            continue;
        }
        if (replica.isUnreachable || !replica.health->isAvailable(now)) {
            recordRetry(decision, no_replica::AllUnavailable, replica.isUnreachable ? now + UnreachableRetryDelay : replica.health->availableAt());
            continue;
        }
        if (replica.limitedUntil > now) {
            recordRetry(decision, no_replica::AllLimited, replica.limitedUntil);
            continue;
        }
        if (!replica.hasCapacity) {
            decision.reason = no_replica::AllFull;
            decision.fullReason = replica.fullReason;
            continue;
        }
        const auto expected = replica.health->expectedLatency(typical, replica.slots, now);
        const auto cost = costOf(replica, expected, typical, now, spread);
        if (cost < lowest) {
            lowest = cost;
            decision.chosen = i;
            decision.expected = expected;
        }
    }
    return decision;
}

} // namespace balsamhook
