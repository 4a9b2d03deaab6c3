#include "http/caller_connection.h"

#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// Reading stops at this size; the rest of a larger pipelined request stays in the socket buffer until the previous response is sent.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
/// Time for the caller to read the last response before the socket is closed.
constexpr std::chrono::milliseconds LingerTimeout{500};

unsigned statusOf(const boost::system::error_code &failed)
{
    constexpr unsigned TooLarge = 413;
    constexpr unsigned HeaderTooLarge = 431;
    constexpr unsigned BadRequest = 400;
    if (failed == http::error::body_limit) {
        return TooLarge;
    }
    return failed == http::error::header_limit ? HeaderTooLarge : BadRequest;
}

std::string serialize(const caller_response &response, bool closeAfter)
{
    std::string bytes;
    bytes.reserve(256 + response.body.size());
    bytes.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reasonPhrase(response.status)).append("\r\n");
    for (const header_field &field : response.fields) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (response.status != NoContent && response.status != NotModified && !response.omitsLength) {
        bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    if (closeAfter) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    if (!response.omitsBody) {
        bytes.append(response.body);
    }
    return bytes;
}

} // namespace

std::string_view reasonPhrase(unsigned status)
{
    const auto phrase = http::obsolete_reason(static_cast<http::status>(status));
    return {phrase.data(), phrase.size()};
}

caller_connection::caller_connection(asio::ip::tcp::socket socket, timer_queue &timers, settings values, handlers callbacks)
    : m_socket(std::move(socket))
    , m_timers(timers)
    , m_settings(values)
    , m_handlers(std::move(callbacks))
    , m_reader(message_kind::Request, values.limits)
    , m_idleSince(clock::now())
{
}

void caller_connection::start()
{
    setSocketOptions(m_socket);
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    armTimer(m_idleSince + m_settings.idleTimeout);
    read();
}

void caller_connection::read()
{
    if (m_reading || m_closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
        self->m_reading = false;
        self->onRead(failed, size);
    });
}

void caller_connection::onRead(const boost::system::error_code &failed, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (failed) {
        if (m_busy && !m_lingering) {
            m_handlers.onDisconnected(shared_from_this());
        }
        close();
        return;
    }
    if (m_lingering) {
        read();
        return;
    }
    m_unparsed.append(m_buffer.data(), size);
    process();
    if (m_unparsed.size() < MaxUnparsedBytes) {
        read();
    }
}

void caller_connection::process()
{
    if (m_busy || m_closed || m_hasRespondedLast || m_unparsed.empty()) {
        return;
    }
    // A caller that doesn't read its responses gets no further ones, which would have to be kept.
    if (!m_reader.hasStarted() && !m_outgoing.empty()) {
        return;
    }
    if (!m_reader.hasStarted()) {
        m_messageStartedAt = clock::now();
        armTimer(m_messageStartedAt + m_settings.headerTimeout);
    }
    boost::system::error_code failed;
    const std::size_t consumed = m_reader.feed(m_unparsed, failed);
    m_unparsed.erase(0, consumed);
    if (failed) {
        reject(failed);
        return;
    }
    if (!m_reader.isDone()) {
        if (m_reader.hasHeader() && m_reader.expectsContinue() && !m_sentContinue) {
            m_sentContinue = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    }
    ++m_requestsRead;
    m_busy = true;
    m_sentContinue = false;
    http_message request = m_reader.take();
    m_closeAfter = m_closeAfter || !request.keepAlive;
    m_handlers.onRequest(shared_from_this(), std::move(request));
}

void caller_connection::reject(const boost::system::error_code &failed)
{
    const unsigned status = statusOf(failed);
    m_handlers.onRejected(status);
    caller_response response;
    response.status = status;
    response.fields.push_back({"Content-Type", "text/plain"});
    response.body = "request can't be read: " + failed.message() + "\n";
    m_busy = true;
    respond(response, true);
}

void caller_connection::respond(const caller_response &response, bool closeAfter)
{
    if (m_closed) {
        return;
    }
    BALSAM_ASSERT(m_busy);
    m_closeAfter = m_closeAfter || closeAfter;
    m_hasRespondedLast = m_closeAfter;
    m_busy = false;
    m_idleSince = clock::now();
    m_outgoingMemory = response.memory;
    send(serialize(response, m_closeAfter));
    if (m_closed) {
        return;
    }
    if (!m_closeAfter) {
        armTimer(m_idleSince + m_settings.idleTimeout);
        read();
    }
}

void caller_connection::processPipelined()
{
    if (m_unparsed.empty()) {
        return;
    }
    // From the event loop, to avoid unbounded recursion.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->process();
        // Reading may have stopped while the response was being written.
        if (self->m_unparsed.size() < MaxUnparsedBytes) {
            self->read();
        }
    });
}

void caller_connection::send(std::string bytes)
{
    if (!m_outgoing.empty()) {
        m_outgoing.append(bytes);
        return;
    }
    m_outgoing = std::move(bytes);
    boost::system::error_code failed;
    m_written = m_socket.write_some(asio::buffer(m_outgoing), failed);
    if (failed && failed != asio::error::would_block) {
        close();
        return;
    }
    if (m_written < m_outgoing.size()) {
        writeRemaining();
        return;
    }
    onWritten();
}

void caller_connection::writeRemaining()
{
    const auto remaining = asio::buffer(m_outgoing) + m_written;
    m_socket.async_write_some(remaining, [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
        if (self->m_closed) {
            return;
        }
        if (failed) {
            self->close();
            return;
        }
        self->m_written += size;
        if (self->m_written < self->m_outgoing.size()) {
            self->writeRemaining();
        } else {
            self->onWritten();
        }
    });
}

void caller_connection::onWritten()
{
    m_outgoing = std::string();
    m_outgoingMemory = nullptr;
    m_written = 0;
    if (m_hasRespondedLast && !m_lingering) {
        lingerAndClose();
        return;
    }
    processPipelined();
}

void caller_connection::lingerAndClose()
{
    // Closing a socket with unread bytes sends a reset, which can discard a response that the caller hasn't read yet.
    m_lingering = true;
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(clock::now() + LingerTimeout);
    read();
}

void caller_connection::closeWhenIdle()
{
    m_closeAfter = true;
    const bool isIdle = !m_busy && !m_closed && !m_hasRespondedLast && !m_reader.hasStarted() && m_unparsed.empty() && m_outgoing.empty();
    if (isIdle && !hasUnreadBytes()) {
        close();
    }
}

bool caller_connection::hasUnreadBytes() const
{
    boost::system::error_code failed;
    return m_socket.available(failed) > 0 && !failed;
}

void caller_connection::armTimer(clock::time_point due)
{
    m_timers.stop(m_timer);
    m_timer = m_timers.start(due, [self = weak_from_this()] {
        if (const auto connection = self.lock()) {
            connection->m_timer = 0;
            connection->onTimer();
        }
    });
}

void caller_connection::onTimer()
{
    if (m_closed || (m_busy && !m_lingering)) {
        return;
    }
    if (m_lingering || !m_reader.hasStarted()) {
        close();
        return;
    }
    constexpr unsigned RequestTimeout = 408;
    m_handlers.onRejected(RequestTimeout);
    caller_response response;
    response.status = RequestTimeout;
    response.body = "request did not arrive within " + std::to_string(m_settings.headerTimeout.count()) + " ms\n";
    m_busy = true;
    respond(response, true);
}

void caller_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_outgoingMemory = nullptr;
    m_timers.stop(m_timer);
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_handlers.onClosed(shared_from_this());
}

bool caller_connection::isBusy() const
{
    return m_busy;
}

std::uint64_t caller_connection::requestsRead() const
{
    return m_requestsRead;
}

} // namespace balsamhook
