#pragma once

#include "base/base.h"
#include "http/http_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

namespace balsamhook
{

/// One client connection that carries one request at a time. Not thread-safe. Closing it (or destroying the last reference) from another
/// coroutine ends a pending exchange with Closed.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using pointer = std::shared_ptr<http_connection>;

    /// Opens a connection; binds the local address when bindAddress isn't empty.
    static boost::asio::awaitable<result<pointer>> open(endpoint peer, std::string bindAddress, std::chrono::milliseconds timeout);

    ~http_connection();

    /// Sends a request and waits for the response. Errors with the step Send before or while bytes were handed to the socket and with the
    /// step Receive afterwards; use sentBytes() to learn whether the peer may have seen the request. After an error the connection is closed.
    /// Precondition: no other exchange is under way.
    boost::asio::awaitable<result<http_response>> exchange(http_request request, std::chrono::milliseconds timeout);

    /// True when the last exchange handed at least one byte to the socket.
    bool sentBytes() const;

    /// True when the connection can carry another request, as far as this side knows; notices an end or a reset that has arrived.
    /// Precondition: no exchange is under way.
    bool isOpen() const;

    /// Closes the connection. Idempotent.
    void close();

    const std::string &peer() const;

private:
    struct state;
    explicit http_connection(std::unique_ptr<state> inner);
    std::unique_ptr<state> m_state;
};

/// Opens a connection, sends one request and closes it.
boost::asio::awaitable<result<http_response>> fetch(endpoint peer, std::string bindAddress, http_request request, std::chrono::milliseconds timeout);

} // namespace balsamhook
