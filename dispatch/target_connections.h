#pragma once

#include "base/base.h"
#include "http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

namespace balsamhook
{

/// The open connections to one target, never more than its cap. Not thread-safe.
class target_connections
{
public:
    /// Precondition: context outlives the object and cap >= 1.
    target_connections(boost::asio::io_context &context, endpoint peer, std::string bindAddress, std::size_t cap);

    /// Takes the idle connection that was used last, else opens one, else waits for one to be given back. Timeout after the deadline.
    /// The object must outlive the call.
    boost::asio::awaitable<result<http_connection::pointer>> acquire(boot_clock::time_point deadline);

    /// Takes the connection that was idle longest, to check it; nullptr when none is idle.
    http_connection::pointer takeOldest();

    /// Opens a connection beyond the present ones. Overloaded when the cap is reached.
    boost::asio::awaitable<result<http_connection::pointer>> open(std::chrono::milliseconds timeout);

    /// Ends the use of a connection. It is kept for later use when it is open and closeAll() wasn't called since.
    void giveBack(const http_connection::pointer &connection);

    /// Closes idle connections that have carried no answer since the given time.
    void closeIdleSince(boot_clock::time_point time);

    /// Changes the cap. Idle connections beyond it are closed.
    void setCap(std::size_t cap);

    /// Closes idle connections now and those in use when they are given back.
    void closeAll();

    /// Connections open or being opened.
    std::size_t count() const;
    std::size_t idle() const;

private:
    struct idle_connection
    {
        http_connection::pointer connection;
        boot_clock::time_point since;
    };

    void closeBeyond(std::size_t limit);

    boost::asio::steady_timer m_changed; ///< Cancelled to wake up those who wait for a connection.
    endpoint m_peer;
    std::string m_bindAddress;
    std::size_t m_cap;
    std::size_t m_count = 0;
    std::size_t m_keep = 0; ///< Connections given back beyond this number are closed.
    std::deque<idle_connection> m_idle; ///< Used last at the back.
};

} // namespace balsamhook
