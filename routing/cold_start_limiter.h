#pragma once

#include <chrono>
#include <set>
#include <string>

namespace balsamhook
{

/// Bounds the requests that one instance sends to a target that has just started. All instances together must stay below what the target bears, without
/// asking each other: the sender that ranks first for the target sends all, at part of the bearable rate, so that even two that both believe to be first
/// stay below it. Answers the load of targets that crash when many senders find them at once. Pure logic; not thread-safe.
class cold_bound
{
public:
    using clock = std::chrono::steady_clock;

    /// True when one more request may be sent now; does not count it. Rate: requests a second that the target bears, greater than 0.
    bool allows(double rate, clock::time_point now);

    /// A request was sent. Precondition: allows() was true with the same time.
    void onSent();

private:
    double m_tokens = 1;
    clock::time_point m_filledAt{};
};

/// True when the instance ranks first among the senders for a target (rendezvous hashing): the same answer on each instance that knows the same senders.
bool isFirstSender(const std::string &instance, const std::set<std::string> &senders, const std::string &targetId);

} // namespace balsamhook
