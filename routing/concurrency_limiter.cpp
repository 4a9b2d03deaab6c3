#include "routing/concurrency_limiter.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A median of this many times the minimum means that most targets have queues.
constexpr double OverloadedRatio = 2;
/// A median below the objective divided by this is no overload.
constexpr int ObjectiveDivisor = 4;

constexpr double ShrinkFactor = 0.85;
constexpr double GrowFactor = 1.05;
constexpr double GrowStep = 0.5;
constexpr double MinLimit = 2;
/// The limit is lifted when it exceeds the peak of running queries by this factor.
constexpr double ReleaseFactor = 3;
constexpr double LessUrgentShare = 0.75; ///< Of the limit.
constexpr double CallerRetryShare = 1.25; ///< Of the limit.

} // namespace

void latency_baseline::observe(const latency_window &latency, clock::time_point now)
{
    m_last = latency.median();
    m_minimum.add(static_cast<double>(m_last.count()), now);
}

bool latency_baseline::isOverloaded(std::chrono::milliseconds objective) const
{
    if (m_minimum.isEmpty()) {
        return false;
    }
    const double threshold
        = std::max(m_minimum.value() * OverloadedRatio, static_cast<double>(std::chrono::microseconds(objective).count()) / ObjectiveDivisor);
    return static_cast<double>(m_last.count()) > threshold;
}

bool concurrency_limiter::admits(const admission_request &request) const
{
    if (!m_isLimited) {
        return true;
    }
    const double share = request.isCallerRetry ? CallerRetryShare : request.isUrgent ? 1 : LessUrgentShare;
    return static_cast<double>(m_running) < m_limit * share;
}

void concurrency_limiter::onStart()
{
    ++m_running;
    m_peakRunning = std::max(m_peakRunning, m_running);
}

void concurrency_limiter::onEnd()
{
    BALSAM_ASSERT(m_running > 0);
    --m_running;
}

void concurrency_limiter::adjust(bool isOverloaded)
{
    const auto peak = static_cast<double>(m_peakRunning);
    m_peakRunning = m_running;
    if (isOverloaded) {
        const double base = m_isLimited ? std::min(m_limit, std::max(peak, MinLimit)) : peak;
        m_limit = std::max(MinLimit, base * ShrinkFactor);
        m_isLimited = true;
        return;
    }
    m_limit = m_limit * GrowFactor + GrowStep;
    m_isLimited = m_isLimited && m_limit < (peak + 1) * ReleaseFactor;
}

bool concurrency_limiter::isLimited() const
{
    return m_isLimited;
}

double concurrency_limiter::limit() const
{
    return m_limit;
}

} // namespace balsamhook
