#pragma once

#include "membership/assignment.h"
#include "membership/member_list.h"

#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Decides which targets this instance may act on. A member that hasn't confirmed the newest list may still act under any version since the one that
/// it confirmed last; a target that such a member owns under one of these versions isn't actionable. Members that were removed from the list are
/// ignored, because a list without them is written only after their entitlement has ended. Not thread-safe.
class takeover_guard
{
public:
    explicit takeover_guard(std::string instance);

    /// Adds a newer list with its assignment. Precondition: its version is greater than that of the newest list so far.
    void advance(const member_list &list, owner_map owners);

    /// Returns the assignment under the newest list; empty when there is no list yet.
    const owner_map &owners() const;

    /// Returns the targets that this instance may act on. The map has the last confirmed list version of each member of the newest list; a missing
    /// entry counts as 0. Returns no targets when the assignment of a version that a member may still act under isn't stored.
    std::vector<std::string> actionableTargets(const std::map<std::string, std::uint64_t, std::less<>> &confirmed) const;

private:
    std::string m_instance;
    member_list m_newest;
    std::map<std::uint64_t, owner_map> m_history; ///< By list version, bounded.
};

} // namespace balsamhook
