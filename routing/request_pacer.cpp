#include "routing/request_pacer.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// What the rate allows in this time may be sent at once.
constexpr std::chrono::duration<double> BurstPeriod{1};

std::chrono::steady_clock::duration toClock(std::chrono::duration<double> span)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(span);
}

} // namespace

void request_pacer::setRate(double perSecond, clock::time_point now)
{
    BALSAM_ASSERT(perSecond > 0);
    const seconds interval(1 / perSecond);
    if (m_interval.count() <= 0) {
        m_interval = interval;
        reset(now);
        return;
    }
    if (m_nextAt > now) {
        m_nextAt = now + toClock((m_nextAt - now) * (interval / m_interval));
    }
    m_interval = interval;
}

request_pacer::seconds request_pacer::saved() const
{
    return std::max(seconds(0), BurstPeriod - m_interval);
}

void request_pacer::reset(clock::time_point now)
{
    m_nextAt = std::max(m_nextAt, now + toClock(m_interval + saved()));
}

request_pacer::clock::time_point request_pacer::availableAt() const
{
    return m_nextAt - toClock(saved());
}

request_pacer::clock::time_point request_pacer::fullAt() const
{
    return m_nextAt;
}

void request_pacer::onSent(clock::time_point now)
{
    m_nextAt = std::max(m_nextAt, now) + toClock(m_interval);
}

} // namespace balsamhook
