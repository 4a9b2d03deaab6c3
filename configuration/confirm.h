#pragma once

#include "configuration/plan.h"
#include "configuration/plan_machine.h"
#include "configuration/root.h"

#include <optional>

namespace balsamhook
{

/// What to do with an operator's confirmation.
enum class confirm_decision : std::uint8_t {
    Write, ///< Send the root update; it is conditional on the root that was read.
    AlreadyApplied, ///< The plan has made a revision; the operator gets the same answer again.
    Settle, ///< An earlier root update of this plan has no known outcome: read the root and use settle().
    Stale, ///< The root is at another revision than the plan's base; the operator gets what changed.
    WrongDigest, ///< The operator confirmed something else than the plan.
    Refused, ///< The plan was refused earlier.
};

/// Decides on a confirmation. Precondition: currentRevision is that of the root just read, 0 when there is none.
confirm_decision decideConfirm(const plan &proposed, std::string_view digest, std::uint64_t currentRevision);

/// Outcome of a root update whose answer was lost, as the root that was read back tells.
enum class settlement : std::uint8_t {
    Applied, ///< The plan made its revision.
    Superseded, ///< Another writer made the revision that the plan would have made; the update never took effect and never will.
    Unwritten, ///< The root is still at the base. The update may still arrive: it may only be repeated with the same nonce and condition.
    Unknown, ///< Too many revisions came after it for the root to tell.
};

/// Settles a lost answer. Precondition: now is the root that was read back after the answer was lost, or nullptr when there is none.
settlement settle(const configuration_root *now, std::uint64_t baseRevision, std::string_view nonce, std::string_view planId);

/// Returns the event for the plan's life cycle, or no value when nothing is settled yet.
std::optional<plan_event> eventOf(settlement settled);

} // namespace balsamhook
