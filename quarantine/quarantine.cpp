#include "quarantine/quarantine.h"

#include <algorithm>

namespace balsamhook
{

std::uint64_t queryFingerprint(std::string_view service, std::string_view text)
{
    return stableHash(text, stableHash(service));
}

std::uint64_t commandFingerprint(std::string_view service, std::string_view key, std::string_view payload)
{
    return stableHash(payload, stableHash(key, stableHash(service)));
}

quarantine::quarantine(std::chrono::milliseconds period, std::size_t capacity)
    : m_period(period)
    , m_capacity(capacity)
{
    BALSAM_ASSERT(capacity >= 1);
}

void quarantine::recordCrash(std::uint64_t fingerprint, std::string_view target, time_point now)
{
    const auto [found, isNew] = m_suspects.try_emplace(fingerprint, suspect{std::string(target), now});
    suspect &entry = found->second;
    if (isNew) {
        limitSize();
        return;
    }
    // A first crash long ago is no evidence any more.
    const bool isRecent = now - entry.crashedAt <= m_period;
    if (isRecent && entry.target != target) {
        entry.refusedUntil = now + m_period;
        entry.crashedAt = now;
        return;
    }
    entry.target = target;
    entry.crashedAt = now;
}

void quarantine::merge(const quarantine_notice &notice, time_point now)
{
    const std::chrono::milliseconds remaining = std::clamp(std::chrono::milliseconds(notice.remainingMilliseconds), std::chrono::milliseconds(0), m_period);
    suspect &entry = m_suspects.try_emplace(notice.fingerprint, suspect{std::string(), now}).first->second;
    entry.refusedUntil = std::max(entry.refusedUntil, now + remaining);
    limitSize();
}

bool quarantine::isRefused(std::uint64_t fingerprint, time_point now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now < found->second.refusedUntil;
}

void quarantine::merge(const crash_notice &notice, time_point now)
{
    for (const target_crash &crash : notice.crashes) {
        recordCrash(crash.fingerprint, crash.target, now);
    }
    for (const quarantine_notice &refused : notice.refused) {
        merge(refused, now);
    }
}

crash_notice quarantine::everything(time_point now) const
{
    crash_notice all{{}, notices(now)};
    for (const auto &[fingerprint, entry] : m_suspects) {
        const bool isRecent = !entry.target.empty() && now - entry.crashedAt <= m_period;
        if (isRecent) {
            all.crashes.push_back({fingerprint, entry.target});
        }
    }
    return all;
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
