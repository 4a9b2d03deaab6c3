#include "node/crash_watch.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A target that is found to be down this long after a connection ended is taken to have crashed then.
constexpr std::chrono::seconds CrashMemory{3};
/// Others hear of a crash with each heartbeat for this long, so that a lost datagram does no harm.
constexpr std::chrono::seconds TellTime{10};
constexpr std::chrono::minutes RefusalPeriod{1};
constexpr std::size_t MostFingerprints = 256;
constexpr std::size_t MostLostPerTarget = 32;
/// Keeps a heartbeat within one datagram.
constexpr std::size_t MostToldCrashes = 12;
/// Searchers also crash for other reasons, with unlucky requests under way. Three targets and a caller that asked again are no coincidence.
constexpr quarantine_thresholds Thresholds{3, 2};

} // namespace

crash_watch::crash_watch(event_log &log, counters &numbers)
    : m_log(log)
    , m_numbers(numbers)
    , m_quarantine(RefusalPeriod, MostFingerprints, Thresholds)
{
}

void crash_watch::onLost(const std::string &targetId, const outgoing_request &request, time_point now)
{
    std::vector<lost_request> &lost = m_lost[targetId];
    std::erase_if(lost, [now](const lost_request &entry) { return now - entry.at > CrashMemory; });
    if (lost.size() < MostLostPerTarget) {
        lost.push_back({request.fingerprint(), request.requestId(), now});
    }
}

void crash_watch::onTargetDown(const std::string &targetId, time_point now)
{
    const auto found = m_lost.find(targetId);
    if (found == m_lost.end()) {
        return;
    }
    const std::vector<lost_request> lost = std::move(found->second);
    m_lost.erase(found);
    std::erase_if(m_own, [now](const own_crash &told) { return now - told.at > TellTime; });
    for (const lost_request &entry : lost) {
        if (now - entry.at > CrashMemory) {
            continue;
        }
        m_numbers.add("requests_at_crash_total");
        m_quarantine.recordCrash(entry.fingerprint, targetId, now, entry.requestId);
        m_own.push_back({{entry.fingerprint, targetId, entry.requestId}, now});
        m_log.write(event_class::Decision,
                    event_line("targets", "crash_blamed")
                        .add("id", entry.requestId)
                        .add("target", targetId)
                        .add("fingerprint", entry.fingerprint)
                        .add("refused_ms", m_quarantine.refusedFor(entry.fingerprint, now).count()),
                    event_log::clock::now());
    }
}

void crash_watch::forget(const std::string &targetId)
{
    m_lost.erase(targetId);
}

void crash_watch::merge(const std::vector<peer_crash> &seen, time_point now)
{
    for (const peer_crash &crash : seen) {
        m_quarantine.recordCrash(crash.fingerprint, crash.target, now, crash.requestId);
    }
}

std::vector<peer_crash> crash_watch::recent(time_point now) const
{
    std::vector<peer_crash> told;
    // The newest first: they matter most when not all fit.
    for (auto entry = m_own.rbegin(); entry != m_own.rend() && told.size() < MostToldCrashes; ++entry) {
        if (now - entry->at <= TellTime) {
            told.push_back(entry->crash);
        }
    }
    return told;
}

std::chrono::milliseconds crash_watch::refusedFor(const outgoing_request &request, time_point now) const
{
    if (m_quarantine.isEmpty()) {
        return std::chrono::milliseconds(0);
    }
    return m_quarantine.refusedFor(request.fingerprint(), now);
}

} // namespace balsamhook
