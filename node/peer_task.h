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

/// What this instance tells of itself.
struct own_status
{
    bool isServing = false;
    bool isImpaired = false;
    std::size_t mostSenders = 0;
    std::vector<std::string> targetDataCentres;
};

/// Times that tests shorten.
struct peer_times
{
    std::chrono::milliseconds membersInterval{15000}; ///< Between two reads of the registered instances.
    std::chrono::milliseconds removeAfter{45000}; ///< A registered instance that was not heard for this long is removed from the store.
};

/// Tells the other instances that this one lives, keeps what they say, and knows which instances are senders. Senders tell everyone; the others tell
/// the senders, less often, so that traffic grows with senders times instances. Addresses come from the settings, from others' messages and, where
/// these don't help, from the store. Not thread-safe.
class peer_task
{
public:
    /// Precondition: context and store outlive the task.
    peer_task(node_context &context, metadata_store &store, peer_times times = {});

    ~peer_task();

    result<void> start();

    /// Tells the others at once when it changes whether this instance serves.
    void setStatus(own_status status);

    const peer_table &peers() const;

    /// Instances that run callers' requests, from those that are alive.
    const std::set<std::string> &senders() const;

    bool isSender() const;

    /// Senders that were alive within the memory time: those that share targets' connections and the retry budget. An instance that has just started
    /// counts those that are registered.
    unsigned recentSenders() const;

    /// True once it is likely that the running instances are known: some were heard, or none answered for a moment. An instance that is registered as a
    /// sender does not wait for that.
    bool isSettled() const;

private:
    using clock = std::chrono::steady_clock;

    void receive();
    void onDatagram(std::size_t size);
    void tick();
    void sendHeartbeats(clock::time_point now);
    void refreshSenders(clock::time_point now);
    std::set<std::string> sendersAmong(const std::vector<peer_table::peer> &peers) const;
    std::size_t mostSenders() const;
    void sendTo(const std::string &address, bool withAddresses);
    void sendDatagram(const std::string &address, const std::string &datagram);
    std::string encode(bool withAddresses) const;
    std::chrono::milliseconds interval() const;
    void keepRegistered(clock::time_point now);
    nlohmann::json registration() const;
    boost::asio::awaitable<void> registerInStore();
    boost::asio::awaitable<void> readMembers();
    boost::asio::awaitable<void> takeMembers(std::vector<store_object> registered);
    void noteOwnEntry(const store_object *own);
    bool isRemovable(const std::string &instance) const;

    node_context &m_context;
    metadata_store &m_store;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 8192> m_buffer{};
    peer_table m_peers;
    own_status m_status;
    std::set<std::string> m_senders;
    std::uint64_t m_incarnation;
    bool m_isStandbyTurn = false; ///< Instances that aren't senders get every second heartbeat of a sender.
    clock::time_point m_startedAt{};
    clock::time_point m_lastNewPeerAt{};
    clock::time_point m_standbyTurnAt{}; ///< Next heartbeat of an instance that isn't a sender.
    clock::time_point m_membersReadAt{};
    peer_times m_times;
    timer_queue::handle m_ticker = 0;
    std::size_t m_registeredCount = 0; ///< Instances that the store holds, this one included.
    bool m_wasSender = false; ///< Registered by an earlier process on this machine.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< Coroutines that outlive the task do nothing.
    bool m_isRegistering = false;
    bool m_isRegistered = false;
};

} // namespace balsamhook
