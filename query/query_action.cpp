#include "query/query_action.h"

namespace balsamhook
{

std::string_view nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::None:
        return "unknown";
    case refusal_reason::NotOwner:
        return "not_owner";
    case refusal_reason::QueueFull:
        return "queue_full";
    case refusal_reason::DeadlineTooShort:
        return "deadline_too_short";
    case refusal_reason::TargetLeaving:
        return "target_leaving";
    case refusal_reason::DataCentreOut:
        return "data_centre_out";
    case refusal_reason::TargetShedding:
        return "target_shedding";
    case refusal_reason::TargetUnreachable:
        return "target_unreachable";
    case refusal_reason::TargetFailed:
        return "target_failed";
    case refusal_reason::SnapshotMissing:
        return "snapshot_missing";
    case refusal_reason::Timeout:
        return "timeout";
    case refusal_reason::Cancelled:
        return "cancelled";
    case refusal_reason::Quarantined:
        return "quarantined";
    case refusal_reason::KeyExpired:
        return "key_expired";
    case refusal_reason::KeyRepeated:
        return "key_repeated";
    case refusal_reason::StoreUnavailable:
        return "store_unavailable";
    case refusal_reason::UnknownTarget:
        return "unknown_target";
    case refusal_reason::Stopping:
        return "stopping";
    }
    return "unknown";
}

std::string_view nameOf(outcome ended)
{
    switch (ended) {
    case outcome::Answered:
        return "answered";
    case outcome::NotRun:
        return "not_run";
    case outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace balsamhook
