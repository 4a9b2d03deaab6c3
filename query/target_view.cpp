#include "query/target_view.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace balsamhook
{

namespace
{

/// Reports kept for one target. At most two instances act on a target within two versions of the member list.
constexpr std::size_t MaxReportsPerTarget = 4;

/// A slow target gets attempts again once its latency estimate has decayed: with 10 s, a target that is ten times slower gets one attempt in 33 s.
constexpr std::chrono::seconds LatencyHalfLife{10};

/// Limit of the targets that are reported but not listed; bounds the memory that a faulty dispatcher can make a front end use.
constexpr std::size_t MaxUnlistedTargets = 4096;

/// Exceeds the expected time of a replica that isn't avoided. An avoided replica remains a candidate for when there is no other.
constexpr std::chrono::microseconds AvoidPenalty{10000000};

constexpr double SampleWeight = 0.3;

/// Also the estimate of a target without samples: low, so that the target gets attempts and with them samples.
constexpr double MinLatencyMicroseconds = 1000;

} // namespace

void target_view::setOwners(const std::vector<target_owner> &owners)
{
    std::unordered_set<std::string> listed;
    for (const target_owner &item : owners) {
        listed.insert(item.target);
        target_state &state = m_targets[item.target];
        if (state.owner != item.instance) {
            state.owner = item.instance;
            state.latencyMicroseconds = 0;
        }
    }
    for (auto &[target, state] : m_targets) {
        if (!listed.contains(target)) {
            state.owner.clear();
        }
    }
    std::erase_if(m_targets, [](const auto &item) { return item.second.owner.empty() && item.second.reports.empty(); });
    m_listedTargets = listed.size();
}

void target_view::update(const std::string &instance, const target_report &report)
{
    const bool isFull = m_targets.size() >= m_listedTargets + MaxUnlistedTargets;
    if (report.target.empty() || (isFull && !m_targets.contains(report.target))) {
        return;
    }
    auto &reports = m_targets[report.target].reports;
    const auto stored = std::find_if(reports.begin(), reports.end(), [&](const instance_report &item) { return item.instance == instance; });
    if (stored != reports.end()) {
        stored->report = report;
        return;
    }
    if (reports.size() == MaxReportsPerTarget) {
        reports.erase(reports.begin());
    }
    reports.push_back({instance, report});
}

void target_view::removeReports(const std::string &instance)
{
    for (auto &[target, state] : m_targets) {
        std::erase_if(state.reports, [&](const instance_report &item) { return item.instance == instance; });
    }
}

const target_view::target_state *target_view::find(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

const target_report *target_view::reportByOwner(const target_state &state)
{
    const auto found = std::find_if(state.reports.begin(), state.reports.end(), [&](const instance_report &item) { return item.instance == state.owner; });
    return found == state.reports.end() ? nullptr : &found->report;
}

const std::string *target_view::owner(const std::string &target) const
{
    const target_state *state = find(target);
    return state == nullptr || state->owner.empty() ? nullptr : &state->owner;
}

const target_report *target_view::report(const std::string &target) const
{
    const target_state *state = find(target);
    return state == nullptr ? nullptr : reportByOwner(*state);
}

bool target_view::isUsable(const std::string &target) const
{
    const target_report *ownerReport = report(target);
    return ownerReport != nullptr && ownerReport->usable;
}

bool target_view::holds(const std::string &target, const snapshot &wanted) const
{
    const target_report *ownerReport = report(target);
    return ownerReport != nullptr && ownerReport->usable
        && std::find(ownerReport->snapshots.begin(), ownerReport->snapshots.end(), wanted) != ownerReport->snapshots.end();
}

std::chrono::microseconds target_view::queueTime(const std::string &target) const
{
    const target_report *ownerReport = report(target);
    if (ownerReport == nullptr || ownerReport->slotLimit == 0) {
        return std::chrono::microseconds(0);
    }
    return std::chrono::microseconds(ownerReport->queueLength * ownerReport->serviceTimeMicroseconds / ownerReport->slotLimit);
}

double target_view::latency(const target_state &state, boot_clock::time_point now)
{
    const std::chrono::duration<double> age = now - state.observedAt;
    return state.latencyMicroseconds * std::exp2(-age / std::chrono::duration<double>(LatencyHalfLife));
}

std::chrono::microseconds target_view::expectedTime(const std::string &target, boot_clock::time_point now) const
{
    const target_state *state = find(target);
    if (state == nullptr) {
        return std::chrono::microseconds::max();
    }
    const target_report *ownerReport = reportByOwner(*state);
    double attemptLatency = state->latencyMicroseconds > 0 ? latency(*state, now) : 0;
    if (attemptLatency <= 0 && ownerReport != nullptr) {
        attemptLatency = static_cast<double>(ownerReport->serviceTimeMicroseconds);
    }
    attemptLatency = std::max(attemptLatency, MinLatencyMicroseconds);
    const std::uint32_t slots = ownerReport == nullptr ? 1 : std::max<std::uint32_t>(ownerReport->slotLimit, 1);
    const std::uint32_t aheadInQueue = state->inFlight + (ownerReport == nullptr ? 0 : ownerReport->queueLength);
    const auto penalty = now < state->avoidUntil ? AvoidPenalty : std::chrono::microseconds(0);
    return penalty + std::chrono::microseconds(static_cast<std::int64_t>(attemptLatency * (1.0 + static_cast<double>(aheadInQueue) / slots)));
}

void target_view::avoid(const std::string &target, boot_clock::time_point until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.avoidUntil = until;
    }
}

void target_view::recordAttemptStart(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.inFlight;
    }
}

void target_view::recordAttemptEnd(const std::string &target, bool answered, std::optional<std::chrono::microseconds> elapsed, boot_clock::time_point now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    target_state &state = found->second;
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    if (!elapsed) {
        return;
    }
    const double sample = static_cast<double>(elapsed->count());
    const double previous = state.latencyMicroseconds > 0 ? latency(state, now) : 0;
    if (!answered) {
        state.latencyMicroseconds = std::max(previous, sample);
    } else {
        state.latencyMicroseconds = previous > 0 ? previous + SampleWeight * (sample - previous) : sample;
    }
    state.observedAt = now;
}

} // namespace balsamhook
