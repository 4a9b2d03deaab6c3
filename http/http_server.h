#pragma once

#include "base/base.h"
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
    std::size_t connections = 1024;
    std::chrono::milliseconds idleTimeout{60000}; ///< A connection without a request for this long is closed.
};

/// HTTP/1.1 server with keep-alive. Malformed requests get 400, oversized bodies 413; neither affects other connections.
/// Not thread-safe: all calls come from the thread of its io_context.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// The handler runs once for each request; an exception from it gives 500. Precondition: context and numbers outlive the server.
    http_server(boost::asio::io_context &context, http_limits limits, counters &numbers, handler handle);
    ~http_server();

    /// Listens on the address; Unreachable when it can't be bound.
    result<void> listen(const endpoint &local);

    /// Stops accepting and closes idle connections; requests under way are finished, then their connections closed.
    void stop();

    /// Number of requests under way.
    std::size_t inFlight() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamhook
