#include "configuration/confirm.h"

namespace balsamhook
{

confirm_decision decideConfirm(const plan &proposed, std::string_view digest, std::uint64_t currentRevision)
{
    if (digest != proposed.digest) {
        return confirm_decision::WrongDigest;
    }
    switch (proposed.state) {
    case plan_state::Applied:
        return confirm_decision::AlreadyApplied;
    case plan_state::Refused:
        return confirm_decision::Refused;
    case plan_state::Confirming:
        return confirm_decision::Settle;
    case plan_state::Proposed:
        break;
    }
    return currentRevision == proposed.baseRevision ? confirm_decision::Write : confirm_decision::Stale;
}

settlement settle(const configuration_root *current, std::uint64_t baseRevision, std::string_view nonce, std::string_view planId)
{
    const std::uint64_t currentRevision = current == nullptr ? 0 : current->revision;
    if (currentRevision <= baseRevision) {
        return settlement::Unwritten;
    }
    root_origin origin{current->nonce, current->plan};
    const std::uint64_t laterRevisions = currentRevision - baseRevision - 1;
    if (laterRevisions > current->earlier.size()) {
        return settlement::Unknown;
    }
    if (laterRevisions > 0) {
        origin = current->earlier[laterRevisions - 1];
    }
    // Two controllers may confirm the same plan with different nonces; the plan is applied whichever update was first.
    const bool isMadeByPlan = origin.nonce == nonce || (!planId.empty() && origin.plan == planId);
    return isMadeByPlan ? settlement::Applied : settlement::Superseded;
}

std::optional<plan_event> eventOf(settlement settled)
{
    if (settled == settlement::Applied) {
        return plan_event::SettledApplied;
    }
    if (settled == settlement::Superseded) {
        return plan_event::SettledRefused;
    }
    return std::nullopt;
}

} // namespace balsamhook
