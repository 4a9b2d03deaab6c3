#pragma once

#include "base/base.h"
#include "wire/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Limits of one frame connection. A received frame above its limit or a full send queue closes the connection.
struct frame_limits
{
    std::size_t frameBytes = DefaultFrameLimitBytes; ///< Limit for the payload of a frame, without the length prefix.
    std::size_t sendQueueBytes = 16 * 1024 * 1024; ///< Limit for queued data, without the write in flight.
    std::chrono::milliseconds userTimeout{3000}; ///< TCP_USER_TIMEOUT: unacknowledged data older than this closes the connection.
};

/// One TCP connection that carries messages in both directions. Messages queued while a write is in flight are sent together in the next write.
/// Not thread-safe: all calls come from the thread of its io_context.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using pointer = std::shared_ptr<frame_connection>;

    frame_connection(boost::asio::ip::tcp::socket socket, frame_limits limits);

    /// Opens a connection, from bindAddress unless that is empty. Unreachable when the socket can't be bound or connected, Timeout when the connection
    /// isn't established in time. Precondition: bindAddress is empty or a numeric IP address.
    static boost::asio::awaitable<result<pointer>> open(endpoint peer, std::string bindAddress, std::chrono::milliseconds timeout, frame_limits limits);

    /// Queues a message. Closed when the connection is closed, TooLarge when the message exceeds the frame limit (the connection stays open),
    /// Overloaded when the send queue is full (the connection is then closed).
    /// Success doesn't imply that the message was sent.
    result<void> send(const message &content);

    /// Waits for the next message. Closed when the stream ends or a read fails, Protocol or TooLarge when the peer violated the protocol;
    /// the connection is closed after any error. Precondition: no other receive() is in progress.
    boost::asio::awaitable<result<message>> receive();

    /// Closes the connection. Idempotent.
    void close();

    bool isOpen() const;
    const std::string &peer() const;

private:
    boost::asio::awaitable<void> writeQueued();
    std::string_view unreadBytes() const;
    char *reserveReceiveSpace(std::size_t bytes);
    result<message> decodeFrame(std::size_t length);

    boost::asio::ip::tcp::socket m_socket;
    frame_limits m_limits;
    std::string m_peer;
    std::string m_sendQueue; ///< Encoded frames that wait for the next write.
    std::string m_receiveBuffer; ///< The bytes from m_receivedStart to m_receivedEnd are not yet decoded.
    std::size_t m_receivedStart = 0;
    std::size_t m_receivedEnd = 0;
    bool m_writing = false;
};

/// Accepts frame connections and starts a handler coroutine for each. A connection is closed when its handler ends; an exception of the handler
/// propagates out of the run() of the context. Not thread-safe.
class frame_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(frame_connection::pointer)>;

    /// Connections above connectionLimit are closed immediately and counted in frame_connections_refused_total. Precondition: context and metrics
    /// outlive the server.
    frame_server(boost::asio::io_context &context, frame_limits limits, std::size_t connectionLimit, counters &metrics, handler handle);

    /// Listens on the address; Unreachable when it can't be bound.
    result<void> listen(const endpoint &local);

    /// Stops accepting. Open connections stay open.
    void stop();

private:
    boost::asio::awaitable<void> acceptLoop();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    frame_limits m_limits;
    std::size_t m_connectionLimit;
    counters &m_metrics;
    handler m_handle;
    std::shared_ptr<std::size_t> m_openConnections = std::make_shared<std::size_t>(0);
};

} // namespace balsamhook
