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
    double processorShare = 1; ///< In cores.
};

/// With fewer senders, the loss of one closes too many of the callers' connections.
constexpr std::size_t MinSenders = 4;

/// Chooses the instances that run callers' requests and therefore open connections to all targets: those with the strongest processors, spread over the
/// data centres, at most maxSenders; weaker ones only up to MinSenders. The limit is needed for fleets with more machines than a target accepts
/// connections. Instances with the same candidates choose the same senders. An instance that isn't chosen isn't chosen either when the candidates are only
/// the chosen ones and itself.
std::set<std::string> chooseSenders(const std::vector<sender_candidate> &candidates, std::size_t maxSenders);

/// Limit of senders for targets with this connection limit (0: unknown; gives a default): two connections for each sender, and a rest for the time while
/// the set of senders changes. At least MinSenders.
std::size_t maxSendersFor(std::size_t targetConnectionLimit);

} // namespace balsamhook
