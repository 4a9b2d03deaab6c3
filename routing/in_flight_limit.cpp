#include "routing/in_flight_limit.h"

#include "base/assert.h"

#include <algorithm>
#include <cmath>

namespace balsamhook
{

namespace
{

constexpr double MinMaximum = 8;
constexpr double MaximumPerSlot = 2; ///< As many requests may wait as are processed.
constexpr double ShrinkFactorSlow = 0.75;
constexpr double ShrinkFactorRefused = 0.5;
constexpr double RecoverySeconds = 6; ///< For growing from 0 to the maximum.
constexpr double MinSlowShare = 0.01;
constexpr double MaxSlowShare = 0.5;
constexpr double QueuedSlowShare = 0.9; ///< Of the responses of a target with a queue.
/// As much as one slow response gives where slow responses are rarest.
const double SufficientEvidence = std::log(QueuedSlowShare / MinSlowShare);

/// Returns the logarithm of the likelihood ratio of a queue, as in a sequential test.
double evidenceOf(bool isSlow, double slowShare)
{
    const double usual = std::clamp(slowShare, MinSlowShare, MaxSlowShare);
    return isSlow ? std::log(QueuedSlowShare / usual) : std::log((1 - QueuedSlowShare) / (1 - usual));
}

} // namespace

void in_flight_limit::setRoom(const target_room &room)
{
    BALSAM_ASSERT(room.slots >= 1 && room.senders >= 1);
    m_room = room;
}

double in_flight_limit::maximum() const
{
    return std::max(MinMaximum, MaximumPerSlot * m_room.slots);
}

double in_flight_limit::slotShare() const
{
    return std::max(1.0, static_cast<double>(m_room.slots) / m_room.senders);
}

double in_flight_limit::at(clock::time_point now) const
{
    if (!m_isReduced) {
        return maximum();
    }
    const double elapsed = std::chrono::duration<double>(now - m_grownAt).count();
    return std::min(maximum(), m_reducedLimit + elapsed * maximum() / RecoverySeconds);
}

bool in_flight_limit::permits(std::size_t inFlight, clock::time_point now) const
{
    return static_cast<double>(inFlight) + 1 <= at(now);
}

void in_flight_limit::onLatency(clock::time_point sentAt, clock::time_point now, const latency_profile &usual, std::size_t inFlight)
{
    if (m_isReduced && sentAt < m_shrunkAt) {
        return;
    }
    const bool isSlow = now - sentAt > usual.slowAfter;
    // The time before a slow response doesn't count as recovery.
    m_reducedLimit = isSlow ? m_reducedLimit : at(now);
    m_grownAt = now;
    m_evidence = std::max(0.0, m_evidence + evidenceOf(isSlow, usual.slowShare));
    if (m_evidence >= SufficientEvidence) {
        shrink(ShrinkFactorSlow, slotShare(), inFlight, now);
    }
}

void in_flight_limit::onRefused(clock::time_point sentAt, clock::time_point now, std::size_t inFlight)
{
    if (!m_isReduced || sentAt >= m_shrunkAt) {
        shrink(ShrinkFactorRefused, 1, inFlight, now);
    }
}

void in_flight_limit::shrink(double factor, double minimum, std::size_t inFlight, clock::time_point now)
{
    const double used = std::min(at(now), static_cast<double>(inFlight));
    m_reducedLimit = std::max(minimum, used * factor);
    m_isReduced = true;
    m_shrunkAt = now;
    m_grownAt = now;
    m_evidence = 0;
}

} // namespace balsamhook
