#pragma once

#include "configuration/plan_state.h"

#include <cstdint>
#include <memory>

namespace balsamhook
{

/// What happens to a plan while it is confirmed.
enum class plan_event : std::uint8_t {
    Confirm, ///< The operator confirmed with the right digest, and the root update is about to be sent.
    Applied, ///< The store accepted the root update.
    Conflict, ///< The store has another version of the root.
    AnswerLost, ///< The root update was sent and its answer was lost.
    SettledApplied, ///< The root read back says that the plan made its revision.
    SettledRefused, ///< The root read back says that another writer made the revision.
};

/// Life cycle of one plan as a Boost.MSM table. While the answer to a root update is lost, a conflict doesn't end the plan: the conflict may
/// come from the plan's own earlier update. Only the nonce of the root that is read back settles it. Not thread-safe.
class plan_machine
{
public:
    /// Starts from a stored state. A stored Confirming means that an earlier process sent the update and didn't learn its outcome.
    explicit plan_machine(plan_state stored);
    ~plan_machine();
    plan_machine(const plan_machine &) = delete;
    plan_machine &operator=(const plan_machine &) = delete;

    /// Applies an event; false when the state doesn't allow it, and then nothing changes.
    bool process(plan_event event);

    plan_state state() const;

    /// True while an update was sent whose outcome only the nonce can tell.
    bool isUnsettled() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
