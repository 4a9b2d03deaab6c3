#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace balsamhook
{

/// What one instance learned about a target from the requests that it sent there. Pure logic; not thread-safe.
class target_health
{
public:
    using clock = std::chrono::steady_clock;
    using microseconds = std::chrono::microseconds;

    /// A request was sent. Every call is followed by exactly one of the calls below with the same time.
    void onSent(clock::time_point sentAt);

    /// The target answered; typical is the usual latency of such a request at any target.
    void onAnswered(clock::time_point sentAt, clock::time_point now, microseconds typical);

    /// The target said that it did not run the request: it is full, leaving, or not the one that was meant.
    void onRefused(clock::time_point sentAt, clock::time_point now);

    /// The target answered with a failure of its own, broke off, or answered nonsense.
    void onFailed(clock::time_point sentAt, clock::time_point now);

    /// Nobody waits for the answer any more; says nothing about the target unless it was overdue.
    void onAbandoned(clock::time_point sentAt, clock::time_point now, microseconds typical);

    /// No connection could be opened.
    void onUnreachable(clock::time_point now);

    /// False while the target is left alone after failures.
    bool isAvailable(clock::time_point now) const;

    /// When isAvailable() turns true again; the past when it is true.
    clock::time_point availableAt() const;

    /// Expected time until an answer to a request sent now, from speed, requests under way and a pause that seems to go on.
    microseconds expectedLatency(microseconds typical, unsigned slots, clock::time_point now) const;

    /// True when the oldest request under way is so late that the target seems to be paused.
    bool isStalled(microseconds typical, clock::time_point now) const;

    /// Share of recent requests that the target did not run, 0 to 1. Some targets refuse part of their requests without being full.
    double refusedShare(clock::time_point now) const;

    unsigned underWay() const;

    /// When the oldest request under way was sent; empty when none is.
    std::optional<clock::time_point> oldestUnderWay() const;

    /// True when one more request may be under way. The number of requests that a target may have from this instance shrinks when its answers get slow
    /// and grows slowly when they are fast: some targets get slower the more they have queued, and would stay overloaded after the cause is gone.
    bool hasCapacity() const;

private:
    static constexpr double LargestLimit = 8;

    void forget(clock::time_point sentAt);
    void fail(clock::time_point now);
    void noteRefusal(bool wasRefused, clock::time_point now);
    double slownessAt(clock::time_point now) const;

    void shrinkLimit(double factor);

    std::vector<clock::time_point> m_sent; ///< Requests under way.
    double m_limit = LargestLimit; ///< Requests under way.
    double m_slowness = 1; ///< Smoothed ratio of its latency to the typical one.
    clock::time_point m_slownessAt{};
    double m_refusedShare = 0; ///< Smoothed, as of the time below.
    clock::time_point m_refusedShareAt{};
    unsigned m_failures = 0; ///< In a row.
    clock::time_point m_availableAt{};
};

} // namespace balsamhook
