#include "routing/concurrency_limiter.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::seconds HalfMemory{30};
/// A median of this many times the smallest one means that most targets have queues.
constexpr double OverloadedRatio = 2;
/// Below this part of the objective a longer median does no harm.
constexpr int ObjectiveDivisor = 4;

constexpr double ShrinkFactor = 0.85;
constexpr double GrowFactor = 1.05;
constexpr double GrowStep = 0.5;
constexpr double SmallestLimit = 2;
/// A bound this many times above what runs is no bound any more.
constexpr double FreeFactor = 3;
constexpr double LessUrgentShare = 0.75;
constexpr double ReturningShare = 1.25;

} // namespace

void latency_baseline::observe(const latency_window &latency, clock::time_point now)
{
    m_last = latency.median();
    if (now >= m_halfEndsAt) {
        m_smallestBefore = m_smallest;
        m_smallest = std::chrono::microseconds(0);
        m_halfEndsAt = now + HalfMemory;
    }
    m_smallest = m_smallest.count() == 0 ? m_last : std::min(m_smallest, m_last);
}

bool latency_baseline::isOverloaded(std::chrono::milliseconds objective) const
{
    const auto usual = m_smallestBefore.count() == 0 ? m_smallest : std::min(m_smallest, m_smallestBefore);
    const double bound
        = std::max(static_cast<double>(usual.count()) * OverloadedRatio, static_cast<double>(std::chrono::microseconds(objective).count()) / ObjectiveDivisor);
    return static_cast<double>(m_last.count()) > bound;
}

bool overload_guard::admits(const admission_request &request) const
{
    if (!m_isLimited) {
        return true;
    }
    const double share = request.isReturning ? ReturningShare : request.isUrgent ? 1 : LessUrgentShare;
    return static_cast<double>(m_running) < m_limit * share;
}

void overload_guard::onStart()
{
    ++m_running;
    m_mostRunning = std::max(m_mostRunning, m_running);
}

void overload_guard::onEnd()
{
    BALSAM_ASSERT(m_running > 0);
    --m_running;
}

void overload_guard::review(bool isOverloaded)
{
    const auto most = static_cast<double>(m_mostRunning);
    m_mostRunning = m_running;
    if (isOverloaded) {
        const double from = m_isLimited ? std::min(m_limit, std::max(most, SmallestLimit)) : most;
        m_limit = std::max(SmallestLimit, from * ShrinkFactor);
        m_isLimited = true;
        return;
    }
    m_limit = m_limit * GrowFactor + GrowStep;
    m_isLimited = m_isLimited && m_limit < (most + 1) * FreeFactor;
}

bool overload_guard::isLimited() const
{
    return m_isLimited;
}

double overload_guard::limit() const
{
    return m_limit;
}

} // namespace balsamhook
