#pragma once

#include "base/base.h"
#include "query/service_layout.h"
#include "wire/wire.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// State of the targets as seen by a front end: their owners, the owners' reports and the latencies that the front end measured. Reads no clock.
/// Not thread-safe.
class target_view
{
public:
    /// Sets the owners. Removes targets that are neither listed nor reported, and resets the latency estimate of a target whose owner changes.
    void setOwners(const std::vector<target_owner> &owners);

    /// Stores a report from an instance; it takes effect while that instance is the target's owner. A dispatcher reports only changes, and its control
    /// state may list a target before this front end's does, so reports of unlisted targets are kept too, up to a limit.
    void update(const std::string &instance, const target_report &report);

    /// Removes all reports of an instance whose connection was lost; its targets are unusable until it reports them again.
    void removeReports(const std::string &instance);

    /// Owner of the target; nullptr when it has none.
    const std::string *owner(const std::string &target) const;

    /// Report of the target's owner; nullptr when the owner has not reported the target.
    const target_report *report(const std::string &target) const;

    /// True when the owner reported that it sends new work to the target.
    bool isUsable(const std::string &target) const;

    /// True when the owner reported the target as usable and as holding the snapshot.
    bool holds(const std::string &target, const snapshot &wanted) const;

    /// Expected time of a new attempt in the owner's queue; zero when unknown.
    std::chrono::microseconds queueTime(const std::string &target) const;

    /// Expected latency of a new attempt on the target including queueing, for comparing replicas. The maximum when the target is unknown.
    std::chrono::microseconds expectedTime(const std::string &target, boot_clock::time_point now) const;

    /// Prefers other replicas until the given time, for refusals by the owner whose reason its reports don't show.
    void avoid(const std::string &target, boot_clock::time_point until);

    void recordAttemptStart(const std::string &target);

    /// Records the end of an attempt. If it was answered, elapsed is a latency sample, otherwise a lower bound of the latency. elapsed is empty when the
    /// attempt gives no information on the latency, for example after a refusal.
    void recordAttemptEnd(const std::string &target, bool answered, std::optional<std::chrono::microseconds> elapsed, boot_clock::time_point now);

private:
    struct instance_report
    {
        std::string instance;
        target_report report;
    };

    struct target_state
    {
        std::string owner;
        std::vector<instance_report> reports; ///< Of the owner, and of instances that take the target over or hand it over.
        double latencyMicroseconds = 0; ///< 0: no sample.
        boot_clock::time_point observedAt;
        boot_clock::time_point avoidUntil;
        std::uint32_t inFlight = 0; ///< Attempts of this front end only.
    };

    const target_state *find(const std::string &target) const;
    static const target_report *reportByOwner(const target_state &state);
    static double latency(const target_state &state, boot_clock::time_point now);

    std::unordered_map<std::string, target_state> m_targets;
    std::size_t m_listedTargets = 0; ///< Number of targets with an owner.
};

} // namespace balsamhook
