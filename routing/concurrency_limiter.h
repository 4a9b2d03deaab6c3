#pragma once

#include "routing/latency_window.h"

#include <chrono>
#include <cstddef>

namespace balsamhook
{

/// Tells whether answers take much longer than they do without load. Goes by the median, which one slow or paused target does not move.
/// Not thread-safe.
class latency_baseline
{
public:
    using clock = std::chrono::steady_clock;

    /// Takes the present median of a window that got new answers.
    void observe(const latency_window &latency, clock::time_point now);

    /// True when the last median is far above the smallest one of the last minute and, with the queries' objective at stake, too long.
    bool isOverloaded(std::chrono::milliseconds objective) const;

private:
    std::chrono::microseconds m_last{0};
    std::chrono::microseconds m_smallest{0}; ///< Of this half minute; 0: none yet.
    std::chrono::microseconds m_smallestBefore{0}; ///< Of the half minute before.
    clock::time_point m_halfEndsAt{};
};

/// What is weighed before a query is let in.
struct admission_request
{
    bool isUrgent = true; ///< Of the most urgent kind.
    bool isReturning = false; ///< Its caller was refused before.
};

/// Bounds the queries that run at one time on this instance while targets are overloaded. Each query asks every shard, so queries above what targets bear
/// make all of them late; refusing some at once keeps the others in time. Less urgent queries are refused first, and callers that come back after a
/// refusal go before new ones. Answers the load of bursts above what the targets can work off. Pure logic; not thread-safe.
class overload_guard
{
public:
    using clock = std::chrono::steady_clock;

    bool admits(const admission_request &request) const;

    void onStart();
    void onEnd();

    /// Adapts the bound; to be called a few times a second.
    void review(bool isOverloaded);

    bool isLimited() const;
    double limit() const;

private:
    std::size_t m_running = 0;
    std::size_t m_mostRunning = 0; ///< Since the last review.
    double m_limit = 0; ///< Valid while limited.
    bool m_isLimited = false;
};

} // namespace balsamhook
