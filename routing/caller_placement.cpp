#include "routing/caller_placement.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace balsamhook
{

namespace
{

/// A data centre needs this share of the targets that the largest data centre has; callers of the others are placed elsewhere.
constexpr double MinTargetShare = 0.5;
/// If callers are directed to fewer instances, the loss of one affects too many callers at once.
constexpr std::size_t MinInstances = 2;

std::vector<placement_candidate> inDataCentres(const std::vector<placement_candidate> &candidates, const std::vector<std::string> &dataCentres)
{
    std::vector<placement_candidate> result;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result), [&](const placement_candidate &candidate) {
        return std::find(dataCentres.begin(), dataCentres.end(), candidate.dataCentre) != dataCentres.end();
    });
    return result;
}

/// Returns the live candidates of the first group that isn't empty. Impaired senders and standby instances are the fallback while the other senders have
/// failed or have not read the catalogue yet.
std::vector<placement_candidate> bestAvailableGroup(const std::vector<placement_candidate> &candidates)
{
    enum group : std::size_t { HealthySenders, ImpairedSenders, StandbyInstances, Groups };
    std::array<std::vector<placement_candidate>, Groups> groups;
    for (const placement_candidate &candidate : candidates) {
        if (candidate.isAlive) {
            groups[!candidate.isSender ? StandbyInstances : candidate.isImpaired ? ImpairedSenders : HealthySenders].push_back(candidate);
        }
    }
    const auto found = std::find_if(groups.begin(), groups.end(), [](const auto &members) { return !members.empty(); });
    return found == groups.end() ? std::vector<placement_candidate>() : *found;
}

/// True when the local data centre is probably cut off from the others: the store is unreachable, all live candidates are local, and a usable one is
/// impaired.
bool isCutOff(const std::vector<placement_candidate> &usable, const std::vector<placement_candidate> &candidates, const placement_request &request)
{
    if (request.isStoreReachable) {
        return false;
    }
    const auto isLocal = [&request](const placement_candidate &candidate) { return candidate.dataCentre == request.localDataCentre; };
    const bool isAnyImpaired = std::any_of(usable.begin(), usable.end(), [](const placement_candidate &candidate) { return candidate.isImpaired; });
    return isAnyImpaired
        && std::all_of(candidates.begin(), candidates.end(), [&](const placement_candidate &candidate) { return !candidate.isAlive || isLocal(candidate); });
}

std::vector<std::string> dataCentresWithTargets(const placement_request &request)
{
    std::size_t largest = 0;
    for (const auto &[dataCentre, count] : request.targetsOfDataCentre) {
        largest = std::max(largest, count);
    }
    std::vector<std::string> sufficient;
    for (const auto &[dataCentre, count] : request.targetsOfDataCentre) {
        if (static_cast<double>(count) >= static_cast<double>(largest) * MinTargetShare) {
            sufficient.push_back(dataCentre);
        }
    }
    return sufficient;
}

} // namespace

std::vector<endpoint> placeCallers(const std::vector<placement_candidate> &candidates, const placement_request &request)
{
    const std::vector<placement_candidate> usable = bestAvailableGroup(candidates);
    const std::vector<std::string> sufficient = dataCentresWithTargets(request);
    std::vector<placement_candidate> chosen;
    if (sufficient.empty() || std::find(sufficient.begin(), sufficient.end(), request.callerDataCentre) != sufficient.end()) {
        chosen = inDataCentres(usable, {request.callerDataCentre});
    }
    if (chosen.size() < MinInstances) {
        chosen = inDataCentres(usable, sufficient);
    }
    if (chosen.size() < MinInstances) {
        chosen = usable;
    }
    if (isCutOff(usable, candidates, request)) {
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(chosen), [](const placement_candidate &candidate) { return !candidate.isAlive; });
    }
    std::vector<endpoint> addresses;
    for (const placement_candidate &candidate : chosen) {
        if (addresses.size() < request.maxAddresses) {
            addresses.push_back(candidate.callers);
        }
    }
    return addresses;
}

} // namespace balsamhook
