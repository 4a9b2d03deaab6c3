#include "http/target_connection.h"

#include "http/socket_options.h"

#include <atomic>
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

connection_end endOf(const boost::system::error_code &error)
{
    if (error == asio::error::eof) {
        return connection_end::ClosedByTarget;
    }
    const bool isReset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    return isReset ? connection_end::ResetByTarget : connection_end::Failed;
}

std::uint64_t nextNumber()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

} // namespace

target_connection::target_connection(asio::io_context &context, endpoint peer, message_reader::limits limits, const response_memory *memory)
    : m_socket(context)
    , m_peer(std::move(peer))
    , m_number(nextNumber())
    , m_machine(limits, memory)
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

void target_connection::exchange(serialized_request request, std::string requestId, bool expectsBody, exchange_handler done)
{
    BALSAM_ASSERT(m_open && !m_closed && !m_exchangeHandler);
    m_exchangeHandler = std::move(done);
    BALSAM_ASSERT(m_outgoing.isEmpty());
    m_outgoing.add(std::move(request.head));
    m_outgoing.add(std::move(request.body));
    m_hasSentBytes = false;
    m_machine.begin(std::move(requestId), expectsBody);
    boost::system::error_code failed;
    const std::size_t size = m_socket.write_some(m_outgoing.buffers(), failed);
    if (failed && failed != asio::error::would_block) {
        // Posted to the event loop, so that the handler is never called from within exchange().
        asio::post(m_socket.get_executor(), [self = shared_from_this(), failed] {
            if (self->m_exchangeHandler) {
                self->onConnectionError(failed);
            }
        });
        return;
    }
    onWritten(size);
}

void target_connection::onWritten(std::size_t size)
{
    m_hasSentBytes = m_hasSentBytes || size > 0;
    m_outgoing.onWritten(size);
    if (m_outgoing.isEmpty()) {
        m_machine.onRequestWritten();
    } else {
        writeRemaining();
    }
}

void target_connection::writeRemaining()
{
    m_socket.async_write_some(m_outgoing.buffers(), [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
        if (self->m_closed || !self->m_exchangeHandler) {
            return;
        }
        if (failed) {
            self->onConnectionError(failed);
            return;
        }
        self->onWritten(size);
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
    if (auto result = m_machine.onBytes({m_buffer.data(), size})) {
        finish(std::move(*result));
    } else if (m_machine.hasEnded()) {
        closeIdle();
    }
    if (!m_closed) {
        read();
    }
}

void target_connection::onConnectionError(const boost::system::error_code &failed)
{
    if (m_openHandler) {
        const open_handler handler = std::move(m_openHandler);
        close();
        handler(false);
        return;
    }
    if (auto result = m_machine.onEnd(endOf(failed), m_hasSentBytes)) {
        finish(std::move(*result));
    } else {
        closeIdle();
    }
}

void target_connection::closeIdle()
{
    const close_handler handler = std::move(m_closeHandler);
    close();
    if (handler) {
        handler();
    }
}

void target_connection::finish(exchange_result result)
{
    const exchange_handler handler = std::move(m_exchangeHandler);
    m_exchangeHandler = nullptr;
    m_idleSince = clock::now();
    m_idleTimeout = idleTimeoutOf(result.response);
    if (m_machine.hasEnded()) {
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
    if (!m_open || m_closed || !m_machine.isReusable()) {
        return false;
    }
    return !m_idleTimeout || now + IdleMargin < m_idleSince + *m_idleTimeout;
}

target_connection::clock::time_point target_connection::idleSince() const
{
    return m_idleSince;
}

std::uint64_t target_connection::number() const
{
    return m_number;
}

} // namespace balsamhook
