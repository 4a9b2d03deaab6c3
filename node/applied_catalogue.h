#pragma once

#include "catalogue/catalogue.h"
#include "node/node_context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace balsamhook
{

/// The configuration, the targets and the evacuations as this instance uses them, built from objects of the store that were read there or taken from a peer.
/// Objects that can't be read are logged and left out; they affect no other. Not thread-safe.
class applied_catalogue
{
public:
    using clock = std::chrono::steady_clock;

    /// Called on each change.
    struct handlers
    {
        std::function<void(std::shared_ptr<const routing_configuration>)> onConfiguration; ///< nullptr: there is no active configuration.
        std::function<void(const target_catalogue::record &, bool hasRestarted)> onTarget; ///< A target was added or its record has changed.
        std::function<void(const std::string &id)> onTargetRemoved;
        std::function<void(std::set<std::string>)> onEvacuations; ///< Names of all evacuated data centres.
    };

    /// Precondition: the context outlives the object.
    applied_catalogue(node_context &context, handlers callbacks);

    /// Starts to remove targets whose grace period has ended, and evacuations that were not written again. Precondition: called once; the object exists as long
    /// as the io_context runs.
    void start();

    /// Applies an object of one kind that was listed or has changed.
    void apply(const std::string &kind, const store_object &object, bool isDeleted);

    /// Drops the objects of one kind that a full list of names doesn't contain. The configuration stays.
    void retain(const std::string &kind, const std::set<std::string> &listed);

    /// Applies a configuration unless it is older than the newest one that was applied.
    void applyConfiguration(const nlohmann::json &spec, std::string_view source);

    /// Replaces all targets by a peer's, given in the store's format by id.
    void replaceTargets(const std::map<std::string, nlohmann::json> &specs);

    /// Replaces the evacuations that are listed in the store.
    void replaceEvacuations(std::set<std::string> dataCentres);

    /// The store has come back from an older copy: what it lacks holds until it can have been written again, and what had ended before isn't used.
    void beginEra();

    /// Drops the configuration and the targets.
    void discard();

    /// True if there is a configuration since the last discard().
    bool hasConfiguration() const;

    /// Returns the newest version that was applied, also before a discard(); 0 for none.
    std::uint64_t configurationVersion() const;

    /// Returns the configuration in the store's format.
    const nlohmann::json &configurationRecord() const;

    /// Returns the registrations in the store's format, by id, as the store lists them: without those that have disappeared, with those in doubt.
    std::map<std::string, nlohmann::json> targetRecords() const;

    /// Returns the evacuations that are listed in the store.
    const std::set<std::string> &evacuations() const;

private:
    void applyTarget(const std::string &id, const nlohmann::json &spec);
    void applyRegistration(const registered_target &target);
    void markTargetStale(const std::string &id);
    void retainTargets(const std::set<std::string> &listed);
    void expire();
    void expireTargets(clock::time_point now);
    void publishEvacuations();

    node_context &m_context;
    handlers m_handlers;
    target_catalogue m_targets;
    std::set<std::string> m_unreadableTargets; ///< Ids of unreadable registrations in the store that have been logged.
    nlohmann::json m_configurationRecord;
    std::uint64_t m_configurationVersion = 0;
    bool m_hasConfiguration = false;
    evacuation_set m_evacuations;
    std::set<std::string> m_publishedEvacuations;
};

} // namespace balsamhook
