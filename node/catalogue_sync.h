#pragma once

#include "catalogue/catalogue.h"
#include "node/applied_catalogue.h"
#include "node/catalogue_snapshot.h"
#include "node/node_context.h"
#include "node/store_probe.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Mirrors the configuration, the targets and the evacuations of the platform's store: lists each kind once, then watches it. While the store is
/// unreachable, takes from peers what reflects later revisions of the store. No object goes back to an earlier revision. When the store comes back from an
/// older copy, what was read stays in use until it is listed again. Not thread-safe.
class catalogue_sync
{
public:
    using clock = std::chrono::steady_clock;

    struct handlers : applied_catalogue::handlers
    {
        /// Targets can be read from the store for the first time, after an outage or in another era; some may not have registered again yet.
        std::function<void()> onTargetListRecovered;
        std::function<void()> onStoreRestored; ///< The store has come back from an older copy and may lack what was written there before.
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

    /// Returns the era of the store that is followed; empty if it names none.
    std::optional<std::uint64_t> era() const;

    /// Returns the kinds of which this instance holds later revisions, for a peer that can't reach the store; empty unless isReady() and the store is
    /// reachable, and if the peer knows of a later era.
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
        std::optional<clock::time_point> eraBegan; ///< When the era changed, until the objects were listed in it.
        std::chrono::milliseconds listTimeout{0}; ///< Grows with each call that times out.
        boost::asio::steady_timer retryTimer; ///< Delays the next call to an unreachable store; cancelled when the store recovers.
    };

    boost::asio::awaitable<void> syncKind(watched_kind &kind);
    boost::asio::awaitable<result<void>> readList(watched_kind &kind);
    boost::asio::awaitable<result<void>> watchOnce(watched_kind &kind);
    boost::asio::awaitable<void> waitAfterFailure(watched_kind &kind, std::chrono::milliseconds delay);
    store_probe::handlers probeHandlers();
    /// Acts on the verdict on an answer, which came from the given source and shows the store at the given revision.
    void followEra(store_era::verdict verdict, std::string_view source, std::uint64_t revision);
    void onEraChanged();
    void listAgain();
    void discardAnswer(const watched_kind &kind, copy_progress::call_token call, std::uint64_t revision);
    void dropCalls(clock::time_point begunBefore);
    void onStoreRecovered(clock::time_point lostBefore);
    boost::asio::awaitable<void> fetchFromPeers();
    boost::asio::awaitable<void> fetchFromPeer(endpoint peer);
    void adopt(const catalogue_snapshot &offered);
    void logAdopted(const watched_kind &kind);
    void logListed(watched_kind &kind, std::size_t objects);
    void recordResult(watched_kind &kind, const result<void> &outcome);
    bool hasStoreOutage() const;

    node_context &m_context;
    metadata_store &m_store;
    handlers m_handlers;
    applied_catalogue m_applied;
    watched_kind m_configurationKind;
    watched_kind m_targetKind;
    watched_kind m_evacuationKind;
    store_probe m_probe;
    store_era m_era;
    std::optional<std::uint64_t> m_loggedEra; ///< Followed when the last line about the era was written.
    clock::time_point m_callsDroppedAt{};
    bool m_isActive = false;
    unsigned m_activation = 0; ///< Incremented by each setActive() that changes the state; results of calls that began before are dropped.
};

} // namespace balsamhook
