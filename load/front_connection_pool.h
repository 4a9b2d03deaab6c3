#pragma once

#include "base/base.h"
#include "http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Connections of a caller to the front ends. Fetches the list of front-end addresses, caches it for its validity time, and distributes requests
/// round-robin over the addresses.
/// Not thread-safe: all calls come from the thread of its io_context. Precondition: the pool outlives its coroutines.
class front_connection_pool
{
public:
    /// The seeds serve the address list while no address is known or none of the known ones responds. Precondition: seeds isn't empty.
    front_connection_pool(boost::asio::io_context &context, std::vector<endpoint> seeds, std::string bindAddress);

    /// Refreshes the addresses until stop(). Runs as a separate coroutine.
    boost::asio::awaitable<void> keepAddressesFresh();
    void stop();

    /// Waits until at least one address is known; Unreachable after the timeout.
    boost::asio::awaitable<result<void>> waitForAddresses(std::chrono::milliseconds timeout);

    /// Sends a request to the next address, and to the following ones when the connection can't be opened. An idempotent request is resent once
    /// when its connection is lost before the response; any other request fails with that error. Returns the last error when three attempts
    /// have failed or the timeout has expired.
    boost::asio::awaitable<result<http_response>> send(http_request request, std::chrono::milliseconds timeout, bool isIdempotent);

    const std::vector<endpoint> &addresses() const;
    std::uint64_t refreshCount() const;
    std::uint64_t resentCount() const;

private:
    boost::asio::awaitable<std::chrono::milliseconds> refresh();
    bool applyAddresses(const http_response &response, std::chrono::milliseconds &validity);
    endpoint nextAddress();
    http_connection::pointer takeIdle(const endpoint &address);

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_refreshTimer;
    std::vector<endpoint> m_seeds;
    std::string m_bindAddress;
    std::vector<endpoint> m_addresses;
    std::map<endpoint, std::deque<http_connection::pointer>> m_idle;
    std::size_t m_next = 0;
    std::uint64_t m_refreshCount = 0;
    std::uint64_t m_resentCount = 0;
    bool m_stopped = false;
};

} // namespace balsamhook
