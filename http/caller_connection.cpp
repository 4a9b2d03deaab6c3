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

/// Reading stops at this size, or behind all that the reader may wait for the end of.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
/// Reading stops at this size until the previous response is sent; the rest of a pipelined request stays in the socket buffer.
constexpr std::size_t MaxPipelinedBytes = 16 * 1024;
/// Time for the caller to read the last response before the socket is closed.
constexpr std::chrono::milliseconds LingerTimeout{500};
/// A larger body is not copied behind the header.
constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;
/// Receive buffer while a large request arrives, and send buffer, of connections of an account, in the bytes asked of the kernel.
constexpr int LargeReceiveBufferBytes = 64 * 1024;
constexpr int SendBufferBytes = 64 * 1024;
/// Retry-After of a request for which there is no memory.
constexpr const char *NoRoomRetryAfterSeconds = "1";

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

/// Empties the text. An assignment could keep its buffer.
void releaseMemory(std::string &text)
{
    std::string().swap(text);
}

/// Returns the header, and the body behind it if that is small.
std::string serialize(const caller_response &response, bool closeAfter)
{
    constexpr std::size_t HeaderBytes = 256;
    std::string bytes;
    bytes.reserve(HeaderBytes + std::min(response.body.size(), MaxCopiedBodyBytes));
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
    if (!response.omitsBody && response.body.size() <= MaxCopiedBodyBytes) {
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

caller_connection::caller_connection(
    asio::ip::tcp::socket socket, timer_queue &timers, settings values, handlers callbacks, connection_account::entry_pointer entry)
    : m_socket(std::move(socket))
    , m_timers(timers)
    , m_settings(values)
    , m_handlers(std::move(callbacks))
    , m_reader(message_kind::Request, values.limits)
    , m_entry(std::move(entry))
    , m_idleSince(clock::now())
{
}

void caller_connection::start()
{
    setSocketOptions(m_socket);
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    if (m_entry) {
        m_socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
        m_entry->onEvicted([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                asio::post(self->m_socket.get_executor(), [self] { self->close(); });
            }
        });
    }
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
    if (m_closed) {
        return;
    }
    if (!updateAccount() && !m_busy) {
        rejectForRoom();
        return;
    }
    if (mayRead()) {
        read();
    }
}

bool caller_connection::mayRead() const
{
    const bool isResponsePending = m_busy || !m_outgoing.isEmpty();
    const std::size_t limit = isResponsePending ? MaxPipelinedBytes : std::max(MaxUnparsedBytes, message_reader::maxUnconsumedBytes(m_settings.limits) + 1);
    return m_unparsed.size() < limit;
}

std::size_t caller_connection::heldBytes() const
{
    const std::size_t receiveBuffer = m_hasLargeReceiveBuffer ? 2 * static_cast<std::size_t>(LargeReceiveBufferBytes) : 0;
    return connection_account::ConnectionBytes + receiveBuffer + m_unparsed.capacity() + m_reader.heldBytes() + m_outgoing.heldBytes();
}

bool caller_connection::updateAccount()
{
    return !m_entry || m_entry->resize(heldBytes());
}

void caller_connection::setReceiveBuffer(bool isLarge)
{
    if (!m_entry || m_hasLargeReceiveBuffer == isLarge) {
        return;
    }
    m_hasLargeReceiveBuffer = isLarge;
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(isLarge ? LargeReceiveBufferBytes : connection_account::ReceiveBufferBytes), ignored);
}

void caller_connection::rejectForRoom()
{
    if (!m_reader.hasStarted()) {
        close();
        return;
    }
    constexpr unsigned ServiceUnavailable = 503;
    m_handlers.onRejected(ServiceUnavailable);
    caller_response response;
    response.status = ServiceUnavailable;
    response.fields = {{"Content-Type", "text/plain"}, {"Retry-After", NoRoomRetryAfterSeconds}};
    response.body = "no memory for the request\n";
    respondToUnread(std::move(response));
}

void caller_connection::respondToUnread(caller_response response)
{
    // What has arrived of the request isn't kept while the caller reads the response.
    m_reader = message_reader(message_kind::Request, m_settings.limits);
    releaseMemory(m_unparsed);
    setReceiveBuffer(false);
    m_busy = true;
    respond(std::move(response), true);
}

void caller_connection::process()
{
    if (m_busy || m_closed || m_hasRespondedLast || m_unparsed.empty()) {
        return;
    }
    // A caller that doesn't read its responses gets no further ones, which would have to be kept.
    if (!m_reader.hasStarted() && !m_outgoing.isEmpty()) {
        return;
    }
    if (!m_reader.hasStarted()) {
        m_messageStartedAt = clock::now();
        if (m_entry) {
            m_entry->onBegin(m_messageStartedAt);
        }
        armTimer(m_messageStartedAt + m_settings.headerTimeout);
    }
    boost::system::error_code failed;
    const std::size_t consumed = m_reader.feed(m_unparsed, failed);
    m_unparsed.erase(0, consumed);
    if (m_unparsed.empty()) {
        releaseMemory(m_unparsed);
    }
    if (failed) {
        reject(failed);
        return;
    }
    if (!m_reader.isDone()) {
        if (m_reader.hasHeader() && m_reader.expectsContinue() && !m_sentContinue) {
            m_sentContinue = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (m_reader.heldBytes() > static_cast<std::size_t>(connection_account::ReceiveBufferBytes)) {
            setReceiveBuffer(true);
        }
        return;
    }
    std::shared_ptr<void> memory = m_entry ? m_entry->hold(m_reader.heldBytes()) : nullptr;
    if (m_entry && !memory) {
        rejectForRoom();
        return;
    }
    ++m_requestsRead;
    m_busy = true;
    m_sentContinue = false;
    http_message request = m_reader.take();
    request.memory = std::move(memory);
    setReceiveBuffer(false);
    if (m_entry) {
        m_entry->setBusy(true);
        updateAccount();
    }
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
    respondToUnread(std::move(response));
}

void caller_connection::respond(caller_response response, bool closeAfter)
{
    if (m_closed) {
        return;
    }
    BALSAM_ASSERT(m_busy);
    m_closeAfter = m_closeAfter || closeAfter;
    m_hasRespondedLast = m_closeAfter;
    m_busy = false;
    m_idleSince = clock::now();
    m_writtenAt = m_idleSince;
    std::string bytes = serialize(response, m_closeAfter);
    const bool isBodySeparate = !response.omitsBody && response.body.size() > MaxCopiedBodyBytes;
    send(std::move(bytes), isBodySeparate ? std::move(response.body) : std::string());
    if (m_closed) {
        return;
    }
    if (m_entry) {
        // Others make room for a response that is ready, so it is counted before the connection can be evicted.
        m_entry->setBusy(true);
        updateAccount();
        m_entry->onBegin(m_idleSince);
        m_entry->setBusy(false);
    }
    if (!m_lingering) {
        armTimer(m_idleSince + m_settings.idleTimeout);
    }
    if (!m_closeAfter) {
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
        if (self->mayRead()) {
            self->read();
        }
    });
}

void caller_connection::send(std::string bytes, std::string body)
{
    const bool isWriting = !m_outgoing.isEmpty();
    m_outgoing.add(std::move(bytes));
    m_outgoing.add(std::move(body));
    if (isWriting) {
        return;
    }
    boost::system::error_code failed;
    const std::size_t size = m_socket.write_some(m_outgoing.buffers(), failed);
    if (failed && failed != asio::error::would_block) {
        close();
        return;
    }
    m_outgoing.onWritten(size);
    if (!m_outgoing.isEmpty()) {
        writeRemaining();
        return;
    }
    onWritten();
}

void caller_connection::writeRemaining()
{
    m_socket.async_write_some(m_outgoing.buffers(), [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
        if (self->m_closed) {
            return;
        }
        if (failed) {
            self->close();
            return;
        }
        self->m_outgoing.onWritten(size);
        self->m_writtenAt = clock::now();
        if (!self->m_outgoing.isEmpty()) {
            self->writeRemaining();
            return;
        }
        self->m_idleSince = self->m_writtenAt;
        if (self->m_entry && !self->m_busy) {
            self->m_entry->onBegin(self->m_idleSince);
        }
        self->onWritten();
        self->updateAccount();
    });
}

void caller_connection::onWritten()
{
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
    const bool isIdle = !m_busy && !m_closed && !m_hasRespondedLast && !m_reader.hasStarted() && m_unparsed.empty() && m_outgoing.isEmpty();
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
    if (!m_lingering && !m_reader.hasStarted()) {
        closeIfIdle();
        return;
    }
    if (m_lingering) {
        close();
        return;
    }
    constexpr unsigned RequestTimeout = 408;
    m_handlers.onRejected(RequestTimeout);
    caller_response response;
    response.status = RequestTimeout;
    response.body = "request did not arrive within " + std::to_string(m_settings.headerTimeout.count()) + " ms\n";
    respondToUnread(std::move(response));
}

void caller_connection::closeIfIdle()
{
    // A caller that reads a long response slowly isn't idle.
    const clock::time_point due = std::max(m_idleSince, m_writtenAt) + m_settings.idleTimeout;
    if (clock::now() < due) {
        armTimer(due);
    } else {
        close();
    }
}

void caller_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_entry = nullptr;
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
