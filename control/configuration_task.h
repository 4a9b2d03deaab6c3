#pragma once

#include "control/control_core.h"

namespace balsamhook
{

/// Follows the configuration root: the first two controllers of each data centre watch the store, the others learn the revision by gossip and
/// fetch from a peer, with the store as fallback. Also fetches the documents and lists that the membership logic waits for.
/// Preconditions: core outlives the tasks.
class configuration_task
{
public:
    explicit configuration_task(control_core &core);

    void start();

    /// Reads the root from the store and puts it in force when it is newer. Returns the object; no value when there is none.
    boost::asio::awaitable<result<std::optional<stored_object>>> synchronise();

private:
    boost::asio::awaitable<void> watchStore();
    boost::asio::awaitable<void> followPeers();
    boost::asio::awaitable<void> followList();
    boost::asio::awaitable<result<void>> adopt(configuration_root root, std::string peerEndpoint);
    boost::asio::awaitable<result<void>> fetchMissing(configuration_root root, std::string peerEndpoint);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    control_core &m_core;
};

} // namespace balsamhook
