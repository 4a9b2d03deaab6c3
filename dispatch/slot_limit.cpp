#include "dispatch/slot_limit.h"

#include <algorithm>
#include <vector>

namespace balsamhook
{

namespace
{

constexpr std::size_t AnswersPerStep = 5;
// Longer than the largest part of a status poll's period, so that a step seldom happens before the target could say that it is cold.
constexpr std::chrono::milliseconds StepInterval{500};
// A target that says "cold" for longer than this while it answers at normal service time has a stale status.
constexpr std::chrono::seconds StatusTrust{60};
// A target with empty caches takes about twice its normal time; both factors lie below that.
constexpr double NormalFactor = 1.5;
constexpr double JumpFactor = 1.8;
constexpr std::size_t JumpSamples = 11;
// A cold target under full load takes several times its normal time; a few such answers in a row are enough. At 3% stragglers, four in a
// row come about once in a million answers.
constexpr double CollapseFactor = 2.5;
constexpr std::size_t CollapseSamples = 4;
constexpr std::size_t RecentSamples = 64;
// The normal service time follows the median of warm answers by steps of this share.
constexpr double WarmStep = 0.01;
constexpr double ColdFall = 0.02;
// In cold start the normal service time hardly rises, else a slow cold target would soon count as normal.
constexpr double ColdRise = 0.002;
constexpr double MeanWeight = 0.1;

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
    m_warm = m_warm && m_limit == m_slots;
    m_answers = 0;
    m_changedAt = now;
}

void slot_limit::reset(time_point now)
{
    m_limit = m_coldSlots;
    m_warm = false;
    m_answers = 0;
    m_samplesSinceReset = 0;
    m_changedAt = now;
}

void slot_limit::recordAnswer(microseconds serviceTime, time_point now)
{
    addSample(serviceTime);
    adaptNormal(serviceTime);
    if (hasJumped()) {
        reset(now);
        return;
    }
    ++m_answers;
    const bool hasEvidence = m_answers >= AnswersPerStep && newestMedian(AnswersPerStep) <= NormalFactor * m_normal;
    const bool mayRise = hasEvidence && now - m_changedAt >= StepInterval && !isHeldByStatus(now);
    if (m_warm || !mayRise) {
        return;
    }
    m_limit = std::min(m_limit + 1, m_slots);
    m_warm = m_limit == m_slots;
    m_answers = 0;
    m_changedAt = now;
}

void slot_limit::recordTimeout(microseconds waited, time_point now)
{
    addSample(waited);
    m_answers = 0;
    if (hasJumped()) {
        reset(now);
    }
}

void slot_limit::recordStatus(bool cold, time_point now)
{
    // Only the change counts: a status that stays cold although answers are normal is stale.
    const bool becameCold = cold && !m_statusCold;
    m_statusCold = cold;
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
    return m_warm;
}

slot_limit::microseconds slot_limit::mean() const
{
    return microseconds(static_cast<std::int64_t>(m_mean));
}

slot_limit::microseconds slot_limit::normal() const
{
    return microseconds(static_cast<std::int64_t>(m_normal));
}

slot_limit::microseconds slot_limit::percentile95() const
{
    if (m_recent.empty()) {
        return microseconds(0);
    }
    std::vector<std::int64_t> sorted(m_recent.begin(), m_recent.end());
    const std::size_t rank = sorted.size() * 95 / 100;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    return microseconds(sorted[rank]);
}

void slot_limit::addSample(microseconds sample)
{
    const auto value = static_cast<double>(sample.count());
    m_mean = m_mean == 0 ? value : m_mean + (value - m_mean) * MeanWeight;
    m_recent.push_back(sample.count());
    if (m_recent.size() > RecentSamples) {
        m_recent.pop_front();
    }
    ++m_samplesSinceReset;
}

bool slot_limit::hasJumped() const
{
    const std::size_t samples = std::min(m_samplesSinceReset, m_recent.size());
    if (m_normal == 0 || samples < CollapseSamples) {
        return false;
    }
    const auto newest = m_recent.end() - static_cast<std::ptrdiff_t>(CollapseSamples);
    if (static_cast<double>(*std::min_element(newest, m_recent.end())) > CollapseFactor * m_normal) {
        return true;
    }
    return samples >= JumpSamples && newestMedian(JumpSamples) > JumpFactor * m_normal;
}

double slot_limit::newestMedian(std::size_t count) const
{
    BALSAM_ASSERT(count >= 1 && count <= m_recent.size());
    std::vector<std::int64_t> newest(m_recent.end() - static_cast<std::ptrdiff_t>(count), m_recent.end());
    const auto middle = newest.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(newest.begin(), middle, newest.end());
    return static_cast<double>(*middle);
}

bool slot_limit::isHeldByStatus(time_point now) const
{
    return m_statusCold && now - m_changedAt < StatusTrust;
}

void slot_limit::adaptNormal(microseconds sample)
{
    const auto value = std::max<double>(1.0, static_cast<double>(sample.count()));
    if (m_normal == 0) {
        m_normal = value;
        return;
    }
    if (value < m_normal) {
        m_normal *= 1 - (m_warm ? WarmStep : ColdFall);
    } else if (value > m_normal) {
        m_normal *= 1 + (m_warm ? WarmStep : ColdRise);
    }
}

} // namespace balsamhook
