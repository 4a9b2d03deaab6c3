#include "membership/takeover_guard.h"

#include <algorithm>
#include <set>

namespace balsamhook
{

namespace
{

/// Versions before the newest one are needed only until all members have confirmed it; an unknown version blocks, so that a small bound is safe.
constexpr std::size_t HistoryLimit = 8;

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
    if (m_history.size() > HistoryLimit) {
        m_history.erase(m_history.begin());
    }
}

const owner_map &takeover_guard::owners() const
{
    const auto newest = m_history.find(m_newest.version);
    return newest == m_history.end() ? NoOwners : newest->second;
}

std::vector<std::string> takeover_guard::actionable(const std::map<std::string, std::uint64_t, std::less<>> &confirmed) const
{
    std::set<std::string, std::less<>> blocked;
    for (const listed_member &member : m_newest.members) {
        const std::string &other = member.entry.instance;
        if (other == m_instance) {
            continue;
        }
        const auto known = confirmed.find(other);
        const std::uint64_t earliest = std::max(known == confirmed.end() ? 0 : known->second, member.joined);
        for (std::uint64_t version = earliest; version < m_newest.version; ++version) {
            const auto past = m_history.find(version);
            if (past == m_history.end()) {
                return {};
            }
            for (const auto &[target, owner] : past->second) {
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
