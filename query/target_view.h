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

/// What a front end knows of the targets: their owners, the owners' reports and its own observations of latency. No clock inside. Not thread-safe.
class target_view
{
public:
    /// Sets the owners. Targets that are neither listed nor reported are forgotten; a target with another owner than before loses its latency estimate.
    void setOwners(const std::vector<target_owner> &owners);

    /// Takes a report from an instance. It counts once that instance is the target's owner. A dispatcher may learn of a target before this front end
    /// does and reports only changes, so reports about unlisted targets are kept too, up to a limit.
    void update(const std::string &instance, const target_report &report);

    /// Drops all reports of an instance: its connection was lost, so its targets aren't usable until it reports them again.
    void forget(const std::string &instance);

    /// Owner of the target; nullptr when there is none.
    const std::string *owner(const std::string &target) const;

    /// Report of the target's owner; nullptr when it has not reported the target.
    const target_report *report(const std::string &target) const;

    /// True when the owner sends new work to the target.
    bool isUsable(const std::string &target) const;

    /// True when the owner reported the target as usable and as holding the snapshot.
    bool holds(const std::string &target, const snapshot &wanted) const;

    /// Time that a new attempt is expected to wait in the owner's queue; zero when unknown.
    std::chrono::microseconds queueTime(const std::string &target) const;

    /// Expected time of a new attempt on the target, for comparing replicas.
    std::chrono::microseconds expectedTime(const std::string &target, boot_clock::time_point now) const;

    /// Prefers other replicas until the given time: the owner refused the target for a reason that its reports don't show.
    void avoid(const std::string &target, boot_clock::time_point until);

    void attemptStarted(const std::string &target);

    /// Counts an attempt's end. answered: the elapsed time is a latency sample; otherwise it is a lower bound of the latency,
    /// or nothing at all when elapsed is empty (a refusal tells nothing about the latency).
    void attemptEnded(const std::string &target, bool answered, std::optional<std::chrono::microseconds> elapsed, boot_clock::time_point now);

private:
    struct instance_report
    {
        std::string instance;
        target_report report;
    };

    struct entry
    {
        std::string owner;
        std::vector<instance_report> reports; ///< At most a few: the owner, and instances that take over or hand over.
        double latencyMicroseconds = 0; ///< 0: no observation.
        boot_clock::time_point observedAt;
        boot_clock::time_point avoidUntil;
        std::uint32_t outstanding = 0; ///< Attempts of this front end.
    };

    const entry *find(const std::string &target) const;
    static const target_report *ownersReport(const entry &known);
    static double latency(const entry &known, boot_clock::time_point now);

    std::unordered_map<std::string, entry> m_targets;
    std::size_t m_listed = 0; ///< Targets with an owner.
};

} // namespace balsamhook
