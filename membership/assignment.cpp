#include "membership/assignment.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace balsamhook
{

namespace
{

/// Most targets of one instance over the average of its data centre. Without a bound one of two instances may get nearly all targets by chance.
constexpr double LoadBound = 1.25;

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

/// Data centres in the order in which they stand in for the given one, itself first.
std::vector<std::string> fallbackOrder(const std::string &first, const configuration_document &document, const instances_by_data_centre &groups)
{
    std::vector<std::string> named;
    named.reserve(document.dataCentres.size() + groups.size() + 1);
    for (const data_centre_configuration &place : document.dataCentres) {
        named.push_back(place.name);
    }
    const auto start = std::find(named.begin(), named.end(), first);
    if (start != named.end()) {
        std::rotate(named.begin(), start, named.end());
    } else {
        named.insert(named.begin(), first);
    }
    for (const auto &[name, instances] : groups) {
        if (std::find(named.begin(), named.end(), name) == named.end()) {
            named.push_back(name);
        }
    }
    return named;
}

/// Assigns the targets one after another and remembers who owns the replicas of the shard at hand.
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
        countTargets();
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
    /// Bounds the targets of each instance, by the number of targets that its data centre serves.
    void countTargets()
    {
        std::map<const std::vector<std::string> *, std::size_t> served;
        for (const target_configuration &target : m_document.targets) {
            if (const std::vector<std::string> *candidates = candidatesFor(target.dataCentre)) {
                ++served[candidates];
            }
        }
        for (const auto &[candidates, targets] : served) {
            const double even = static_cast<double>(targets) / static_cast<double>(candidates->size());
            for (const std::string &instance : *candidates) {
                m_limits[instance] = static_cast<std::size_t>(std::ceil(even * LoadBound));
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
        auto known = m_owners.find(name);
        if (known == m_owners.end()) {
            const std::vector<std::string> *candidates = candidatesFor(target->dataCentre);
            if (candidates == nullptr) {
                return;
            }
            known = m_owners.emplace(name, choose(name, *candidates)).first;
            ++m_loads[known->second];
        }
        ++m_replicas[known->second];
    }

    const std::vector<std::string> *candidatesFor(const std::string &dataCentre)
    {
        for (const std::string &place : fallbackOrder(dataCentre, m_document, m_groups)) {
            const auto group = m_groups.find(place);
            if (group != m_groups.end()) {
                return &group->second;
            }
        }
        return nullptr;
    }

    bool isFull(const std::string &instance) const
    {
        const auto load = m_loads.find(instance);
        return load != m_loads.end() && load->second >= m_limits.find(instance)->second;
    }

    /// The candidate with the fewest replicas of the shard; among these one below its bound, and among these the one with the highest hash.
    const std::string &choose(const std::string &target, const std::vector<std::string> &candidates) const
    {
        const auto isWorse = [&](const std::string &left, const std::string &right) {
            if (replicasOf(left) != replicasOf(right)) {
                return replicasOf(left) > replicasOf(right);
            }
            return isFull(left) != isFull(right) ? isFull(left) : score(target, left) < score(target, right);
        };
        return *std::max_element(candidates.begin(), candidates.end(), isWorse);
    }

    std::size_t replicasOf(const std::string &instance) const
    {
        const auto found = m_replicas.find(instance);
        return found == m_replicas.end() ? 0 : found->second;
    }

    /// The instance name breaks ties, so that the order of the members doesn't matter.
    static std::pair<std::uint64_t, std::string_view> score(const std::string &target, const std::string &instance)
    {
        return {stableHash(target, stableHash(instance)), instance};
    }

    const configuration_document &m_document;
    instances_by_data_centre m_groups;
    owner_map m_owners;
    std::map<std::string, std::size_t, std::less<>> m_limits; ///< Most targets of an instance.
    std::map<std::string, std::size_t, std::less<>> m_loads; ///< Targets of an instance so far.
    std::map<std::string, std::size_t, std::less<>> m_replicas;
};

} // namespace

owner_map assignTargets(const std::vector<member_entry> &members, const configuration_document &document)
{
    return assigner(members, document).run();
}

} // namespace balsamhook
