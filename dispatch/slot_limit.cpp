#include "dispatch/slot_limit.h"

#include <algorithm>
#include <vector>

namespace balsamhook
{

namespace
{

constexpr std::size_t ResponsesPerStep = 5;
// A large part of the interval of status polls, so that the limit seldom rises before a status can report that the target is cold.
constexpr std::chrono::milliseconds StepInterval{500};
// A status that is still "cold" after this time while responses arrive at the baseline service time is stale.
constexpr std::chrono::seconds ColdStatusTimeout{60};
// A target with empty caches takes about twice its baseline service time; both factors are below that.
constexpr double RiseFactor = 1.5;
constexpr double SlowdownFactor = 1.8;
constexpr std::size_t SlowdownSamples = 11;
// A cold target under full load takes several times its baseline service time, so a few slow responses in a row are sufficient evidence. With 3%
// stragglers, four in a row occur about once in a million responses.
constexpr double SevereSlowdownFactor = 2.5;
constexpr std::size_t SevereSlowdownSamples = 4;
constexpr std::size_t MaxRecentSamples = 64;
// Relative step by which the baseline follows the median service time of a warm target.
constexpr double WarmBaselineStep = 0.01;
constexpr double ColdBaselineDecrease = 0.02;
// The baseline rises much more slowly during slow start; otherwise it would soon adapt to the service time of a cold target.
constexpr double ColdBaselineIncrease = 0.002;
constexpr double MeanWeight = 0.1; // Of a new sample in the moving average.

} // namespace

slot_limit::slot_limit(std::uint32_t coldSlots, std::uint32_t slots, time_point now)
    : m_coldSlots(coldSlots)
    , m_slots(slots)
    , m_limit(coldSlots)
    , m_changedAt(now)
{
    BALSAM_ASSERT(coldSlots >= 1 && coldSlots <= slots);
}

void slot_limit::resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now)
{
    BALSAM_ASSERT(coldSlots >= 1 && coldSlots <= slots);
    if (coldSlots == m_coldSlots && slots == m_slots) {
        return;
    }
    m_coldSlots = coldSlots;
    m_slots = slots;
    m_limit = std::clamp(m_limit, m_coldSlots, m_slots);
    m_isWarm = m_isWarm && m_limit == m_slots;
    m_responsesSinceChange = 0;
    m_changedAt = now;
}

void slot_limit::reset(time_point now)
{
    m_limit = m_coldSlots;
    m_isWarm = false;
    m_responsesSinceChange = 0;
    m_samplesSinceReset = 0;
    m_changedAt = now;
}

void slot_limit::recordResponse(microseconds serviceTime, time_point now)
{
    addSample(serviceTime);
    updateBaseline(serviceTime);
    if (hasSlowedDown()) {
        reset(now);
        return;
    }
    ++m_responsesSinceChange;
    const bool hasBaselineSpeed = m_responsesSinceChange >= ResponsesPerStep && newestMedian(ResponsesPerStep) <= RiseFactor * m_baseline;
    const bool canRise = hasBaselineSpeed && now - m_changedAt >= StepInterval && !isBlockedByStatus(now);
    if (m_isWarm || !canRise) {
        return;
    }
    m_limit = std::min(m_limit + 1, m_slots);
    m_isWarm = m_limit == m_slots;
    m_responsesSinceChange = 0;
    m_changedAt = now;
}

void slot_limit::recordTimeout(microseconds waited, time_point now)
{
    addSample(waited);
    m_responsesSinceChange = 0;
    if (hasSlowedDown()) {
        reset(now);
    }
}

void slot_limit::recordStatus(bool cold, time_point now)
{
    // Only a change resets the limit: a status that stays cold although responses are fast is stale.
    const bool becameCold = cold && !m_isStatusCold;
    m_isStatusCold = cold;
    if (becameCold) {
        reset(now);
    }
}

std::uint32_t slot_limit::limit() const
{
    return m_limit;
}

bool slot_limit::isWarm() const
{
    return m_isWarm;
}

slot_limit::microseconds slot_limit::mean() const
{
    return microseconds(static_cast<std::int64_t>(m_mean));
}

slot_limit::microseconds slot_limit::baseline() const
{
    return microseconds(static_cast<std::int64_t>(m_baseline));
}

slot_limit::microseconds slot_limit::percentile95() const
{
    if (m_recentSamples.empty()) {
        return microseconds(0);
    }
    std::vector<std::int64_t> sorted(m_recentSamples.begin(), m_recentSamples.end());
    const std::size_t rank = sorted.size() * 95 / 100;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    return microseconds(sorted[rank]);
}

void slot_limit::addSample(microseconds sample)
{
    const auto value = static_cast<double>(sample.count());
    m_mean = m_mean == 0 ? value : m_mean + (value - m_mean) * MeanWeight;
    m_recentSamples.push_back(sample.count());
    if (m_recentSamples.size() > MaxRecentSamples) {
        m_recentSamples.pop_front();
    }
    ++m_samplesSinceReset;
}

bool slot_limit::hasSlowedDown() const
{
    const std::size_t samples = std::min(m_samplesSinceReset, m_recentSamples.size());
    if (m_baseline == 0 || samples < SevereSlowdownSamples) {
        return false;
    }
    const auto newest = m_recentSamples.end() - static_cast<std::ptrdiff_t>(SevereSlowdownSamples);
    if (static_cast<double>(*std::min_element(newest, m_recentSamples.end())) > SevereSlowdownFactor * m_baseline) {
        return true;
    }
    return samples >= SlowdownSamples && newestMedian(SlowdownSamples) > SlowdownFactor * m_baseline;
}

double slot_limit::newestMedian(std::size_t count) const
{
    BALSAM_ASSERT(count >= 1 && count <= m_recentSamples.size());
    std::vector<std::int64_t> newest(m_recentSamples.end() - static_cast<std::ptrdiff_t>(count), m_recentSamples.end());
    const auto middle = newest.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(newest.begin(), middle, newest.end());
    return static_cast<double>(*middle);
}

bool slot_limit::isBlockedByStatus(time_point now) const
{
    return m_isStatusCold && now - m_changedAt < ColdStatusTimeout;
}

void slot_limit::updateBaseline(microseconds sample)
{
    const auto value = std::max<double>(1.0, static_cast<double>(sample.count()));
    if (m_baseline == 0) {
        m_baseline = value;
        return;
    }
    if (value < m_baseline) {
        m_baseline *= 1 - (m_isWarm ? WarmBaselineStep : ColdBaselineDecrease);
    } else if (value > m_baseline) {
        m_baseline *= 1 + (m_isWarm ? WarmBaselineStep : ColdBaselineIncrease);
    }
}

} // namespace balsamhook
