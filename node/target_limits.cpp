#include "node/target_limits.h"

#include <algorithm>
#include <cmath>

namespace balsamhook
{

namespace
{

using clock = target_limits::clock;

/// A limit of 0 would also keep its end from being noticed.
constexpr double MinPerSecond = 0.1;
/// An instance counts as having requests for a target for this long after the last one. Longer than the usual pause between two, as the owners of a low
/// limit change with each instance that comes or goes.
constexpr std::chrono::seconds DemandPeriod{8};
/// Until heartbeats tell which instances have requests for a target that has just named a limit, all are taken to have some.
constexpr std::chrono::milliseconds InitialPeriod{4000};
/// A limit is forgotten this long after the last response or announcement that named it, besides the time between two requests of one owner.
constexpr std::chrono::seconds OutdatedAfter{30};
/// The end of a limit is announced for this long.
constexpr std::chrono::seconds EndAnnouncePeriod{10};
/// Limits the traffic of heartbeats.
constexpr std::size_t MaxAnnounced = 2;

} // namespace

target_limits::target_limits(event_log &log, counters &metrics, const std::string &instance)
    : m_log(log)
    , m_metrics(metrics)
    , m_instance(instance)
{
}

void target_limits::onNamed(const std::string &targetId, double perSecond, clock::time_point now)
{
    set(targetId, std::max(perSecond, MinPerSecond), now, true, now);
}

void target_limits::onNotNamed(const std::string &targetId, clock::time_point sentAt, clock::time_point now)
{
    const auto found = m_limits.find(targetId);
    if (found != m_limits.end() && found->second.perSecond > 0 && sentAt > found->second.namedAt) {
        set(targetId, 0, now, true, now);
    }
}

void target_limits::set(const std::string &targetId, double perSecond, clock::time_point namedAt, bool isOwnResponse, clock::time_point now)
{
    const auto [entry, isNew] = m_limits.try_emplace(targetId);
    limit &known = entry->second;
    const bool wasLimited = known.perSecond > 0;
    known.perSecond = perSecond;
    known.namedAt = namedAt;
    known.isOwnResponse = isOwnResponse;
    if (perSecond <= 0) {
        if (wasLimited) {
            logChange("limit_ended", targetId, known, isOwnResponse, now);
        }
        return;
    }
    if (!wasLimited) {
        known.firstNamedAt = now;
        known.share = {1, true, perSecond};
        known.pacer = request_pacer();
        known.pacer.setRate(perSecond, now);
        known.pacer.reset(now);
        logChange("limit_named", targetId, known, isOwnResponse, now);
    }
}

void target_limits::logChange(const char *event, const std::string &targetId, const limit &known, bool isOwnResponse, clock::time_point now)
{
    m_metrics.set("targets_limited", static_cast<std::int64_t>(size()));
    m_log.write(event_class::StateChange,
                event_line("targets", event).add("target", targetId).add("per_second", known.perSecond).add("source", isOwnResponse ? "response" : "peer"),
                now);
}

void target_limits::onTargetEnded(const std::string &targetId)
{
    m_limits.erase(targetId);
}

bool target_limits::isLimited(const std::string &targetId) const
{
    const auto found = m_limits.find(targetId);
    return found != m_limits.end() && found->second.perSecond > 0;
}

void target_limits::onWanted(const std::string &targetId, clock::time_point now)
{
    const auto found = m_limits.find(targetId);
    if (found != m_limits.end()) {
        found->second.wantedAt = now;
    }
}

clock::time_point target_limits::availableAt(const std::string &targetId, bool isHedge) const
{
    const auto found = m_limits.find(targetId);
    if (found == m_limits.end() || found->second.perSecond <= 0) {
        return clock::time_point{};
    }
    const limit &known = found->second;
    if (!known.share.isOwner) {
        return clock::time_point::max();
    }
    return isHedge ? known.pacer.fullAt() : known.pacer.availableAt();
}

double target_limits::meanShare(const std::string &targetId) const
{
    const auto found = m_limits.find(targetId);
    return found == m_limits.end() ? 0 : found->second.perSecond / static_cast<double>(found->second.instances);
}

void target_limits::onSent(const std::string &targetId, clock::time_point now)
{
    const auto found = m_limits.find(targetId);
    if (found != m_limits.end() && found->second.perSecond > 0) {
        found->second.pacer.onSent(now);
    }
}

void target_limits::update(const std::vector<limit_peer> &peers, clock::time_point now)
{
    for (auto entry = m_limits.begin(); entry != m_limits.end();) {
        if (isOutdated(entry->second, now)) {
            entry = m_limits.erase(entry);
            continue;
        }
        if (entry->second.perSecond > 0) {
            updateShare(entry->first, entry->second, peers, now);
        }
        ++entry;
    }
}

void target_limits::updateShare(const std::string &targetId, limit &known, const std::vector<limit_peer> &peers, clock::time_point now)
{
    const bool isInitial = now - known.firstNamedAt < InitialPeriod;
    std::vector<std::string> demanding;
    for (const limit_peer &peer : peers) {
        if (isInitial || peer.demand.contains(targetId)) {
            demanding.push_back(peer.instance);
        }
    }
    const bool wasOwner = known.share.isOwner;
    known.instances = demanding.size() + 1;
    known.share = shareOfLimit(known.perSecond, m_instance, demanding, targetId);
    known.pacer.setRate(known.share.perSecond, now);
    if (!wasOwner && known.share.isOwner) {
        // What the former owner had saved is not saved twice.
        known.pacer.reset(now);
    }
}

bool target_limits::isOutdated(const limit &known, clock::time_point now) const
{
    if (known.perSecond <= 0) {
        return now - known.namedAt > EndAnnouncePeriod;
    }
    const std::chrono::duration<double> betweenRequests(2 / known.share.perSecond);
    return now - known.namedAt > OutdatedAfter + std::chrono::duration_cast<clock::duration>(betweenRequests);
}

std::string target_limits::demand(clock::time_point now) const
{
    demand_filter filter;
    for (const auto &[targetId, known] : m_limits) {
        if (known.perSecond > 0 && now - known.wantedAt < DemandPeriod) {
            filter.add(targetId);
        }
    }
    return filter.encode();
}

bool target_limits::isAnnounced(const limit &known, clock::time_point now) const
{
    if (!known.isOwnResponse) {
        return false;
    }
    // Where each instance sends requests, each sees the target's responses itself.
    return known.perSecond <= 0 ? now - known.namedAt < EndAnnouncePeriod : known.share.owners < known.instances;
}

std::vector<peer_limit> target_limits::announcements(clock::time_point now)
{
    std::vector<std::string> targets;
    for (const auto &[targetId, known] : m_limits) {
        if (isAnnounced(known, now)) {
            targets.push_back(targetId);
        }
    }
    std::sort(targets.begin(), targets.end());
    const auto next = std::upper_bound(targets.begin(), targets.end(), m_lastAnnounced);
    std::rotate(targets.begin(), next, targets.end());
    targets.resize(std::min(targets.size(), MaxAnnounced));
    std::vector<peer_limit> announced;
    for (const std::string &targetId : targets) {
        const limit &known = m_limits.at(targetId);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.namedAt);
        announced.push_back({targetId, static_cast<float>(known.perSecond), static_cast<std::uint32_t>(age.count())});
        m_lastAnnounced = targetId;
    }
    return announced;
}

void target_limits::merge(const std::vector<peer_limit> &announced, clock::time_point now)
{
    for (const peer_limit &entry : announced) {
        const auto namedAt = now - std::chrono::milliseconds(entry.ageMilliseconds);
        const auto found = m_limits.find(entry.target);
        // An old announcement of an unknown limit may come from a peer that has not learned that the limit ended.
        const bool isRecent = now - namedAt < EndAnnouncePeriod;
        const bool isNewer = found == m_limits.end() ? entry.perSecond > 0 && isRecent : namedAt > found->second.namedAt;
        const bool isValid = entry.perSecond >= 0 && std::isfinite(entry.perSecond);
        if (isNewer && isValid) {
            set(entry.target, entry.perSecond, namedAt, false, now);
        }
    }
}

bool target_limits::isEmpty() const
{
    return m_limits.empty();
}

std::size_t target_limits::size() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto &entry) { return entry.second.perSecond > 0; }));
}

} // namespace balsamhook
