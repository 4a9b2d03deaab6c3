#include "routing/caller_placement.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace balsamhook
{

namespace
{

/// A data centre with less than this share of the targets of the best one sends its callers there.
constexpr double EnoughTargetsShare = 0.5;
/// Below this many instances the loss of one hurts too many callers at once.
constexpr std::size_t FewestInstances = 2;

std::vector<placement_candidate> inDataCentres(const std::vector<placement_candidate> &candidates, const std::vector<std::string> &dataCentres)
{
    std::vector<placement_candidate> inside;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(inside), [&](const placement_candidate &candidate) {
        return std::find(dataCentres.begin(), dataCentres.end(), candidate.dataCentre) != dataCentres.end();
    });
    return inside;
}

/// The first group that isn't empty: while senders are impaired or have yet to read the catalogue, whoever serves is better than nobody.
std::vector<placement_candidate> bestGroup(const std::vector<placement_candidate> &candidates)
{
    enum group : std::size_t { SoundSenders, ImpairedSenders, Others, Groups };
    std::array<std::vector<placement_candidate>, Groups> members;
    for (const placement_candidate &candidate : candidates) {
        if (candidate.isAlive) {
            members[!candidate.isSender ? Others : candidate.isImpaired ? ImpairedSenders : SoundSenders].push_back(candidate);
        }
    }
    const auto found = std::find_if(members.begin(), members.end(), [](const auto &some) { return !some.empty(); });
    return found == members.end() ? std::vector<placement_candidate>() : *found;
}

/// True when everything that is left is impaired and in one data centre, without the store: then the cut is around this data centre.
bool isCutOff(const std::vector<placement_candidate> &usable, const std::vector<placement_candidate> &candidates, const placement_request &request)
{
    if (request.isStoreReached) {
        return false;
    }
    const auto isHere = [&request](const placement_candidate &candidate) { return candidate.dataCentre == request.ownDataCentre; };
    const bool isAnyImpaired = std::any_of(usable.begin(), usable.end(), [](const placement_candidate &candidate) { return candidate.isImpaired; });
    return isAnyImpaired
        && std::all_of(candidates.begin(), candidates.end(), [&](const placement_candidate &candidate) { return !candidate.isAlive || isHere(candidate); });
}

std::vector<std::string> dataCentresWithTargets(const placement_request &request)
{
    std::size_t most = 0;
    for (const auto &[dataCentre, count] : request.targetsOfDataCentre) {
        most = std::max(most, count);
    }
    std::vector<std::string> enough;
    for (const auto &[dataCentre, count] : request.targetsOfDataCentre) {
        if (static_cast<double>(count) >= static_cast<double>(most) * EnoughTargetsShare) {
            enough.push_back(dataCentre);
        }
    }
    return enough;
}

} // namespace

std::vector<endpoint> placeCallers(const std::vector<placement_candidate> &candidates, const placement_request &request)
{
    const std::vector<placement_candidate> usable = bestGroup(candidates);
    const std::vector<std::string> enough = dataCentresWithTargets(request);
    std::vector<placement_candidate> chosen;
    if (enough.empty() || std::find(enough.begin(), enough.end(), request.callerDataCentre) != enough.end()) {
        chosen = inDataCentres(usable, {request.callerDataCentre});
    }
    if (chosen.size() < FewestInstances) {
        chosen = inDataCentres(usable, enough);
    }
    if (chosen.size() < FewestInstances) {
        chosen = usable;
    }
    if (isCutOff(usable, candidates, request)) {
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(chosen), [](const placement_candidate &candidate) { return !candidate.isAlive; });
    }
    std::vector<endpoint> addresses;
    for (const placement_candidate &candidate : chosen) {
        if (addresses.size() < request.largestAnswer) {
            addresses.push_back(candidate.callers);
        }
    }
    return addresses;
}

} // namespace balsamhook
