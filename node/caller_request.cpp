#include "node/caller_request.h"

#include <cstdio>

namespace balsamhook
{

std::string_view nameOf(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Complete:
        return "complete";
    case request_outcome::Partial:
        return "partial";
    case request_outcome::TargetFailure:
        return "target_failure";
    case request_outcome::NotRunUnavailable:
        return "not_run_unavailable";
    case request_outcome::NotRunFull:
        return "not_run_full";
    case request_outcome::NotRunLimited:
        return "not_run_limited";
    case request_outcome::NotRunCoverage:
        return "not_run_coverage";
    case request_outcome::NotRunOverload:
        return "not_run_overload";
    case request_outcome::Lost:
        return "lost";
    case request_outcome::TimedOut:
        return "timed_out";
    case request_outcome::CallerLeft:
        return "caller_left";
    }
    return "unknown";
}

caller_response localResponse(unsigned status, std::string_view reason)
{
    caller_response response;
    response.status = status;
    response.fields.push_back({"Content-Type", "text/plain"});
    response.body.append(reason).append("\n");
    return response;
}

caller_response refusalResponse(std::string_view reason, std::chrono::milliseconds retryAfter)
{
    constexpr unsigned ServiceUnavailable = 503;
    constexpr double MillisecondsPerSecond = 1000;
    caller_response response = localResponse(ServiceUnavailable, reason);
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retryAfter.count()) / MillisecondsPerSecond);
    response.fields.push_back({"Retry-After", seconds});
    return response;
}

} // namespace balsamhook
