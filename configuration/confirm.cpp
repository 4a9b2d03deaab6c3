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

settlement settle(const configuration_root *now, std::uint64_t baseRevision, std::string_view nonce, std::string_view planId)
{
    const std::uint64_t currentRevision = now == nullptr ? 0 : now->revision;
    if (currentRevision <= baseRevision) {
        return settlement::Unwritten;
    }
    root_origin origin{now->nonce, now->plan};
    const std::uint64_t later = currentRevision - baseRevision - 1;
    if (later > now->earlier.size()) {
        return settlement::Unknown;
    }
    if (later > 0) {
        origin = now->earlier[later - 1];
    }
    // Two controllers may confirm the same plan with different nonces; then the plan is applied whoever was first.
    const bool madeByPlan = origin.nonce == nonce || (!planId.empty() && origin.plan == planId);
    return madeByPlan ? settlement::Applied : settlement::Superseded;
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
