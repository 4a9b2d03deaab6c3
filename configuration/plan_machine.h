#pragma once

#include "configuration/plan_state.h"

#include <cstdint>
#include <memory>

namespace balsamhook
{

/// Events in the confirmation of a plan.
enum class plan_event : std::uint8_t {
    Confirm, ///< The operator confirmed the correct digest; the root update is sent next.
    Applied, ///< The store accepted the root update.
    Conflict, ///< The root isn't at the plan's base revision any more, or the store refused the root update because of its version.
    ResponseLost, ///< The root update was sent, and its response was lost.
    SettledApplied, ///< The root that was read back shows that the plan made its revision.
    SettledRefused, ///< The root that was read back shows that another writer made the revision.
};

/// Life cycle of one plan as a Boost.MSM state machine. After a lost response a conflict doesn't refuse the plan, because the conflicting version may
/// be the plan's own earlier update. Only the root that is read back determines the outcome; see settle(). Not thread-safe.
class plan_machine
{
public:
    /// Starts in a stored state. Confirming means that an earlier process may have sent the update and didn't store its outcome.
    explicit plan_machine(plan_state stored);
    ~plan_machine();
    plan_machine(const plan_machine &) = delete;
    plan_machine &operator=(const plan_machine &) = delete;

    /// Processes an event. Returns false and keeps the state when the state doesn't allow the event.
    bool process(plan_event event);

    plan_state state() const;

    /// Returns whether an update may have been sent whose outcome isn't known yet. settle() determines it from the root.
    bool isUnsettled() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
