#pragma once

#include <chrono>
#include <set>
#include <string>

namespace balsamhook
{

/// Limits the rate of requests that this instance sends to a target that has just started. Many senders that find such a target at once would crash it,
/// so all instances together must stay below the rate that it supports, without coordination: only the sender that ranks first for the target sends
/// requests, at a part of that rate, so that two senders with different views of the ranking stay below it as well. Pure logic; not thread-safe.
class cold_start_limiter
{
public:
    using clock = std::chrono::steady_clock;

    /// True when one more request may be sent now; does not count it. Precondition: rate, the requests per second that the target supports, is above 0.
    bool allows(double rate, clock::time_point now);

    /// Counts a request. Precondition: allows() returned true for the same time.
    void onSent();

private:
    double m_tokens = 1;
    clock::time_point m_filledAt{};
};

/// True when the instance ranks first among the senders for a target (rendezvous hashing); the same on all instances with the same set of senders.
bool isFirstSender(const std::string &instance, const std::set<std::string> &senders, const std::string &targetId);

} // namespace balsamhook
