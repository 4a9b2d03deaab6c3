#include "query/target_view.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace balsamhook
{

namespace
{

/// Reports kept for one target; more than two instances never act on a target within two versions of the member list.
constexpr std::size_t ReportsPerTarget = 4;

/// A slow target is tried again after its estimate has decayed: 10 s keeps a target that is ten times slower at one trial in 33 s.
constexpr std::chrono::seconds LatencyHalfLife{10};

/// Targets that are reported but not listed; bounds what a faulty dispatcher can make a front end keep.
constexpr std::size_t UnlistedTargets = 4096;

/// Makes any replica that isn't avoided the better choice, while an avoided one is still better than none.
constexpr std::chrono::microseconds AvoidPenalty{10000000};

constexpr double SampleWeight = 0.3;

/// Optimistic, so that a target without samples gets some.
constexpr double UnknownLatencyMicroseconds = 1000;

} // namespace

void target_view::setOwners(const std::vector<target_owner> &owners)
{
    std::unordered_set<std::string> listed;
    for (const target_owner &item : owners) {
        listed.insert(item.target);
        entry &known = m_targets[item.target];
        if (known.owner != item.instance) {
            known.owner = item.instance;
            known.latencyMicroseconds = 0;
        }
    }
    for (auto &[target, known] : m_targets) {
        if (!listed.contains(target)) {
            known.owner.clear();
        }
    }
    std::erase_if(m_targets, [](const auto &item) { return item.second.owner.empty() && item.second.reports.empty(); });
    m_listed = listed.size();
}

void target_view::update(const std::string &instance, const target_report &report)
{
    const bool full = m_targets.size() >= m_listed + UnlistedTargets;
    if (report.target.empty() || (full && !m_targets.contains(report.target))) {
        return;
    }
    auto &reports = m_targets[report.target].reports;
    const auto known = std::find_if(reports.begin(), reports.end(), [&](const instance_report &item) { return item.instance == instance; });
    if (known != reports.end()) {
        known->report = report;
        return;
    }
    if (reports.size() == ReportsPerTarget) {
        reports.erase(reports.begin());
    }
    reports.push_back({instance, report});
}

void target_view::forget(const std::string &instance)
{
    for (auto &[target, known] : m_targets) {
        std::erase_if(known.reports, [&](const instance_report &item) { return item.instance == instance; });
    }
}

const target_view::entry *target_view::find(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

const target_report *target_view::ownersReport(const entry &known)
{
    const auto found = std::find_if(known.reports.begin(), known.reports.end(), [&](const instance_report &item) { return item.instance == known.owner; });
    return found == known.reports.end() ? nullptr : &found->report;
}

const std::string *target_view::owner(const std::string &target) const
{
    const entry *known = find(target);
    return known == nullptr || known->owner.empty() ? nullptr : &known->owner;
}

const target_report *target_view::report(const std::string &target) const
{
    const entry *known = find(target);
    return known == nullptr ? nullptr : ownersReport(*known);
}

bool target_view::isUsable(const std::string &target) const
{
    const target_report *known = report(target);
    return known != nullptr && known->usable;
}

bool target_view::holds(const std::string &target, const snapshot &wanted) const
{
    const target_report *known = report(target);
    return known != nullptr && known->usable && std::find(known->snapshots.begin(), known->snapshots.end(), wanted) != known->snapshots.end();
}

std::chrono::microseconds target_view::queueTime(const std::string &target) const
{
    const target_report *known = report(target);
    if (known == nullptr || known->slotLimit == 0) {
        return std::chrono::microseconds(0);
    }
    return std::chrono::microseconds(known->queueLength * known->serviceTimeMicroseconds / known->slotLimit);
}

double target_view::latency(const entry &known, boot_clock::time_point now)
{
    const std::chrono::duration<double> age = now - known.observedAt;
    return known.latencyMicroseconds * std::exp2(-age / std::chrono::duration<double>(LatencyHalfLife));
}

std::chrono::microseconds target_view::expectedTime(const std::string &target, boot_clock::time_point now) const
{
    const entry *known = find(target);
    if (known == nullptr) {
        return std::chrono::microseconds::max();
    }
    const target_report *reported = ownersReport(*known);
    double single = known->latencyMicroseconds > 0 ? latency(*known, now) : 0;
    if (single <= 0 && reported != nullptr) {
        single = static_cast<double>(reported->serviceTimeMicroseconds);
    }
    single = std::max(single, UnknownLatencyMicroseconds);
    const std::uint32_t slots = reported == nullptr ? 1 : std::max<std::uint32_t>(reported->slotLimit, 1);
    const std::uint32_t waiting = known->outstanding + (reported == nullptr ? 0 : reported->queueLength);
    const auto penalty = now < known->avoidUntil ? AvoidPenalty : std::chrono::microseconds(0);
    return penalty + std::chrono::microseconds(static_cast<std::int64_t>(single * (1.0 + static_cast<double>(waiting) / slots)));
}

void target_view::avoid(const std::string &target, boot_clock::time_point until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.avoidUntil = until;
    }
}

void target_view::attemptStarted(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.outstanding;
    }
}

void target_view::attemptEnded(const std::string &target, bool answered, std::optional<std::chrono::microseconds> elapsed, boot_clock::time_point now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    entry &known = found->second;
    known.outstanding -= known.outstanding > 0 ? 1 : 0;
    if (!elapsed) {
        return;
    }
    const double sample = static_cast<double>(elapsed->count());
    const double before = known.latencyMicroseconds > 0 ? latency(known, now) : 0;
    if (!answered) {
        known.latencyMicroseconds = std::max(before, sample);
    } else {
        known.latencyMicroseconds = before > 0 ? before + SampleWeight * (sample - before) : sample;
    }
    known.observedAt = now;
}

} // namespace balsamhook
