#pragma once

#include "membership/assignment.h"
#include "membership/member_list.h"

#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Decides which targets this instance may act on. Under the newest list, a member that hasn't confirmed it may still act under any list between
/// the one that it confirmed last and the newest one; a target that such a member owns under one of these lists isn't actionable. A member that was
/// removed from the list doesn't count: the list is only written without it after its entitlement has ended. Not thread-safe.
class takeover_guard
{
public:
    explicit takeover_guard(std::string instance);

    /// Adds a newer list with its assignment. Precondition: the version is greater than that of the last one.
    void advance(const member_list &list, owner_map owners);

    /// The assignment under the newest list; empty before the first one.
    const owner_map &owners() const;

    /// Targets on which this instance may act. The map holds the last confirmed list version of each member of the newest list.
    std::vector<std::string> actionable(const std::map<std::string, std::uint64_t, std::less<>> &confirmed) const;

private:
    std::string m_instance;
    member_list m_newest;
    std::map<std::uint64_t, owner_map> m_history; ///< By list version, bounded.
};

} // namespace balsamhook
