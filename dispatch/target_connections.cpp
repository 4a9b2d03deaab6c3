#include "dispatch/target_connections.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

target_connections::target_connections(asio::io_context &context, endpoint address, std::string bindAddress, std::size_t limit)
    : m_changed(context)
    , m_address(std::move(address))
    , m_bindAddress(std::move(bindAddress))
    , m_limit(limit)
    , m_keepLimit(limit)
{
    BALSAM_ASSERT(limit >= 1);
}

asio::awaitable<result<http_connection::pointer>> target_connections::acquire(boot_clock::time_point deadline)
{
    while (true) {
        while (!m_idle.empty()) {
            const http_connection::pointer connection = std::move(m_idle.back().connection);
            m_idle.pop_back();
            if (connection->isOpen()) {
                co_return connection;
            }
            --m_count;
        }
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::now());
        if (remaining.count() <= 0) {
            co_return failure(error_code::Timeout, error_step::Connect, describe(m_address), "no connection before the deadline");
        }
        if (m_count < m_limit) {
            co_return co_await open(remaining);
        }
        boost::system::error_code ignored;
        m_changed.expires_after(remaining);
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

http_connection::pointer target_connections::acquireOldest()
{
    while (!m_idle.empty()) {
        const http_connection::pointer connection = std::move(m_idle.front().connection);
        m_idle.pop_front();
        if (connection->isOpen()) {
            return connection;
        }
        --m_count;
    }
    return nullptr;
}

asio::awaitable<result<http_connection::pointer>> target_connections::open(std::chrono::milliseconds timeout)
{
    if (m_count >= m_limit) {
        co_return failure(error_code::Overloaded, error_step::Connect, describe(m_address), "all " + std::to_string(m_limit) + " connections are in use");
    }
    // Counted before the handshake ends, because the target counts a connection from its first packet on.
    ++m_count;
    m_keepLimit = m_limit;
    auto opened = co_await http_connection::open(m_address, m_bindAddress, timeout);
    if (!opened) {
        --m_count;
        m_changed.cancel();
    }
    co_return opened;
}

void target_connections::release(const http_connection::pointer &connection)
{
    if (connection->isOpen() && m_count <= m_keepLimit) {
        m_idle.push_back({connection, boot_clock::now()});
    } else {
        connection->close();
        --m_count;
    }
    m_changed.cancel();
}

void target_connections::closeIdleSince(boot_clock::time_point time)
{
    while (!m_idle.empty() && m_idle.front().since < time) {
        m_idle.front().connection->close();
        m_idle.pop_front();
        --m_count;
    }
    m_changed.cancel();
}

void target_connections::setLimit(std::size_t limit)
{
    BALSAM_ASSERT(limit >= 1);
    m_limit = limit;
    m_keepLimit = limit;
    closeIdleAbove(limit);
}

void target_connections::closeAll()
{
    m_keepLimit = 0;
    closeIdleAbove(0);
}

std::size_t target_connections::count() const
{
    return m_count;
}

std::size_t target_connections::idleCount() const
{
    return m_idle.size();
}

void target_connections::closeIdleAbove(std::size_t limit)
{
    while (m_count > limit && !m_idle.empty()) {
        m_idle.front().connection->close();
        m_idle.pop_front();
        --m_count;
    }
}

} // namespace balsamhook
