#pragma once

#include "routing/latency_window.h"

#include <chrono>
#include <cstddef>

namespace balsamhook
{

/// Room at a target, as far as it is known without asking it.
struct target_room
{
    unsigned slots = 1; ///< Requests that the target processes concurrently; at least 1.
    unsigned senders = 1; ///< Instances that send to the target; at least 1.
};

/// Limits the requests in flight from one instance to one target. The limit shrinks on evidence of a queue, a run of slow responses that the spread of the
/// requests' work hardly explains, or a refusal; it grows back with time, however few requests there are. Slow responses don't shrink it below the instance's
/// equal share of the target's slots. Pure logic; not thread-safe.
class in_flight_limit
{
public:
    using clock = std::chrono::steady_clock;

    /// Sets the room; keeps the evidence so far. Preconditions: slots and senders are at least 1.
    void setRoom(const target_room &room);

    /// Records the latency of a response, or of a request that has got none yet. inFlight: requests in flight, this one included.
    void onLatency(clock::time_point sentAt, clock::time_point now, const latency_profile &usual, std::size_t inFlight);

    /// Records that the target refused a request because it is full. inFlight: requests in flight, this one included.
    void onRefused(clock::time_point sentAt, clock::time_point now, std::size_t inFlight);

    bool permits(std::size_t inFlight, clock::time_point now) const;

    /// Returns the limit; at least 1.
    double at(clock::time_point now) const;

private:
    double maximum() const;
    double slotShare() const;
    void shrink(double factor, double minimum, std::size_t inFlight, clock::time_point now);

    target_room m_room;
    bool m_isReduced = false;
    double m_reducedLimit = 0; ///< At m_grownAt; valid while m_isReduced.
    clock::time_point m_grownAt{};
    clock::time_point m_shrunkAt{}; ///< Requests sent before say nothing about the limit that they are judged by now.
    double m_evidence = 0; ///< Of a queue, as the logarithm of a likelihood ratio; at least 0.
};

} // namespace balsamhook
