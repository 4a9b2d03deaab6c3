#include "membership/takeover_guard.h"

#include <algorithm>
#include <set>

namespace balsamhook
{

namespace
{

/// Older versions are needed only until all members have confirmed the newest one. A small limit is safe, because a version that is no longer kept
/// blocks all targets.
constexpr std::size_t MaxHistory = 8;

const owner_map NoOwners;

} // namespace

takeover_guard::takeover_guard(std::string instance)
    : m_instance(std::move(instance))
{
}

void takeover_guard::advance(const member_list &list, owner_map owners)
{
    BALSAM_ASSERT(list.version > m_newest.version);
    m_newest = list;
    m_history[list.version] = std::move(owners);
    if (m_history.size() > MaxHistory) {
        m_history.erase(m_history.begin());
    }
}

const owner_map &takeover_guard::owners() const
{
    const auto newest = m_history.find(m_newest.version);
    return newest == m_history.end() ? NoOwners : newest->second;
}

std::vector<std::string> takeover_guard::actionableTargets(const std::map<std::string, std::uint64_t, std::less<>> &confirmed) const
{
    std::set<std::string, std::less<>> blocked;
    for (const listed_member &member : m_newest.members) {
        const std::string &other = member.entry.instance;
        if (other == m_instance) {
            continue;
        }
        const auto confirmation = confirmed.find(other);
        const std::uint64_t earliest = std::max(confirmation == confirmed.end() ? 0 : confirmation->second, member.joined);
        for (std::uint64_t version = earliest; version < m_newest.version; ++version) {
            const auto pastOwners = m_history.find(version);
            if (pastOwners == m_history.end()) {
                return {};
            }
            for (const auto &[target, owner] : pastOwners->second) {
                if (owner == other) {
                    blocked.insert(target);
                }
            }
        }
    }
    std::vector<std::string> targets;
    for (const auto &[target, owner] : owners()) {
        if (owner == m_instance && blocked.count(target) == 0) {
            targets.push_back(target);
        }
    }
    return targets;
}

} // namespace balsamhook
