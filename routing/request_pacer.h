#pragma once

#include <chrono>

namespace balsamhook
{

/// Spaces the requests to one target so that they stay within a rate. Starts without anything saved; while no requests are sent, it saves one request, or
/// what the rate allows in a second. Pure logic; not thread-safe.
class request_pacer
{
public:
    using clock = std::chrono::steady_clock;

    /// Sets the rate. A greater or smaller rate shortens or extends the current wait in proportion. Precondition: perSecond > 0.
    void setRate(double perSecond, clock::time_point now);

    /// Discards what was saved, so that the next request has to wait for a full interval.
    void reset(clock::time_point now);

    /// Time at which the next request may be sent; in the past when it may be sent now. Precondition: setRate() was called.
    clock::time_point availableAt() const;

    /// Time from which on nothing more is saved; in the past when that is so now. Precondition: setRate() was called.
    clock::time_point fullAt() const;

    /// Counts a request, also one that was sent early. Precondition: setRate() was called.
    void onSent(clock::time_point now);

private:
    using seconds = std::chrono::duration<double>;

    seconds saved() const; ///< How much earlier than m_nextAt a request may be sent.

    seconds m_interval{0};
    clock::time_point m_nextAt{}; ///< From this time on the most is saved.
};

} // namespace balsamhook
