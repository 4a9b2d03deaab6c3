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

/// Pool of connections to one target with a limit on their number. Not thread-safe.
class target_connections
{
public:
    /// Precondition: context outlives the object and limit >= 1.
    target_connections(boost::asio::io_context &context, endpoint address, std::string bindAddress, std::size_t limit);

    /// Returns the most recently used idle connection. Without one, opens a connection or, at the limit, waits for a release. Fails
    /// with Timeout at the deadline, or with the error of open(). The object must outlive the call.
    boost::asio::awaitable<result<http_connection::pointer>> acquire(boot_clock::time_point deadline);

    /// Returns the connection that has been idle for the longest time, for a health check; nullptr when none is idle.
    http_connection::pointer acquireOldest();

    /// Opens an additional connection. Fails with Overloaded when the limit is reached.
    boost::asio::awaitable<result<http_connection::pointer>> open(std::chrono::milliseconds timeout);

    /// Returns a connection to the pool. It is closed when it is broken, exceeds the limit or was in use during closeAll().
    void release(const http_connection::pointer &connection);

    /// Closes the connections that have been idle since before the given time.
    void closeIdleSince(boot_clock::time_point time);

    /// Changes the limit and closes idle connections above it.
    void setLimit(std::size_t limit);

    /// Closes idle connections now and those in use when they are released.
    void closeAll();

    /// Connections open or being opened.
    std::size_t count() const;
    std::size_t idleCount() const;

private:
    struct idle_connection
    {
        http_connection::pointer connection;
        boot_clock::time_point since;
    };

    void closeIdleAbove(std::size_t limit);

    boost::asio::steady_timer m_changed; ///< Cancelled to wake up the coroutines that wait in acquire().
    endpoint m_address;
    std::string m_bindAddress;
    std::size_t m_limit;
    std::size_t m_count = 0;
    std::size_t m_keepLimit = 0; ///< Connections above this number are closed on release.
    std::deque<idle_connection> m_idle; ///< Most recently used at the back.
};

} // namespace balsamhook
