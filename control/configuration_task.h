#pragma once

#include "control/control_core.h"

namespace balsamhook
{

/// Keeps the configuration up to date: the first two controllers of each data centre watch the root in the store, the others receive its revision
/// by gossip and fetch it from a peer, with the store as fallback. Also fetches the member lists and documents that the membership logic needs.
/// Precondition: core outlives the tasks.
class configuration_task
{
public:
    explicit configuration_task(control_core &core);

    void start();

    /// Reads the root from the store and activates it when it is newer. Returns the stored object; no value when the store has none. Errors as those
    /// of object_store::read(), parseRoot() and configuration_state::activate().
    boost::asio::awaitable<result<std::optional<stored_object>>> synchronise();

private:
    boost::asio::awaitable<void> watchStore();
    boost::asio::awaitable<void> followPeers();
    boost::asio::awaitable<void> followMemberList();
    boost::asio::awaitable<result<void>> fetchAndActivate(configuration_root root, std::string peerEndpoint);
    boost::asio::awaitable<result<void>> fetchMissing(configuration_root root, std::string peerEndpoint);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds delay);

    control_core &m_core;
};

} // namespace balsamhook
