#include "node/crash_tracker.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A target that is found to be down within this time after a connection ended is taken to have crashed at that moment.
constexpr std::chrono::seconds CrashDetectionWindow{3};
/// Exceeds the time after which the registration of a target that crashed expires.
constexpr std::chrono::seconds MaxLossAge{15};
/// Each heartbeat announces a crash for this long, so that peers receive it although datagrams are lost.
constexpr std::chrono::seconds AnnouncePeriod{10};
constexpr std::chrono::minutes RefusalPeriod{1};
/// A request that still crashes targets when its refusal ends is refused for up to this long.
constexpr std::chrono::hours LongestRefusalPeriod{1};
constexpr std::size_t MaxFingerprints = 256;
constexpr std::size_t MaxLostPerTarget = 32;
/// Keeps a heartbeat within one datagram.
constexpr std::size_t MaxAnnouncedCrashes = 12;
/// Limits the traffic of heartbeats.
constexpr std::size_t MaxAnnouncedRefusals = 4;
/// Keeps the instance's entry in the store small.
constexpr std::size_t MaxCurrentRefusals = 64;
/// Targets also crash for other reasons while unrelated requests are in flight. Crashes of three targets with two different requests of the same
/// fingerprint are unlikely to be a coincidence.
constexpr quarantine_thresholds CrashThresholds{3, 2};

} // namespace

crash_tracker::crash_tracker(event_log &log, counters &metrics)
    : m_log(log)
    , m_metrics(metrics)
    , m_quarantine(RefusalPeriod, MaxFingerprints, CrashThresholds, LongestRefusalPeriod)
{
}

void crash_tracker::onConnectionLost(const std::string &targetId, const outgoing_request &request, time_point now)
{
    std::vector<lost_request> &lost = m_lostRequests[targetId];
    std::erase_if(lost, [&](const lost_request &entry) {
        const bool isTooOld = now - entry.at > MaxLossAge;
        if (isTooOld) {
            logDiscarded(targetId, entry, "too_old");
        }
        return isTooOld;
    });
    if (lost.size() >= MaxLostPerTarget) {
        return;
    }
    lost.push_back({request.fingerprint(), request.requestId(), now});
    m_log.write(event_class::Decision,
                event_line("targets", "loss_recorded").add("id", request.requestId()).add("target", targetId).add("fingerprint", lost.back().fingerprint),
                event_log::clock::now());
}

void crash_tracker::onTargetDown(const std::string &targetId, time_point now)
{
    attributeCrash(targetId, CrashDetectionWindow, now);
}

void crash_tracker::attributeCrash(const std::string &targetId, std::chrono::milliseconds maxAge, time_point now)
{
    const auto found = m_lostRequests.find(targetId);
    if (found == m_lostRequests.end()) {
        return;
    }
    const std::vector<lost_request> lost = std::move(found->second);
    m_lostRequests.erase(found);
    std::erase_if(m_localCrashes, [now](const local_crash &entry) { return now - entry.at > AnnouncePeriod; });
    for (const lost_request &entry : lost) {
        if (now - entry.at > maxAge) {
            logDiscarded(targetId, entry, "too_old");
        } else {
            recordCrash(targetId, entry, now);
        }
    }
}

void crash_tracker::recordCrash(const std::string &targetId, const lost_request &entry, time_point now)
{
    m_metrics.add("requests_at_crash_total");
    const auto refusedBefore = m_quarantine.refusedFor(entry.fingerprint, now);
    m_quarantine.recordCrash(entry.fingerprint, targetId, now, entry.requestId);
    m_decisions += m_quarantine.refusedFor(entry.fingerprint, now) > refusedBefore ? 1 : 0;
    m_localCrashes.push_back({{entry.fingerprint, targetId, entry.requestId}, now});
    m_log.write(event_class::Decision,
                event_line("targets", "crash_attributed")
                    .add("id", entry.requestId)
                    .add("target", targetId)
                    .add("fingerprint", entry.fingerprint)
                    .add("refused_ms", m_quarantine.refusedFor(entry.fingerprint, now).count()),
                event_log::clock::now());
}

void crash_tracker::onTargetAlive(const std::string &targetId)
{
    discard(targetId, "target_alive");
}

bool crash_tracker::hasLosses(const std::string &targetId) const
{
    return m_lostRequests.count(targetId) > 0;
}

void crash_tracker::onTargetExpired(const std::string &targetId, std::chrono::milliseconds lapse, time_point now)
{
    attributeCrash(targetId, lapse, now);
}

void crash_tracker::onTargetLeft(const std::string &targetId)
{
    discard(targetId, "target_left");
}

void crash_tracker::discard(const std::string &targetId, std::string_view reason)
{
    const auto found = m_lostRequests.find(targetId);
    if (found == m_lostRequests.end()) {
        return;
    }
    for (const lost_request &entry : found->second) {
        logDiscarded(targetId, entry, reason);
    }
    m_lostRequests.erase(found);
}

void crash_tracker::logDiscarded(const std::string &targetId, const lost_request &entry, std::string_view reason)
{
    m_metrics.add(std::string("losses_discarded_total{reason=\"").append(reason).append("\"}"));
    m_log.write(
        event_class::Decision,
        event_line("targets", "loss_discarded").add("id", entry.requestId).add("target", targetId).add("fingerprint", entry.fingerprint).add("reason", reason),
        event_log::clock::now());
}

void crash_tracker::merge(const std::vector<peer_crash> &crashes, time_point now)
{
    for (const peer_crash &crash : crashes) {
        m_quarantine.recordCrash(crash.fingerprint, crash.target, now, crash.requestId);
    }
}

std::vector<peer_crash> crash_tracker::recentCrashes(time_point now) const
{
    std::vector<peer_crash> announced;
    // Newest first, because the oldest matter least when not all fit.
    for (auto entry = m_localCrashes.rbegin(); entry != m_localCrashes.rend() && announced.size() < MaxAnnouncedCrashes; ++entry) {
        if (now - entry->at <= AnnouncePeriod) {
            announced.push_back(entry->crash);
        }
    }
    return announced;
}

void crash_tracker::merge(const std::vector<peer_refusal> &refusals, time_point now)
{
    for (const peer_refusal &refusal : refusals) {
        m_quarantine.merge(quarantine_notice{refusal.fingerprint, refusal.remainingMilliseconds}, now);
    }
}

std::vector<peer_refusal> crash_tracker::currentRefusals(time_point now) const
{
    std::vector<peer_refusal> current;
    for (const quarantine_notice &notice : m_quarantine.notices(now)) {
        current.push_back({notice.fingerprint, static_cast<std::uint32_t>(notice.remainingMilliseconds)});
    }
    std::sort(current.begin(), current.end(), [](const peer_refusal &left, const peer_refusal &right) {
        return left.remainingMilliseconds > right.remainingMilliseconds;
    });
    current.resize(std::min(current.size(), MaxCurrentRefusals));
    return current;
}

std::vector<peer_refusal> crash_tracker::nextRefusals(time_point now)
{
    std::vector<peer_refusal> current = currentRefusals(now);
    if (current.size() > MaxAnnouncedRefusals) {
        m_nextRefusal %= current.size();
        std::rotate(current.begin(), current.begin() + static_cast<std::ptrdiff_t>(m_nextRefusal), current.end());
        current.resize(MaxAnnouncedRefusals);
        m_nextRefusal += MaxAnnouncedRefusals;
    }
    return current;
}

std::uint64_t crash_tracker::decisions() const
{
    return m_decisions;
}

void crash_tracker::onCompleted(const outgoing_request &request, time_point now)
{
    if (!m_quarantine.isEmpty()) {
        m_quarantine.onCompleted(request.fingerprint(), now);
    }
}

bool crash_tracker::isSuspected(const outgoing_request &request, time_point now) const
{
    return !m_quarantine.isEmpty() && m_quarantine.isSuspected(request.fingerprint(), now);
}

std::chrono::milliseconds crash_tracker::refusedFor(const outgoing_request &request, time_point now) const
{
    if (m_quarantine.isEmpty()) {
        return std::chrono::milliseconds(0);
    }
    return m_quarantine.refusedFor(request.fingerprint(), now);
}

} // namespace balsamhook
