#pragma once

#include "catalogue/catalogue.h"
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

/// Keeps the configuration, the targets and the evacuations from the platform's store: reads each list once, then watches it. While the store can't be
/// reached, another instance that reaches it is asked instead. Not thread-safe.
class catalogue_sync
{
public:
    using clock = std::chrono::steady_clock;

    struct handlers
    {
        std::function<void(std::shared_ptr<const routing_configuration>)> onConfiguration; ///< nullptr: none is known any more.
        std::function<void(const target_catalogue::record &, bool hasRestarted)> onTarget;
        std::function<void(const std::string &id)> onTargetRemoved;
        std::function<void(std::set<std::string>)> onEvacuations;
        std::function<void()> onTargetsRegained; ///< The store was away, and the targets were read again; some may have yet to register.
        std::function<std::vector<endpoint>()> peers; ///< Internal addresses of instances that are alive, in the order in which to ask them.
    };

    /// Precondition: context and store outlive the object.
    catalogue_sync(node_context &context, metadata_store &store, handlers callbacks);

    void start();

    /// While it is not needed, nothing is read and nothing is passed on; what was known counts as unknown.
    void setNeeded(bool isNeeded);

    /// True once configuration and targets were read, from the store or from another instance.
    bool isReady() const;

    /// False while calls to the store fail.
    bool isStoreReached() const;

    /// What other instances get that can't reach the store, as JSON. The configuration is left out when the asker has this version or a newer one.
    std::string snapshot(std::uint64_t knownVersion) const;

private:
    /// One kind of objects that is followed.
    struct followed_kind
    {
        followed_kind(boost::asio::io_context &io, std::string_view name)
            : kind(name)
            , retry(io)
        {
        }

        std::string kind;
        std::uint64_t revision = 0; ///< Watched from here.
        bool isListed = false;
        bool isReachable = false; ///< The last call succeeded.
        clock::time_point lostAt{}; ///< When calls began to fail.
        std::chrono::milliseconds listTimeout{0}; ///< Grows while the store is slow.
        boost::asio::steady_timer retry; ///< Waits for the store; stopped when it answers again.
    };

    boost::asio::awaitable<void> follow(followed_kind &kind);
    boost::asio::awaitable<result<void>> readList(followed_kind &kind);
    boost::asio::awaitable<result<void>> watchOnce(followed_kind &kind);
    boost::asio::awaitable<void> waitAfterFailure(followed_kind &kind, std::chrono::milliseconds pause);
    void dropCalls(clock::time_point begunBefore);
    void onStoreAnswered(clock::time_point lostBefore);
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<bool> askPeer(endpoint peer);
    void noteResult(followed_kind &kind, const result<void> &outcome);
    void apply(const std::string &kind, const store_object &object, bool isDeleted);
    void retain(const std::string &kind, const std::set<std::string> &present);
    void applyConfiguration(const nlohmann::json &spec, std::string_view source);
    void applyTarget(const std::string &id, const nlohmann::json &spec);
    void lapseTarget(const std::string &id);
    void expireTargets();
    void forget();
    void applyEvacuations(std::set<std::string> dataCentres);
    bool isStoreLost() const;

    node_context &m_context;
    metadata_store &m_store;
    handlers m_handlers;
    followed_kind m_configurationKind;
    followed_kind m_targetKind;
    followed_kind m_evacuationKind;
    target_catalogue m_targets;
    std::map<std::string, nlohmann::json> m_targetRecords; ///< As read, for other instances.
    nlohmann::json m_configurationRecord;
    std::uint64_t m_version = 0; ///< The newest ever seen; an older one is never used.
    bool m_isPublished = false; ///< The configuration was handed on since the catalogue is followed.
    std::set<std::string> m_evacuations;
    std::set<std::string> m_unreadable; ///< Entries that were reported as unreadable.
    store_probe m_probe;
    clock::time_point m_callsDroppedAt{};
    bool m_hasTargets = false;
    bool m_isNeeded = false;
    unsigned m_period = 0; ///< Counts changes of need; what was asked in an earlier period is not used.
};

} // namespace balsamhook
