#include "wire/frame_connection.h"

#include "wire/message_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <netinet/tcp.h>

namespace balsamhook
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t LengthBytes = 4;

/// Minimum buffer space of a read, so that small frames that arrive together cost one system call.
constexpr std::size_t ReadAheadBytes = 16 * 1024;

std::string peerName(const tcp::socket &socket)
{
    boost::system::error_code failed;
    const auto remote = socket.remote_endpoint(failed);
    return failed ? std::string("unknown peer") : remote.address().to_string() + ":" + std::to_string(remote.port());
}

void setOptions(tcp::socket &socket, const frame_limits &limits)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout(static_cast<int>(limits.userTimeout.count())), ignored);
}

std::size_t frameLength(std::string_view frame)
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(frame.data()));
}

std::string lengthPrefix(std::size_t length)
{
    unsigned char bytes[LengthBytes];
    boost::endian::store_big_u32(bytes, static_cast<std::uint32_t>(length));
    return {reinterpret_cast<const char *>(bytes), LengthBytes};
}

} // namespace

frame_connection::frame_connection(tcp::socket socket, frame_limits limits)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_peer(peerName(m_socket))
{
    setOptions(m_socket, m_limits);
}

asio::awaitable<result<frame_connection::pointer>>
frame_connection::open(endpoint peer, std::string bindAddress, std::chrono::milliseconds timeout, frame_limits limits)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<tcp::socket>(executor);
    boost::system::error_code failed;
    const auto remote = tcp::endpoint(asio::ip::make_address(peer.address, failed), peer.port);
    if (!failed) {
        socket->open(remote.protocol(), failed);
    }
    if (!failed && !bindAddress.empty()) {
        socket->bind(tcp::endpoint(asio::ip::make_address(bindAddress), 0), failed);
    }
    if (failed) {
        co_return failure(error_code::Unreachable, error_step::Connect, describe(peer), failed.message());
    }
    asio::steady_timer timer(executor, timeout);
    auto timedOut = std::make_shared<bool>(false);
    timer.async_wait([socket, timedOut](boost::system::error_code cancelled) {
        if (!cancelled) {
            *timedOut = true;
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    co_await socket->async_connect(remote, asio::redirect_error(asio::use_awaitable, failed));
    timer.cancel();
    if (*timedOut) {
        co_return failure(error_code::Timeout, error_step::Connect, describe(peer), "not connected after " + std::to_string(timeout.count()) + " ms");
    }
    if (failed) {
        co_return failure(error_code::Unreachable, error_step::Connect, describe(peer), failed.message());
    }
    co_return std::make_shared<frame_connection>(std::move(*socket), limits);
}

result<void> frame_connection::send(const message &content)
{
    if (!isOpen()) {
        return failure(error_code::Closed, error_step::Send, m_peer, "connection is closed");
    }
    const std::string payload = encodeMessage(content);
    if (payload.size() > m_limits.frameBytes) {
        return failure(error_code::TooLarge, error_step::Send, m_peer, "message of " + std::to_string(payload.size()) + " bytes exceeds the frame limit");
    }
    if (m_sendQueue.size() + payload.size() > m_limits.sendQueueBytes) {
        close();
        return failure(error_code::Overloaded, error_step::Send, m_peer, "send queue is full");
    }
    m_sendQueue += lengthPrefix(payload.size());
    m_sendQueue += payload;
    if (!m_writing) {
        m_writing = true;
        asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()] { return self->writeQueued(); }, asio::detached);
    }
    return success();
}

asio::awaitable<void> frame_connection::writeQueued()
{
    while (!m_sendQueue.empty() && isOpen()) {
        const std::string batch = std::exchange(m_sendQueue, {});
        boost::system::error_code failed;
        co_await asio::async_write(m_socket, asio::buffer(batch), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            close();
        }
    }
    m_writing = false;
}

asio::awaitable<result<message>> frame_connection::receive()
{
    // Keeps the connection alive during the reads below, even if its last owner releases it.
    const auto self = shared_from_this();
    while (true) {
        const std::string_view unread = unreadBytes();
        const std::size_t length = unread.size() < LengthBytes ? 0 : frameLength(unread);
        if (length > m_limits.frameBytes) {
            close();
            co_return failure(error_code::TooLarge, error_step::Receive, m_peer, "frame of " + std::to_string(length) + " bytes exceeds the limit");
        }
        if (unread.size() >= LengthBytes && unread.size() - LengthBytes >= length) {
            co_return decodeFrame(length);
        }
        boost::system::error_code failed;
        char *const freeSpace = reserveReceiveSpace(std::max(LengthBytes + length - unread.size(), ReadAheadBytes));
        const std::size_t freeBytes = m_receiveBuffer.size() - m_receivedEnd;
        m_receivedEnd += co_await m_socket.async_read_some(asio::buffer(freeSpace, freeBytes), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            close();
            co_return failure(error_code::Closed, error_step::Receive, m_peer, failed.message());
        }
    }
}

std::string_view frame_connection::unreadBytes() const
{
    return std::string_view(m_receiveBuffer).substr(m_receivedStart, m_receivedEnd - m_receivedStart);
}

char *frame_connection::reserveReceiveSpace(std::size_t bytes)
{
    if (m_receiveBuffer.size() - m_receivedEnd < bytes) {
        m_receiveBuffer.erase(0, m_receivedStart);
        m_receivedEnd -= std::exchange(m_receivedStart, 0);
        m_receiveBuffer.resize(std::max(m_receiveBuffer.size(), m_receivedEnd + bytes));
    }
    return m_receiveBuffer.data() + m_receivedEnd;
}

result<message> frame_connection::decodeFrame(std::size_t length)
{
    BALSAM_ASSERT(unreadBytes().size() >= LengthBytes + length);
    result<message> decoded = decodeMessage(unreadBytes().substr(LengthBytes, length));
    m_receivedStart += LengthBytes + length;
    if (m_receivedStart == m_receivedEnd) {
        m_receivedStart = 0;
        m_receivedEnd = 0;
    }
    if (!decoded) {
        close();
        return failure(error_code::Protocol, error_step::Decode, m_peer, decoded.error().message);
    }
    return decoded;
}

void frame_connection::close()
{
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

bool frame_connection::isOpen() const
{
    return m_socket.is_open();
}

const std::string &frame_connection::peer() const
{
    return m_peer;
}

frame_server::frame_server(asio::io_context &context, frame_limits limits, std::size_t connectionLimit, counters &metrics, handler handle)
    : m_context(context)
    , m_acceptor(context)
    , m_limits(limits)
    , m_connectionLimit(connectionLimit)
    , m_metrics(metrics)
    , m_handle(std::move(handle))
{
}

result<void> frame_server::listen(const endpoint &local)
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(local.address, failed);
    if (!failed) {
        m_acceptor.open(address.is_v6() ? tcp::v6() : tcp::v4(), failed);
    }
    if (!failed) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        m_acceptor.bind({address, local.port}, failed);
    }
    if (!failed) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return failure(error_code::Unreachable, error_step::Listen, describe(local), failed.message());
    }
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return success();
}

void frame_server::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> frame_server::acceptLoop()
{
    constexpr std::chrono::milliseconds DelayAfterError{50};
    while (m_acceptor.is_open()) {
        boost::system::error_code failed;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::operation_aborted || failed == asio::error::bad_descriptor) {
            co_return;
        }
        if (failed) {
            // Usually the process has run out of file descriptors; accepting again immediately would cause a busy loop.
            asio::steady_timer delay(m_context, DelayAfterError);
            co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        if (*m_openConnections >= m_connectionLimit) {
            m_metrics.add("frame_connections_refused_total");
            continue;
        }
        ++*m_openConnections;
        auto connection = std::make_shared<frame_connection>(std::move(socket), m_limits);
        asio::co_spawn(
            m_context,
            [connection, handle = m_handle] { return handle(connection); },
            [openConnections = m_openConnections, connection](std::exception_ptr failed) {
                --*openConnections;
                connection->close();
                if (failed) {
                    std::rethrow_exception(failed);
                }
            });
    }
}

} // namespace balsamhook
