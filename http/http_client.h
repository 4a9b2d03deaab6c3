#pragma once

#include "base/base.h"
#include "http/http_message.h"
#include "http/message_reader.h"
#include "http/response_memory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

namespace balsamhook
{

/// Client connection that carries one request at a time. Not thread-safe. A pending exchange keeps the connection alive; calling close() from another
/// coroutine completes the exchange with Closed.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using pointer = std::shared_ptr<http_connection>;

    /// Opens a connection, from the local address bindAddress unless that is empty. Responses are counted in the memory if one is given. Errors: Timeout,
    /// Unreachable. Preconditions: bindAddress is empty or a valid IP address; memory outlives the connection.
    static boost::asio::awaitable<result<pointer>>
    open(endpoint peer, std::string bindAddress, std::chrono::milliseconds timeout, const response_memory *memory = nullptr);

    ~http_connection();

    /// Sends a request and waits for the response; the timeout covers both. Errors: Timeout or Closed, with the step Send if writing the request failed and
    /// Receive if reading the response failed, also for a malformed response; TooLarge if there is no room for it. After an error the connection is closed, and
    /// hasSentBytes() returns whether the peer may have received the request. Precondition: no other exchange is in flight.
    boost::asio::awaitable<result<http_response>> exchange(http_request request, std::chrono::milliseconds timeout);

    /// True if the last exchange may have written part of the request to the socket.
    bool hasSentBytes() const;

    /// True if the connection is usable for another request. Detects a FIN or RST that has already been received.
    /// Precondition: no exchange is in flight.
    bool isOpen() const;

    /// Closes the connection. Idempotent.
    void close();

    const std::string &peer() const;

private:
    struct state;

    /// Receives bytes until the reader has a message; they are counted in the holding if one is given. The error is body_limit if there is no room for them.
    boost::asio::awaitable<boost::system::error_code> receive(message_reader &reader, response_memory::holding *holding);

    explicit http_connection(std::unique_ptr<state> inner);
    std::unique_ptr<state> m_state;
};

/// Opens a connection, exchanges one request and closes the connection. The timeout applies to open() and to exchange() separately. Errors and
/// preconditions are those of open() and exchange().
boost::asio::awaitable<result<http_response>>
fetch(endpoint peer, std::string bindAddress, http_request request, std::chrono::milliseconds timeout, const response_memory *memory = nullptr);

} // namespace balsamhook
