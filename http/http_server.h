#pragma once

#include "base/base.h"
#include "http/connection_account.h"
#include "http/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace balsamhook
{

struct http_limits
{
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t headerBytes = 16 * 1024;
    std::size_t connections = 1024; ///< Without an account that is shared with other servers.
    std::chrono::milliseconds idleTimeout{
        60000}; ///< Limit for the time without a request, until a request is fully received, and without a byte sent of its response.
};

/// HTTP/1.1 server with keep-alive. Rejects requests as caller_connection does, without effect on other connections. Not thread-safe: all calls must come from
/// the thread that runs the io_context.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// The handler is called once per request; a std::exception that it throws results in status 500. Requests in flight continue after the server is
    /// destroyed. Connections are counted in the account, or in one of the server's own if none is given. Precondition: context, metrics and the objects that
    /// the handler refers to outlive the server and its connections.
    http_server(boost::asio::io_context &context, http_limits limits, counters &metrics, handler handle, const connection_account *account = nullptr);
    ~http_server();

    /// Starts listening. Errors: Unreachable if the address can't be bound.
    result<void> listen(const endpoint &local);

    /// Stops accepting and closes idle connections. Requests in flight are completed before their connections are closed.
    void stop();

    /// Number of requests whose handler is running.
    std::size_t inFlight() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamhook
