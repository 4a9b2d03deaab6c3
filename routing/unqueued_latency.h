#pragma once

#include "routing/latency_window.h"
#include "routing/recent_minimum.h"

#include <chrono>

namespace balsamhook
{

/// Estimates, for the requests of one route, the latencies of targets that have no queue. A queue delays every request, short ones too, so the estimate rests
/// on a low percentile: requests whose work differs by orders of magnitude don't look like a queue. Not thread-safe.
class unqueued_latency
{
public:
    using clock = std::chrono::steady_clock;
    using microseconds = std::chrono::microseconds;

    /// Until the first observation, the initial estimate is the low percentile, and half of the responses count as slow.
    explicit unqueued_latency(microseconds initialEstimate);

    /// Records the current latencies. To be called only when the window has new samples.
    void observe(const latency_window &latency, std::chrono::milliseconds objective, clock::time_point now);

    /// Returns the profile for a route with the given objective. A response is slow when it took longer than the low percentile by a third of the objective:
    /// the longest queue that most requests can wait in and still be in time.
    latency_profile profile(const latency_window &latency, std::chrono::milliseconds objective) const;

private:
    microseconds lowPercentile() const;

    microseconds m_initialEstimate;
    recent_minimum m_lowPercentile; ///< Microseconds.
    recent_minimum m_slowShare;
};

} // namespace balsamhook
