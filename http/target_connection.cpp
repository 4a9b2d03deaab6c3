#include "http/target_connection.h"

#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cstdlib>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

/// An idle connection is not reused in this period before the target's idle timeout, so that a request doesn't race with the close.
constexpr std::chrono::milliseconds IdleMargin{300};
/// Interim responses and late responses to earlier requests that an exchange may discard.
constexpr unsigned MaxDiscardedResponses = 16;

std::optional<std::chrono::milliseconds> idleTimeoutOf(const http_message &response)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string *value = response.find("Keep-Alive");
    const std::size_t position = value == nullptr ? std::string::npos : value->find(Parameter);
    if (position == std::string::npos) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::atoi(value->c_str() + position + Parameter.size()));
}

bool isClosedByPeer(const boost::system::error_code &error)
{
    return error == asio::error::eof || error == asio::error::connection_reset || error == asio::error::broken_pipe;
}

} // namespace

target_connection::target_connection(asio::io_context &context, endpoint peer, message_reader::limits limits)
    : m_socket(context)
    , m_peer(std::move(peer))
    , m_limits(limits)
    , m_reader(message_kind::Response, limits)
{
}

void target_connection::open(open_handler done)
{
    m_openHandler = std::move(done);
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(m_peer.address, failed);
    if (!failed) {
        m_socket.open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), failed);
    }
    if (failed) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onConnectionError(asio::error::host_unreachable); });
        return;
    }
    setSocketOptions(m_socket);
    m_socket.async_connect({address, m_peer.port}, [self = shared_from_this()](const boost::system::error_code &connectFailed) {
        if (self->m_closed) {
            return;
        }
        if (connectFailed) {
            self->onConnectionError(connectFailed);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.non_blocking(true, ignored);
        self->m_open = true;
        self->m_idleSince = clock::now();
        self->read();
        const open_handler handler = std::move(self->m_openHandler);
        handler(true);
    });
}

void target_connection::onIdleClose(close_handler handler)
{
    m_closeHandler = std::move(handler);
}

void target_connection::exchange(std::string request, std::string requestId, bool expectsBody, exchange_handler done)
{
    BALSAM_ASSERT(m_open && !m_closed && !m_exchangeHandler);
    m_exchangeHandler = std::move(done);
    m_requestId = std::move(requestId);
    m_outgoing = std::move(request);
    m_written = 0;
    m_discarded = 0;
    if (!expectsBody) {
        m_reader.expectNoBody();
    }
    boost::system::error_code failed;
    m_written = m_socket.write_some(asio::buffer(m_outgoing), failed);
    if (failed && failed != asio::error::would_block) {
        // Posted to the event loop, so that the handler is never called from within exchange().
        asio::post(m_socket.get_executor(), [self = shared_from_this(), failed] {
            if (self->m_exchangeHandler) {
                self->onConnectionError(failed);
            }
        });
        return;
    }
    if (m_written < m_outgoing.size()) {
        writeRemaining();
    }
}

void target_connection::writeRemaining()
{
    const auto remaining = asio::buffer(m_outgoing) + m_written;
    m_socket.async_write_some(remaining, [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
        if (self->m_closed || !self->m_exchangeHandler) {
            return;
        }
        if (failed) {
            self->onConnectionError(failed);
            return;
        }
        self->m_written += size;
        if (self->m_written < self->m_outgoing.size()) {
            self->writeRemaining();
        }
    });
}

void target_connection::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) { self->onRead(failed, size); });
}

void target_connection::onRead(const boost::system::error_code &failed, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (failed) {
        onConnectionError(failed);
        return;
    }
    // Unsolicited bytes can't be matched to a request.
    if (!m_exchangeHandler) {
        onConnectionError(asio::error::connection_aborted);
        return;
    }
    const std::string_view received(m_buffer.data(), size);
    if (m_unparsed.empty()) {
        processInput(received);
    } else {
        const std::string joined = std::exchange(m_unparsed, {}).append(received);
        processInput(joined);
    }
    if (!m_closed) {
        read();
    }
}

void target_connection::processInput(std::string_view data)
{
    while (!data.empty() && m_exchangeHandler && !m_closed) {
        boost::system::error_code failed;
        data.remove_prefix(m_reader.feed(data, failed));
        if (failed) {
            finish({exchange_outcome::Lost, {}, false, false, true});
            return;
        }
        if (!m_reader.isDone()) {
            // The reader consumes complete lines only; the rest is passed again with the next bytes.
            m_unparsed = data;
            if (m_unparsed.size() > m_limits.headerBytes) {
                finish({exchange_outcome::Lost, {}, false, false, true});
            }
            return;
        }
        if (!acceptResponse(!data.empty()) && ++m_discarded > MaxDiscardedResponses) {
            finish({exchange_outcome::Lost, {}, false, false, true});
            return;
        }
    }
}

bool target_connection::acceptResponse(bool hasTrailingBytes)
{
    constexpr unsigned FirstFinalStatus = 200;
    http_message response = m_reader.take();
    if (response.status < FirstFinalStatus) {
        return false;
    }
    const std::string *id = response.find("Request-Id");
    if (id != nullptr && *id != m_requestId) {
        return false;
    }
    m_idleTimeout = idleTimeoutOf(response);
    m_canReuse = response.keepAlive && !hasTrailingBytes && m_written == m_outgoing.size();
    finish({exchange_outcome::Completed, std::move(response), false, false, true});
    return true;
}

void target_connection::onConnectionError(const boost::system::error_code &failed)
{
    if (m_openHandler) {
        const open_handler handler = std::move(m_openHandler);
        close();
        handler(false);
        return;
    }
    if (!m_exchangeHandler) {
        const close_handler handler = std::move(m_closeHandler);
        close();
        if (handler) {
            handler();
        }
        return;
    }
    m_canReuse = false;
    // Only an orderly close completes a response without Content-Length; after a reset the body may be truncated.
    if (failed == asio::error::eof && m_reader.hasHeader()) {
        boost::system::error_code incomplete;
        m_reader.endOfStream(incomplete);
        if (!incomplete && m_reader.isDone() && acceptResponse(false)) {
            return;
        }
    }
    const bool hasReceivedBytes = m_reader.hasStarted();
    finish({m_written > 0 ? exchange_outcome::Lost : exchange_outcome::NotSent, {}, true, isClosedByPeer(failed), hasReceivedBytes});
}

void target_connection::finish(exchange_result result)
{
    const exchange_handler handler = std::move(m_exchangeHandler);
    m_exchangeHandler = nullptr;
    m_idleSince = clock::now();
    if (result.outcome != exchange_outcome::Completed || !m_canReuse) {
        m_canReuse = false;
        close();
    }
    handler(std::move(result));
}

void target_connection::close()
{
    m_closed = true;
    m_open = false;
    m_openHandler = nullptr;
    m_exchangeHandler = nullptr;
    m_closeHandler = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

bool target_connection::isReusable(clock::time_point now) const
{
    if (!m_open || m_closed || m_exchangeHandler || !m_canReuse) {
        return false;
    }
    return !m_idleTimeout || now + IdleMargin < m_idleSince + *m_idleTimeout;
}

target_connection::clock::time_point target_connection::idleSince() const
{
    return m_idleSince;
}

} // namespace balsamhook
