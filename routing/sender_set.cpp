#include "routing/sender_set.h"

#include "base/hash.h"

#include <algorithm>
#include <map>

namespace balsamhook
{

namespace
{

/// An instance below this share of the strongest processor would be the straggler of a query.
constexpr double MinProcessorShare = 0.75;
constexpr double UsedConnectionShare = 0.85;
constexpr double ConnectionsPerSender = 2;
constexpr std::size_t DefaultSenders = 16;

/// Orders by processor share; ties by a hash that is the same on every instance.
bool isStronger(const sender_candidate &left, const sender_candidate &right)
{
    if (left.processorShare != right.processorShare) {
        return left.processorShare > right.processorShare;
    }
    return stableHash(left.instance) < stableHash(right.instance);
}

} // namespace

std::size_t maxSendersFor(std::size_t targetConnectionLimit)
{
    if (targetConnectionLimit == 0) {
        return DefaultSenders;
    }
    const double supported = static_cast<double>(targetConnectionLimit) * UsedConnectionShare / ConnectionsPerSender;
    return std::max(MinSenders, static_cast<std::size_t>(supported));
}

std::set<std::string> chooseSenders(const std::vector<sender_candidate> &candidates, std::size_t maxSenders)
{
    std::vector<sender_candidate> ordered = candidates;
    std::sort(ordered.begin(), ordered.end(), isStronger);
    std::set<std::string> chosen;
    if (ordered.empty()) {
        return chosen;
    }
    const double strongest = ordered.front().processorShare;
    // Round robin over the data centres: the first of each, then the second of each, and so on.
    std::map<std::string, std::size_t> rankInDataCentre;
    std::multimap<std::size_t, const sender_candidate *> byRank;
    for (const sender_candidate &candidate : ordered) {
        if (candidate.processorShare >= strongest * MinProcessorShare) {
            byRank.emplace(rankInDataCentre[candidate.dataCentre]++, &candidate);
        }
    }
    for (const auto &[rank, candidate] : byRank) {
        if (chosen.size() < maxSenders) {
            chosen.insert(candidate->instance);
        }
    }
    for (const sender_candidate &candidate : ordered) {
        if (chosen.size() < std::min(MinSenders, maxSenders)) {
            chosen.insert(candidate.instance);
        }
    }
    return chosen;
}

} // namespace balsamhook
