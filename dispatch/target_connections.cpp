#include "dispatch/target_connections.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

target_connections::target_connections(asio::io_context &context, endpoint peer, std::string bindAddress, std::size_t cap)
    : m_changed(context)
    , m_peer(std::move(peer))
    , m_bindAddress(std::move(bindAddress))
    , m_cap(cap)
    , m_keep(cap)
{
    BALSAM_ASSERT(cap >= 1);
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
            co_return failure(error_code::Timeout, error_step::Connect, describe(m_peer), "no connection before the deadline");
        }
        if (m_count < m_cap) {
            co_return co_await open(remaining);
        }
        boost::system::error_code ignored;
        m_changed.expires_after(remaining);
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

http_connection::pointer target_connections::takeOldest()
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
    if (m_count >= m_cap) {
        co_return failure(error_code::Overloaded, error_step::Connect, describe(m_peer), "all " + std::to_string(m_cap) + " connections are in use");
    }
    // Counted before the connection exists: the target counts it from the first packet on.
    ++m_count;
    m_keep = m_cap;
    auto opened = co_await http_connection::open(m_peer, m_bindAddress, timeout);
    if (!opened) {
        --m_count;
        m_changed.cancel();
    }
    co_return opened;
}

void target_connections::giveBack(const http_connection::pointer &connection)
{
    if (connection->isOpen() && m_count <= m_keep) {
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

void target_connections::setCap(std::size_t cap)
{
    BALSAM_ASSERT(cap >= 1);
    m_cap = cap;
    m_keep = cap;
    closeBeyond(cap);
}

void target_connections::closeAll()
{
    m_keep = 0;
    closeBeyond(0);
}

std::size_t target_connections::count() const
{
    return m_count;
}

std::size_t target_connections::idle() const
{
    return m_idle.size();
}

void target_connections::closeBeyond(std::size_t limit)
{
    while (m_count > limit && !m_idle.empty()) {
        m_idle.front().connection->close();
        m_idle.pop_front();
        --m_count;
    }
}

} // namespace balsamhook
