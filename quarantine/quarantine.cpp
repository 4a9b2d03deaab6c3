#include "quarantine/quarantine.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Limit of targets and of request ids recorded for one fingerprint.
constexpr std::size_t MaxEvidence = 16;
constexpr int RenewalFactor = 4; ///< Of the period of a renewed refusal.

} // namespace

std::uint64_t queryFingerprint(std::string_view service, std::string_view text)
{
    return stableHash(text, stableHash(service));
}

std::uint64_t commandFingerprint(std::string_view service, std::string_view key, std::string_view payload)
{
    return stableHash(payload, stableHash(key, stableHash(service)));
}

quarantine::quarantine(std::chrono::milliseconds period, std::size_t capacity, quarantine_thresholds thresholds, std::chrono::milliseconds longestPeriod)
    : m_period(period)
    , m_capacity(capacity)
    , m_thresholds(thresholds)
    , m_longestPeriod(std::max(period, longestPeriod))
{
    BALSAM_ASSERT(capacity >= 1);
    BALSAM_ASSERT(thresholds.targets >= 1);
}

bool quarantine::hasEnoughEvidence(const suspect &entry) const
{
    const std::size_t requests = std::max<std::size_t>(entry.requests.size(), 1);
    return entry.targets.size() >= m_thresholds.targets && requests >= m_thresholds.requests;
}

bool quarantine::isOnProbation(const suspect &entry, time_point now) const
{
    const bool isRenewable = m_longestPeriod > m_period && entry.lastPeriod.count() > 0;
    return isRenewable && now >= entry.refusedUntil;
}

void quarantine::refuse(suspect &entry, std::chrono::milliseconds period, time_point now)
{
    entry.lastPeriod = period;
    entry.refusedUntil = std::max(entry.refusedUntil, now + period);
}

void quarantine::recordCrash(std::uint64_t fingerprint, std::string_view target, time_point now, std::string_view requestId)
{
    suspect &entry = m_suspects.try_emplace(fingerprint, suspect{{}, {}, now, {}, {}}).first->second;
    // After a period without crashes, the earlier ones are no longer evidence.
    if (now - entry.crashedAt > m_period) {
        entry.targets.clear();
        entry.requests.clear();
    }
    if (now - entry.refusedUntil > m_longestPeriod) {
        entry.lastPeriod = std::chrono::milliseconds(0);
    }
    const bool isNewTarget = entry.targets.size() < MaxEvidence && entry.targets.emplace(target).second;
    const bool isNewRequest = !requestId.empty() && entry.requests.size() < MaxEvidence && entry.requests.emplace(requestId).second;
    if (!isNewTarget && !isNewRequest && !requestId.empty()) {
        return;
    }
    entry.crashedAt = now;
    if (isOnProbation(entry, now)) {
        refuse(entry, std::min(entry.lastPeriod * RenewalFactor, m_longestPeriod), now);
    } else if (hasEnoughEvidence(entry) && (isNewTarget || isNewRequest)) {
        refuse(entry, std::max(m_period, entry.lastPeriod), now);
    }
    limitSize();
}

void quarantine::merge(const quarantine_notice &notice, time_point now)
{
    const std::chrono::milliseconds remaining
        = std::clamp(std::chrono::milliseconds(notice.remainingMilliseconds), std::chrono::milliseconds(0), m_longestPeriod);
    suspect &entry = m_suspects.try_emplace(notice.fingerprint, suspect{{}, {}, now, {}, {}}).first->second;
    entry.refusedUntil = std::max(entry.refusedUntil, now + remaining);
    entry.lastPeriod = std::max({entry.lastPeriod, remaining, m_period});
    limitSize();
}

bool quarantine::isRefused(std::uint64_t fingerprint, time_point now) const
{
    return refusedFor(fingerprint, now).count() > 0;
}

std::chrono::milliseconds quarantine::refusedFor(std::uint64_t fingerprint, time_point now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || now >= found->second.refusedUntil) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.refusedUntil - now);
}

void quarantine::onCompleted(std::uint64_t fingerprint, time_point now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && isOnProbation(found->second, now)) {
        m_suspects.erase(found);
    }
}

bool quarantine::isSuspected(std::uint64_t fingerprint, time_point now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.targets.size() >= m_thresholds.targets && now - found->second.crashedAt <= m_period;
}

bool quarantine::isEmpty() const
{
    return m_suspects.empty();
}

void quarantine::merge(const crash_notice &notice, time_point now)
{
    for (const target_crash &crash : notice.crashes) {
        recordCrash(crash.fingerprint, crash.target, now);
    }
    for (const quarantine_notice &refused : notice.quarantined) {
        merge(refused, now);
    }
}

crash_notice quarantine::snapshot(time_point now) const
{
    crash_notice result{{}, notices(now)};
    for (const auto &[fingerprint, entry] : m_suspects) {
        if (now - entry.crashedAt > m_period) {
            continue;
        }
        for (const std::string &target : entry.targets) {
            result.crashes.push_back({fingerprint, target});
        }
    }
    return result;
}

std::vector<quarantine_notice> quarantine::notices(time_point now) const
{
    std::vector<quarantine_notice> current;
    for (const auto &[fingerprint, entry] : m_suspects) {
        if (now < entry.refusedUntil) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(entry.refusedUntil - now);
            current.push_back({fingerprint, remaining.count()});
        }
    }
    return current;
}

void quarantine::limitSize()
{
    while (m_suspects.size() > m_capacity) {
        const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
            return std::max(left.second.crashedAt, left.second.refusedUntil) < std::max(right.second.crashedAt, right.second.refusedUntil);
        });
        m_suspects.erase(oldest);
    }
}

} // namespace balsamhook
