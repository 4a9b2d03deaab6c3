#pragma once

#include "routing/in_flight_limit.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace balsamhook
{

/// State of one target, derived from the requests that this instance sent to it. Pure logic; not thread-safe.
class target_health
{
public:
    using clock = std::chrono::steady_clock;
    using microseconds = std::chrono::microseconds;

    /// Sets the room at the target, on which the limit of requests in flight rests.
    void setRoom(const target_room &room);

    /// Records the send of a request. Each call is followed by exactly one call of onResponse, onRefused, onFailed, onAbandoned or onDiscarded with the same
    /// sentAt.
    void onSent(clock::time_point sentAt);

    /// Records a response; usual: latency of such requests over all targets.
    void onResponse(clock::time_point sentAt, clock::time_point now, const latency_profile &usual);

    /// Records that the target refused the request without running it: it is full or draining, or reset a new connection above its limit.
    void onRefused(clock::time_point sentAt, clock::time_point now);

    /// Records a failure: an error of the target, a lost connection, a malformed response, or an address that belongs to another target.
    void onFailed(clock::time_point sentAt, clock::time_point now);

    /// Records that the request ended without a sign of a failure, as when its response is no longer awaited. Affects the target's state only when the
    /// response was overdue.
    void onAbandoned(clock::time_point sentAt, clock::time_point now, const latency_profile &usual);

    /// Records that the request ended in a way that tells nothing about the target.
    void onDiscarded(clock::time_point sentAt);

    /// Records that no connection could be opened.
    void onUnreachable(clock::time_point now);

    /// False while the target is backed off.
    bool isAvailable(clock::time_point now) const;

    /// When isAvailable() becomes true again; a past time when it is true.
    clock::time_point availableAt() const;

    /// Expected latency of a request sent now, from the target's slowness, the requests in flight for each slot, and the rest of a pause.
    microseconds expectedLatency(microseconds typical, unsigned slots, clock::time_point now) const;

    /// True when the oldest request in flight is so late that the target is probably paused.
    bool isStalled(microseconds typical, clock::time_point now) const;

    /// Share of recent requests that the target refused, 0 to 1. Some targets refuse part of their requests without being full.
    double refusedShare(clock::time_point now) const;

    unsigned inFlight() const;

    /// Send time of the oldest request in flight; empty when there is none.
    std::optional<clock::time_point> oldestInFlight() const;

    /// True when one more request may be in flight. Some targets get slower the more requests they have queued, and would stay overloaded after the cause
    /// is gone if their queues were kept full.
    bool hasCapacity(clock::time_point now) const;

    /// True when this many more requests may be in flight. Precondition: requests is at least 1.
    bool hasCapacityFor(unsigned requests, clock::time_point now) const;

private:
    void removeInFlight(clock::time_point sentAt);
    void backOff(clock::time_point now);
    void recordRefusal(bool wasRefused, clock::time_point now);
    double slownessAt(clock::time_point now) const;

    std::vector<clock::time_point> m_sent; ///< Send times of the requests in flight.
    in_flight_limit m_limit;
    double m_slowness = 1; ///< Smoothed ratio of the target's latency to the typical latency.
    clock::time_point m_slownessAt{};
    double m_refusedShare = 0; ///< Smoothed, as of m_refusedShareAt.
    clock::time_point m_refusedShareAt{};
    unsigned m_failures = 0; ///< Consecutive.
    clock::time_point m_availableAt{};
};

} // namespace balsamhook
