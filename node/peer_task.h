#pragma once

#include "node/node_context.h"
#include "node/peer_messages.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

/// Status that this instance announces to its peers.
struct instance_status
{
    bool isServing = false;
    bool isImpaired = false;
    std::size_t maxSenders = 0; ///< 0: not known.
    std::vector<std::string> targetDataCentres; ///< Those with most targets first; only some are announced.
};

/// Durations that tests shorten.
struct peer_timings
{
    std::chrono::milliseconds memberListInterval{15000}; ///< Between two reads of the list of registered instances.
    std::chrono::milliseconds removalDelay{45000}; ///< Minimum uptime before this instance removes store entries of instances that send it no heartbeats.
};

/// Sends heartbeats to peers, tracks which peers are alive and selects the senders among the instances. Senders send heartbeats to all instances, standby
/// instances only to senders and less often, so that traffic grows with senders times instances. An instance that starts, or knows no other that is alive, asks
/// the seeds for the senders' addresses; it needs no others. Takes peers' addresses from the settings, from heartbeats and from the store. Not thread-safe.
class peer_task
{
public:
    /// Precondition: context and store outlive the task.
    peer_task(node_context &context, metadata_store &store, peer_timings timings = {});

    ~peer_task();

    /// Binds the peer port and starts to send heartbeats. Fails with Unreachable when the address is invalid or can't be bound. Precondition: called once.
    result<void> start();

    /// Announces a change of isServing or isImpaired at once, a standby instance to the senders, a sender to all; other changes go out with the next heartbeat.
    void setStatus(instance_status status);

    /// To be called when the store has come back from an older copy, which may lack this instance's entry: writes it again after a random delay.
    void onStoreRestored();

    const peer_table &peers() const;

    /// Instances that run callers' requests, selected from those that are alive.
    const std::set<std::string> &senders() const;

    bool isSender() const;

    /// Number of senders among the instances that were alive within peer_table::RetentionPeriod; they share the targets' connections and the retry budget.
    /// Shortly after the start, at least the number of registered instances, up to the maximum of senders.
    unsigned recentSenders() const;

    /// True once the senders are probably known: when a peer has named them and no new peer has followed for a short time, or after a timeout. True at once
    /// when the store holds a registration by an earlier process of this instance.
    bool isDiscoveryComplete() const;

private:
    using clock = std::chrono::steady_clock;

    void receive();
    void onDatagram(std::size_t size);
    void tick();
    void sendHeartbeats(clock::time_point now);
    void updateSenders(clock::time_point now);
    std::set<std::string> selectSenders(const std::vector<peer_table::peer> &peers) const;
    std::size_t maxSenders() const;
    bool isDiscovering(clock::time_point now) const;
    void askSeeds();
    std::vector<std::string> introductions() const;
    void introduce(const std::set<std::string> &addedSenders, clock::time_point now);
    void sendTo(const std::string &address, bool withAddresses);
    void sendDatagram(const std::string &address, const std::string &datagram);
    std::string encode(bool withAddresses) const;
    std::string encodeReport();
    std::string encode(peer_heartbeat heartbeat, bool withAddresses) const;
    std::uint64_t reportInterval() const;
    std::chrono::milliseconds heartbeatInterval() const;
    void maintainRegistration(clock::time_point now);
    nlohmann::json registration() const;
    boost::asio::awaitable<void> registerInStore();
    boost::asio::awaitable<void> readMembers();
    boost::asio::awaitable<void> processMembers(std::vector<store_object> registered, unsigned restorations);
    void recordLocalEntry(const store_object *localEntry);
    bool isRemovable(const std::string &instance) const;

    node_context &m_context;
    metadata_store &m_store;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_datagramSource;
    std::array<char, 8192> m_buffer{};
    peer_table m_peers;
    instance_status m_status;
    std::set<std::string> m_senders;
    std::uint64_t m_incarnation;
    std::uint64_t m_tick = 0;
    bool m_includesStandby = false; ///< Alternates: a sender sends every second heartbeat to standby instances too.
    clock::time_point m_startedAt{};
    clock::time_point m_lastNewPeerAt{}; ///< When a peer, or in discovery an address, was last added.
    clock::time_point m_nextStandbyHeartbeatAt{}; ///< When a standby instance sends its next heartbeat.
    clock::time_point m_memberListReadAt{};
    peer_timings m_timings;
    timer_queue::handle m_ticker = 0;
    std::size_t m_registeredCount = 0; ///< Instances in the store, including this one.
    bool m_wasIntroduced = false; ///< A peer has named senders to this instance.
    bool m_wasRegisteredAtStart = false; ///< The store holds an entry that an earlier process of this instance wrote.
    std::shared_ptr<bool> m_isTaskAlive = std::make_shared<bool>(true); ///< False after destruction; coroutines and handlers that outlive the task check it.
    bool m_isRegistering = false;
    bool m_isRegistered = false;
    clock::time_point m_registrationDueAt{}; ///< Not before this time is the entry written.
    unsigned m_storeRestorations = 0; ///< Calls of onStoreRestored(); results of calls to the store that began before one are dropped.
    std::uint64_t m_storedDecisions = 0; ///< crash_tracker::decisions() at the last registration.
};

} // namespace balsamhook
