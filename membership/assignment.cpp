#include "membership/assignment.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace balsamhook
{

namespace
{

/// Maximum ratio of an instance's number of targets to the average of its data centre. Without this limit rendezvous hashing may assign nearly all
/// targets to one of two instances.
constexpr double MaxLoadFactor = 1.25;

using instances_by_data_centre = std::map<std::string, std::vector<std::string>, std::less<>>;

instances_by_data_centre groupByDataCentre(const std::vector<member_entry> &members)
{
    instances_by_data_centre groups;
    for (const member_entry &member : members) {
        if (!member.leaving) {
            groups[member.dataCentre].push_back(member.instance);
        }
    }
    return groups;
}

/// Returns the data centres in the order in which their members are considered for targets of the given one, which comes first.
std::vector<std::string> fallbackOrder(const std::string &first, const configuration_document &document, const instances_by_data_centre &groups)
{
    std::vector<std::string> order;
    order.reserve(document.dataCentres.size() + groups.size() + 1);
    for (const data_centre_configuration &dataCentre : document.dataCentres) {
        order.push_back(dataCentre.name);
    }
    const auto start = std::find(order.begin(), order.end(), first);
    if (start != order.end()) {
        std::rotate(order.begin(), start, order.end());
    } else {
        order.insert(order.begin(), first);
    }
    for (const auto &[name, instances] : groups) {
        if (std::find(order.begin(), order.end(), name) == order.end()) {
            order.push_back(name);
        }
    }
    return order;
}

/// Assigns the targets one after another. Counts the replicas of the current shard for each instance.
class assigner
{
public:
    assigner(const std::vector<member_entry> &members, const configuration_document &document)
        : m_document(document)
        , m_groups(groupByDataCentre(members))
    {
    }

    owner_map run()
    {
        computeLimits();
        for (const service_configuration &service : m_document.services) {
            for (const shard_configuration &shard : service.shards) {
                assignShard(shard);
            }
        }
        m_replicas.clear();
        for (const target_configuration &target : m_document.targets) {
            assign(target.name);
        }
        return std::move(m_owners);
    }

private:
    /// Computes the maximum number of targets of each instance from the number of targets that its data centre serves.
    void computeLimits()
    {
        std::map<const std::vector<std::string> *, std::size_t> served;
        for (const target_configuration &target : m_document.targets) {
            if (const std::vector<std::string> *candidates = candidatesFor(target.dataCentre)) {
                ++served[candidates];
            }
        }
        for (const auto &[candidates, targets] : served) {
            const double average = static_cast<double>(targets) / static_cast<double>(candidates->size());
            for (const std::string &instance : *candidates) {
                m_limits[instance] = static_cast<std::size_t>(std::ceil(average * MaxLoadFactor));
            }
        }
    }

    void assignShard(const shard_configuration &shard)
    {
        m_replicas.clear();
        for (const std::string &target : shard.targets) {
            assign(target);
        }
    }

    void assign(const std::string &name)
    {
        const target_configuration *target = m_document.findTarget(name);
        if (target == nullptr) {
            return;
        }
        auto owner = m_owners.find(name);
        if (owner == m_owners.end()) {
            const std::vector<std::string> *candidates = candidatesFor(target->dataCentre);
            if (candidates == nullptr) {
                return;
            }
            owner = m_owners.emplace(name, choose(name, *candidates)).first;
            ++m_targetCounts[owner->second];
        }
        ++m_replicas[owner->second];
    }

    const std::vector<std::string> *candidatesFor(const std::string &dataCentre)
    {
        for (const std::string &candidate : fallbackOrder(dataCentre, m_document, m_groups)) {
            const auto group = m_groups.find(candidate);
            if (group != m_groups.end()) {
                return &group->second;
            }
        }
        return nullptr;
    }

    bool isAtLimit(const std::string &instance) const
    {
        const auto count = m_targetCounts.find(instance);
        return count != m_targetCounts.end() && count->second >= m_limits.find(instance)->second;
    }

    /// Returns the candidate with the fewest replicas of the shard; among equals one below its limit, then the one with the highest score.
    const std::string &choose(const std::string &target, const std::vector<std::string> &candidates) const
    {
        const auto isWorse = [&](const std::string &left, const std::string &right) {
            if (replicasOf(left) != replicasOf(right)) {
                return replicasOf(left) > replicasOf(right);
            }
            return isAtLimit(left) != isAtLimit(right) ? isAtLimit(left) : score(target, left) < score(target, right);
        };
        return *std::max_element(candidates.begin(), candidates.end(), isWorse);
    }

    std::size_t replicasOf(const std::string &instance) const
    {
        const auto found = m_replicas.find(instance);
        return found == m_replicas.end() ? 0 : found->second;
    }

    /// Includes the instance name to break ties, so that the result doesn't depend on the order of the members.
    static std::pair<std::uint64_t, std::string_view> score(const std::string &target, const std::string &instance)
    {
        return {stableHash(target, stableHash(instance)), instance};
    }

    const configuration_document &m_document;
    instances_by_data_centre m_groups;
    owner_map m_owners;
    std::map<std::string, std::size_t, std::less<>> m_limits; ///< Maximum number of targets, by instance.
    std::map<std::string, std::size_t, std::less<>> m_targetCounts; ///< Number of targets assigned so far, by instance.
    std::map<std::string, std::size_t, std::less<>> m_replicas; ///< Replicas of the current shard, by instance.
};

} // namespace

owner_map assignTargets(const std::vector<member_entry> &members, const configuration_document &document)
{
    return assigner(members, document).run();
}

} // namespace balsamhook
