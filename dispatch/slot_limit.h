#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace balsamhook
{

/// Slow start of one target: limits the number of concurrent requests. The limit starts at the cold slots, rises by one slot at a time while
/// responses arrive at the baseline service time, and falls back to the cold slots immediately. Pure logic; not thread-safe.
class slot_limit
{
public:
    using time_point = boot_clock::time_point;
    using microseconds = std::chrono::microseconds;

    /// Precondition: 1 <= coldSlots <= slots.
    slot_limit(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Applies new limits from the configuration. A raised limit is reached by slow start.
    void resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Lowers the limit to the cold slots.
    void reset(time_point now);

    /// Records the service time of a response. Raises the limit by one slot when slow start permits it; resets it when recent responses are much
    /// slower than the baseline.
    void recordResponse(microseconds serviceTime, time_point now);

    /// Records a request that got no response before its deadline. Resets the limit under the same condition as recordResponse().
    void recordTimeout(microseconds waited, time_point now);

    /// Records the state that the target's status reports. A change to "cold" resets the limit and delays its rise for a limited time only,
    /// because the status may be stale.
    void recordStatus(bool cold, time_point now);

    std::uint32_t limit() const;

    /// True when slow start has reached the configured slots.
    bool isWarm() const;

    /// Moving average of the service time; 0 when unknown.
    microseconds mean() const;

    /// Estimated service time without overload or cold caches; 0 when unknown.
    microseconds baseline() const;

    /// 95th percentile of recent service times; 0 when unknown.
    microseconds percentile95() const;

private:
    void addSample(microseconds sample);
    bool hasSlowedDown() const;

    /// Median of the newest samples, so that a single straggler neither resets nor blocks the limit.
    double newestMedian(std::size_t count) const;
    bool isBlockedByStatus(time_point now) const;
    void updateBaseline(microseconds sample);

    std::uint32_t m_coldSlots;
    std::uint32_t m_slots;
    std::uint32_t m_limit;
    bool m_isWarm = false;
    std::size_t m_responsesSinceChange = 0; ///< Since the last change of the limit or the last timeout.
    time_point m_changedAt;
    bool m_isStatusCold = false;
    double m_baseline = 0; ///< Microseconds
    double m_mean = 0; ///< Microseconds
    std::deque<std::int64_t> m_recentSamples; ///< Microseconds, oldest first.
    std::size_t m_samplesSinceReset = 0;
};

} // namespace balsamhook
