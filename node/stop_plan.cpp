#include "node/stop_plan.h"

#include "base/base.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// In short grace periods the lead times below shrink to these shares of the period.
constexpr int MaxIdleCloseShare = 3;
constexpr int MaxFinalResponseShare = 12;
constexpr int MaxExitShare = 60;
constexpr std::chrono::milliseconds IdleCloseLeadTime{1600};
/// Covers the delay between the platform's signal and its handling here, and the way of the last responses to the callers.
constexpr std::chrono::milliseconds FinalResponseLeadTime{250};
constexpr std::chrono::milliseconds ExitLeadTime{50};
/// A request is expected to end in time if this multiple of its usual duration is left.
constexpr int DurationMargin = 4;

std::chrono::milliseconds leadTime(std::chrono::milliseconds normal, std::chrono::milliseconds grace, int maxShare)
{
    return std::min(normal, grace / maxShare);
}

} // namespace

stop_plan::stop_plan(clock::time_point stoppedAt, std::chrono::milliseconds grace)
    : m_stoppedAt(stoppedAt)
    , m_grace(grace)
{
    BALSAM_ASSERT(grace.count() >= 0);
}

bool stop_plan::admits(clock::time_point now, const request &arriving) const
{
    if (now < m_stoppedAt + m_grace / 2 || arriving.deadline <= finalResponseAt()) {
        return true;
    }
    return arriving.isIdempotent && now + arriving.expectedDuration * DurationMargin <= finalResponseAt();
}

stop_plan::clock::time_point stop_plan::idleCloseAt() const
{
    return m_stoppedAt + m_grace - leadTime(IdleCloseLeadTime, m_grace, MaxIdleCloseShare);
}

stop_plan::clock::time_point stop_plan::finalResponseAt() const
{
    return m_stoppedAt + m_grace - leadTime(FinalResponseLeadTime, m_grace, MaxFinalResponseShare);
}

stop_plan::clock::time_point stop_plan::exitAt() const
{
    return m_stoppedAt + m_grace - leadTime(ExitLeadTime, m_grace, MaxExitShare);
}

} // namespace balsamhook
