#include "routing/target_health.h"

#include "base/assert.h"

#include <algorithm>
#include <cmath>

namespace balsamhook
{

namespace
{

constexpr double SmoothingWeight = 0.25; ///< Of the newest sample.
constexpr double MaxLatencyRatio = 40;
constexpr double SlownessDecaySeconds = 1.5; ///< Time constant; a slow target without requests is used again after a few of these.
constexpr double RefusalWeight = 0.15; ///< Of the newest outcome in the share of refused requests.
constexpr double RefusalDecaySeconds = 4;
constexpr double StallFactor = 3;
constexpr std::chrono::milliseconds StallMargin{12};
constexpr std::chrono::milliseconds StallRemainingTime{60}; ///< Half of a typical pause.
constexpr std::chrono::milliseconds InitialBackoff{100};
constexpr std::chrono::milliseconds MaxBackoff{2000};
constexpr std::chrono::milliseconds RefusedBackoff{15};

double ratioOf(std::chrono::nanoseconds latency, std::chrono::microseconds typical)
{
    const double reference = std::max<double>(1, static_cast<double>(typical.count()));
    return std::min(std::chrono::duration<double, std::micro>(latency).count() / reference, MaxLatencyRatio);
}

/// Limits the increase for one response: the requests in flight during a pause of a target all return late, which must not count as lasting slowness.
double maxNextSlowness(double slowness)
{
    return slowness * 2 + 1;
}

} // namespace

void target_health::onSent(clock::time_point sentAt)
{
    m_sent.push_back(sentAt);
}

void target_health::removeInFlight(clock::time_point sentAt)
{
    const auto found = std::find(m_sent.begin(), m_sent.end(), sentAt);
    if (found != m_sent.end()) {
        m_sent.erase(found);
    }
}

void target_health::onResponse(clock::time_point sentAt, clock::time_point now, const latency_profile &usual)
{
    m_limit.onLatency(sentAt, now, usual, m_sent.size());
    removeInFlight(sentAt);
    m_failures = 0;
    m_availableAt = {};
    recordRefusal(false, now);
    const double current = slownessAt(now);
    m_slowness = current * (1 - SmoothingWeight) + std::min(ratioOf(now - sentAt, usual.median), maxNextSlowness(current)) * SmoothingWeight;
    m_slownessAt = now;
}

void target_health::setRoom(const target_room &room)
{
    m_limit.setRoom(room);
}

bool target_health::hasCapacity(clock::time_point now) const
{
    return hasCapacityFor(1, now);
}

bool target_health::hasCapacityFor(unsigned requests, clock::time_point now) const
{
    BALSAM_ASSERT(requests >= 1);
    return m_limit.permits(m_sent.size() + requests - 1, now);
}

void target_health::onRefused(clock::time_point sentAt, clock::time_point now)
{
    m_limit.onRefused(sentAt, now, m_sent.size());
    removeInFlight(sentAt);
    recordRefusal(true, now);
    m_availableAt = std::max(m_availableAt, now + RefusedBackoff);
}

void target_health::onFailed(clock::time_point sentAt, clock::time_point now)
{
    removeInFlight(sentAt);
    backOff(now);
}

void target_health::onAbandoned(clock::time_point sentAt, clock::time_point now, const latency_profile &usual)
{
    const auto elapsed = now - sentAt;
    if (elapsed > usual.slowAfter) {
        m_limit.onLatency(sentAt, now, usual, m_sent.size());
    }
    removeInFlight(sentAt);
    if (elapsed > usual.median * 4 + StallMargin) {
        const double current = slownessAt(now);
        m_slowness = std::max(current, std::min(ratioOf(elapsed, usual.median), maxNextSlowness(current)));
        m_slownessAt = now;
    }
}

void target_health::onDiscarded(clock::time_point sentAt)
{
    removeInFlight(sentAt);
}

void target_health::onUnreachable(clock::time_point now)
{
    backOff(now);
}

void target_health::backOff(clock::time_point now)
{
    // Failures of requests that were in flight together count once.
    if (now < m_availableAt) {
        return;
    }
    constexpr unsigned MaxShift = 5;
    const auto backoff = InitialBackoff * (1U << std::min(m_failures, MaxShift));
    m_availableAt = now + std::min<clock::duration>(backoff, MaxBackoff);
    ++m_failures;
}

bool target_health::isAvailable(clock::time_point now) const
{
    return now >= m_availableAt;
}

target_health::clock::time_point target_health::availableAt() const
{
    return m_availableAt;
}

double target_health::slownessAt(clock::time_point now) const
{
    if (m_slownessAt == clock::time_point{}) {
        return m_slowness;
    }
    const double idle = std::chrono::duration<double>(now - m_slownessAt).count();
    return 1 + (m_slowness - 1) * std::exp(-idle / SlownessDecaySeconds);
}

bool target_health::isStalled(microseconds typical, clock::time_point now) const
{
    const auto oldest = oldestInFlight();
    if (!oldest) {
        return false;
    }
    const double estimate = static_cast<double>(typical.count()) * std::max(1.0, slownessAt(now));
    const microseconds limit = microseconds(static_cast<std::int64_t>(estimate * StallFactor)) + StallMargin;
    return now - *oldest > limit;
}

target_health::microseconds target_health::expectedLatency(microseconds typical, unsigned slots, clock::time_point now) const
{
    const double queue = static_cast<double>(m_sent.size()) / std::max(1U, slots);
    const double estimate = static_cast<double>(typical.count()) * slownessAt(now) * (1 + queue);
    microseconds expected(static_cast<std::int64_t>(estimate));
    if (isStalled(typical, now)) {
        expected += StallRemainingTime;
    }
    return expected;
}

void target_health::recordRefusal(bool wasRefused, clock::time_point now)
{
    m_refusedShare = refusedShare(now) * (1 - RefusalWeight) + (wasRefused ? RefusalWeight : 0);
    m_refusedShareAt = now;
}

double target_health::refusedShare(clock::time_point now) const
{
    if (m_refusedShare == 0) {
        return 0;
    }
    const double idle = std::chrono::duration<double>(now - m_refusedShareAt).count();
    return m_refusedShare * std::exp(-idle / RefusalDecaySeconds);
}

unsigned target_health::inFlight() const
{
    return static_cast<unsigned>(m_sent.size());
}

std::optional<target_health::clock::time_point> target_health::oldestInFlight() const
{
    if (m_sent.empty()) {
        return std::nullopt;
    }
    return *std::min_element(m_sent.begin(), m_sent.end());
}

} // namespace balsamhook
