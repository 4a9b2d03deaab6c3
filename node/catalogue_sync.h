#pragma once

#include "catalogue/catalogue.h"
#include "node/catalogue_snapshot.h"
#include "node/node_context.h"
#include "node/store_probe.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Mirrors the configuration, the targets and the evacuations of the platform's store: lists each kind once, then watches it. While the store is
/// unreachable, takes from peers what reflects later revisions of the store. No object goes back to an earlier revision. Not thread-safe.
class catalogue_sync
{
public:
    using clock = std::chrono::steady_clock;

    struct handlers
    {
        std::function<void(std::shared_ptr<const routing_configuration>)> onConfiguration; ///< nullptr: there is no active configuration.
        std::function<void(const target_catalogue::record &, bool hasRestarted)> onTarget; ///< A target was added or its record has changed.
        std::function<void(const std::string &id)> onTargetRemoved;
        std::function<void(std::set<std::string>)> onEvacuations; ///< Names of all evacuated data centres, after each change.
        /// Targets can be read from the store for the first time or after an outage; some may not have registered again yet.
        std::function<void()> onTargetListRecovered;
        std::function<std::vector<endpoint>()> peers; ///< Internal addresses of peers, in the order in which to try them.
    };

    /// Precondition: context and store outlive the object.
    catalogue_sync(node_context &context, metadata_store &store, handlers callbacks);

    /// Precondition: called once; the object exists as long as the io_context runs.
    void start();

    /// Deactivation discards the configuration and the targets. While inactive, no call to the store is made and no handler is called.
    void setActive(bool isActive);

    /// True once the configuration, the targets and the evacuations have been read, from the store or from a peer.
    bool isReady() const;

    /// False while inactive, and when the store has been unreachable for longer than PeerFallbackDelay.
    bool isStoreReachable() const;

    /// Returns the kinds of which this instance holds later revisions, for a peer that can't reach the store; empty unless isReady() and the store is
    /// reachable.
    std::optional<catalogue_snapshot> snapshot(const known_revisions &peer) const;

private:
    /// Sync state of one kind of objects.
    struct watched_kind
    {
        watched_kind(boost::asio::io_context &io, std::string_view name)
            : kind(name)
            , retryTimer(io)
        {
        }

        std::string kind;
        copy_progress progress;
        bool isReachable = false; ///< The last call succeeded.
        clock::time_point failingSince{}; ///< Valid while unreachable.
        std::chrono::milliseconds listTimeout{0}; ///< Grows with each call that times out.
        boost::asio::steady_timer retryTimer; ///< Delays the next call to an unreachable store; cancelled when the store recovers.
    };

    boost::asio::awaitable<void> syncKind(watched_kind &kind);
    boost::asio::awaitable<result<void>> readList(watched_kind &kind);
    boost::asio::awaitable<result<void>> watchOnce(watched_kind &kind);
    boost::asio::awaitable<void> waitAfterFailure(watched_kind &kind, std::chrono::milliseconds delay);
    store_probe::handlers probeHandlers();
    void noteEra(store_era::verdict verdict, std::string_view source, std::uint64_t revision);
    void dropCalls(clock::time_point begunBefore);
    void onStoreRecovered(clock::time_point lostBefore);
    boost::asio::awaitable<void> fetchFromPeers();
    boost::asio::awaitable<void> fetchFromPeer(endpoint peer);
    void adopt(const catalogue_snapshot &offered);
    void logAdopted(const watched_kind &kind);
    /// Returns the registrations in the store's format, by id, without those that have disappeared.
    std::map<std::string, nlohmann::json> targetRecords() const;
    void recordResult(watched_kind &kind, const result<void> &outcome);
    void apply(const std::string &kind, const store_object &object, bool isDeleted);
    void retain(const std::string &kind, const std::set<std::string> &listed);
    void retainTargets(const std::set<std::string> &listed);
    void applyConfiguration(const nlohmann::json &spec, std::string_view source);
    void applyTarget(const std::string &id, const nlohmann::json &spec);
    void markTargetStale(const std::string &id);
    void expireTargets();
    void discardState();
    void applyEvacuations(std::set<std::string> dataCentres);
    bool hasStoreOutage() const;

    node_context &m_context;
    metadata_store &m_store;
    handlers m_handlers;
    watched_kind m_configurationKind;
    watched_kind m_targetKind;
    watched_kind m_evacuationKind;
    target_catalogue m_targets;
    nlohmann::json m_configurationRecord;
    std::uint64_t m_configurationVersion = 0; ///< Newest version that was applied, also before a deactivation; older ones are ignored.
    bool m_isConfigurationPublished = false; ///< onConfiguration was called with a configuration since the last activation.
    std::set<std::string> m_evacuations;
    std::set<std::string> m_unreadableTargets; ///< Ids of unreadable registrations in the store that have been logged.
    store_probe m_probe;
    store_era m_era;
    std::optional<std::uint64_t> m_loggedEra; ///< Followed when the last line about the era was written.
    clock::time_point m_callsDroppedAt{};
    bool m_isActive = false;
    unsigned m_activation = 0; ///< Incremented by each setActive() that changes the state; results of calls that began before are dropped.
};

} // namespace balsamhook
