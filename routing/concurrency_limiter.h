#pragma once

#include "routing/latency_window.h"
#include "routing/recent_minimum.h"

#include <chrono>
#include <cstddef>

namespace balsamhook
{

/// Detects that responses take much longer than without load. Uses the median, which a single slow or paused target doesn't change. Not thread-safe.
class latency_baseline
{
public:
    using clock = std::chrono::steady_clock;

    /// Records the current median of the window. To be called only when the window has new samples, as an old median doesn't reflect the load.
    void observe(const latency_window &latency, clock::time_point now);

    /// True when the last median is far above the recent minimum and above a quarter of the latency objective.
    bool isOverloaded(std::chrono::milliseconds objective) const;

private:
    std::chrono::microseconds m_last{0};
    recent_minimum m_minimum; ///< Microseconds.
};

/// Input for the admission of a query.
struct admission_request
{
    bool isUrgent = true; ///< Has the most urgent priority of all queries.
    bool isCallerRetry = false; ///< The caller sends it again after a refusal.
};

/// Limits the queries that run concurrently on this instance while targets are overloaded. Each query goes to every shard, so a burst above the capacity
/// of the targets makes all queries late; refusing some at once keeps the others in time. Less urgent queries are refused first, and callers' retries
/// after a refusal are preferred over new queries. Pure logic; not thread-safe.
class concurrency_limiter
{
public:
    using clock = std::chrono::steady_clock;

    /// True when the query may start; does not count it.
    bool admits(const admission_request &request) const;

    /// Counts a query as running.
    void onStart();

    /// Precondition: one call of onStart() for each call.
    void onEnd();

    /// Lowers the limit under overload, otherwise raises it until it is lifted; to be called a few times per second.
    void adjust(bool isOverloaded);

    bool isLimited() const;

    /// Limit of running queries; valid while isLimited().
    double limit() const;

private:
    std::size_t m_running = 0;
    std::size_t m_peakRunning = 0; ///< Since the last adjustment.
    double m_limit = 0; ///< Valid while m_isLimited.
    bool m_isLimited = false;
};

} // namespace balsamhook
