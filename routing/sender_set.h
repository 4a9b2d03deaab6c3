#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

/// An instance that may become a sender.
struct sender_candidate
{
    std::string instance;
    std::string dataCentre;
    double processorShare = 1; ///< Of one core.
};

/// The loss of one sender must not close most of the callers' connections.
constexpr std::size_t MinSenders = 4;

/// Chooses the instances that run callers' requests and therefore open connections to all targets: those with the strongest processors, spread over the
/// data centres, at most maxSenders. The limit is needed for fleets with more machines than a target accepts connections. Instances with the same
/// candidates choose the same senders; an instance that isn't chosen gets this result also when it is only given the chosen ones and itself.
std::set<std::string> chooseSenders(const std::vector<sender_candidate> &candidates, std::size_t maxSenders);

/// Limit of senders for targets with this connection limit: each sender has two connections, with some left for a change of senders.
/// Zero: the connection limit is unknown.
std::size_t maxSendersFor(std::size_t targetConnectionLimit);

} // namespace balsamhook
