#pragma once

#include <chrono>

namespace balsamhook
{

/// Schedule of a planned stop, from SIGTERM to the end of the grace period, at which the platform kills the process. Decides which requests that arrive
/// meanwhile are still run. Pure logic; a value that can be copied and read from any thread.
class stop_plan
{
public:
    using clock = std::chrono::steady_clock;

    /// What is known of a request on its arrival.
    struct request
    {
        clock::time_point deadline; ///< The request is answered by then whatever happens: the earlier of the caller's and the route's timeout.
        std::chrono::microseconds expectedDuration{0}; ///< Longest duration that is usual on the route.
        bool isIdempotent = false;
    };

    /// Precondition: grace is not negative.
    stop_plan(clock::time_point stoppedAt, std::chrono::milliseconds grace);

    /// True when the request is run: always in the first half of the grace period, later only if it ends within the grace period, for certain or, if it is
    /// idempotent, in all probability. Callers can repeat an idempotent request that is answered with a timeout.
    bool admits(clock::time_point now, const request &arriving) const;

    /// Connections without a request are closed then, and no further ones are accepted.
    clock::time_point idleCloseAt() const;

    /// Requests that are still in flight are answered then: their targets may have run them, and the process is about to be killed.
    clock::time_point finalResponseAt() const;

    /// The process exits then at the latest.
    clock::time_point exitAt() const;

private:
    clock::time_point m_stoppedAt;
    std::chrono::milliseconds m_grace;
};

} // namespace balsamhook
