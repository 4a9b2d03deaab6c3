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

/// Connections of a caller: asks the front ends which addresses to use, keeps the answer for its validity time, and spreads requests over the addresses.
/// Not thread-safe: all calls come from the thread of its io_context. Precondition: the pool outlives its coroutines.
class caller_pool
{
public:
    /// The seeds are asked when no address is known. Precondition: seeds isn't empty.
    caller_pool(boost::asio::io_context &context, std::vector<endpoint> seeds, std::string bindAddress);

    /// Refreshes the addresses until stop(). Run it as a coroutine of its own.
    boost::asio::awaitable<void> keepAddresses();
    void stop();

    /// Waits until addresses are known; Unreachable when that takes longer than the timeout.
    boost::asio::awaitable<result<void>> waitForAddresses(std::chrono::milliseconds timeout);

    /// Sends a request to the next address. When the address can't be reached, the next one is tried. A repeatable request is also sent again
    /// once when its connection broke before the answer; another one ends with the error.
    boost::asio::awaitable<result<http_response>> send(http_request request, std::chrono::milliseconds timeout, bool isRepeatable);

    const std::vector<endpoint> &addresses() const;
    std::uint64_t refreshes() const;
    std::uint64_t resent() const;

private:
    boost::asio::awaitable<std::chrono::milliseconds> refresh();
    bool adopt(const http_response &response, std::chrono::milliseconds &valid);
    endpoint nextAddress();
    http_connection::pointer takeIdle(const endpoint &address);

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_wake;
    std::vector<endpoint> m_seeds;
    std::string m_bindAddress;
    std::vector<endpoint> m_addresses;
    std::map<endpoint, std::deque<http_connection::pointer>> m_idle;
    std::size_t m_next = 0;
    std::uint64_t m_refreshes = 0;
    std::uint64_t m_resent = 0;
    bool m_stopped = false;
};

} // namespace balsamhook
