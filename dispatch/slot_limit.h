#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace balsamhook
{

/// Slow start of one target: how many requests may run there at once. The limit starts at the cold bound, rises one slot at a time on
/// evidence of answers at normal service time, and falls back at once. Pure logic; not thread-safe.
class slot_limit
{
public:
    using time_point = boot_clock::time_point;
    using microseconds = std::chrono::microseconds;

    /// Precondition: 1 <= coldSlots <= slots.
    slot_limit(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Takes new bounds from the configuration. A raised bound is reached by slow start.
    void resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Falls to the cold bound.
    void reset(time_point now);

    /// Counts an answer; falls to the cold bound when the service time has jumped.
    void recordAnswer(microseconds serviceTime, time_point now);

    /// Counts a request that got no answer within its time.
    void recordTimeout(microseconds waited, time_point now);

    /// Takes the target's own statement from its status. A change to "cold" resets the limit and delays its rise, but only for a bounded
    /// time, because the status may be stale.
    void recordStatus(bool cold, time_point now);

    std::uint32_t limit() const;

    /// True when the limit has reached all slots by evidence.
    bool isWarm() const;

    /// Mean service time of recent answers; 0 when unknown.
    microseconds mean() const;

    /// Service time of undisturbed answers; 0 when unknown.
    microseconds normal() const;

    /// 95th percentile of recent answers; 0 when unknown.
    microseconds percentile95() const;

private:
    void addSample(microseconds sample);
    bool hasJumped() const;

    /// Median of the newest samples, so that one straggler alone neither drops nor holds the limit.
    double newestMedian(std::size_t count) const;
    bool isHeldByStatus(time_point now) const;
    void adaptNormal(microseconds sample);

    std::uint32_t m_coldSlots;
    std::uint32_t m_slots;
    std::uint32_t m_limit;
    bool m_warm = false;
    std::size_t m_answers = 0; ///< Without a timeout between them since the last change of the limit.
    time_point m_changedAt;
    bool m_statusCold = false;
    double m_normal = 0; ///< Microseconds
    double m_mean = 0; ///< Microseconds
    std::deque<std::int64_t> m_recent; ///< Microseconds, oldest first.
    std::size_t m_samplesSinceReset = 0;
};

} // namespace balsamhook
