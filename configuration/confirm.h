#pragma once

#include "configuration/plan.h"
#include "configuration/plan_machine.h"
#include "configuration/root.h"

#include <optional>

namespace balsamhook
{

/// How to process an operator's confirmation of a plan.
enum class confirm_decision : std::uint8_t {
    Write, ///< Send the root update, on the condition that the root is still the one that was read.
    AlreadyApplied, ///< The plan has already made a revision; the operator receives the same response again.
    Settle, ///< The outcome of an earlier root update of this plan is unknown: read the root and call settle().
    Stale, ///< The root's revision isn't the plan's base; the operator receives the changes since the base.
    WrongDigest, ///< The confirmed digest isn't that of the plan.
    Refused, ///< The plan was already refused.
};

/// Decides how to process a confirmation. Precondition: currentRevision is the revision of the root just read, 0 when there is none.
confirm_decision decideConfirm(const plan &proposed, std::string_view digest, std::uint64_t currentRevision);

/// Outcome of a root update whose response was lost, derived from the root that was read back.
enum class settlement : std::uint8_t {
    Applied, ///< The plan made the revision after its base.
    Superseded, ///< Another writer made the revision after the base; the update didn't take effect and can't any more.
    Unwritten, ///< The root is still at the base, and the update may still arrive. A retry needs the same condition, and the same plan or nonce.
    Unknown, ///< More revisions followed than the root records.
};

/// Determines the outcome of an update whose response was lost. Precondition: current is the root that was read back after the loss, or nullptr when
/// there is none. An empty planId matches no plan, so that only the nonce identifies the update.
settlement settle(const configuration_root *current, std::uint64_t baseRevision, std::string_view nonce, std::string_view planId);

/// Returns the event for the plan's life cycle, or no value when the outcome isn't known yet.
std::optional<plan_event> eventOf(settlement settled);

} // namespace balsamhook
