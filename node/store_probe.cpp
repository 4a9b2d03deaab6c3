#include "node/store_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds ReachableInterval{1000};
constexpr std::chrono::milliseconds UnreachableInterval{150};
constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// A probe without a response for this long makes the store count as unreachable, and more probes follow.
constexpr std::chrono::milliseconds OverdueTimeout{300};
/// A slow store may respond out of order. A pending probe counts as lost only when a probe that started at least this much later has succeeded.
constexpr std::chrono::milliseconds OvertakeWindow{500};
/// Calls that began at least this long before the probe that succeeded are taken to be lost.
constexpr std::chrono::milliseconds LostCallMargin{100};

} // namespace

store_probe::store_probe(node_context &context, metadata_store &store, handlers callbacks)
    : m_context(context)
    , m_store(store)
    , m_handlers(std::move(callbacks))
{
}

void store_probe::start()
{
    asio::co_spawn(m_context.io, run(), asio::detached);
}

void store_probe::setActive(bool isActive)
{
    if (isActive && !m_isActive) {
        m_lastStart = clock::now();
        m_isUnreachable = false;
        m_hasLostCalls = false;
    }
    m_isActive = isActive;
}

void store_probe::reportFailure()
{
    markUnreachable();
}

void store_probe::markUnreachable()
{
    if (!m_isUnreachable) {
        m_unreachableSince = clock::now();
    }
    m_isUnreachable = true;
}

bool store_probe::isUnreachableFor(std::chrono::milliseconds duration) const
{
    return m_isUnreachable && clock::now() - m_unreachableSince > duration;
}

bool store_probe::isUnreachable() const
{
    return m_isUnreachable;
}

bool store_probe::isOverdue(clock::time_point now) const
{
    return !m_pending.empty() && now - *m_pending.begin() > OverdueTimeout;
}

asio::awaitable<void> store_probe::run()
{
    while (true) {
        co_await sleepFor(m_context.io, UnreachableInterval);
        const auto now = clock::now();
        if (isOverdue(now)) {
            markUnreachable();
        }
        const auto interval = m_isUnreachable ? UnreachableInterval : ReachableInterval;
        if (m_isActive && now - m_lastStart >= interval) {
            m_lastStart = now;
            asio::co_spawn(m_context.io, probe(), asio::detached);
        }
    }
}

asio::awaitable<void> store_probe::probe()
{
    const auto startedAt = clock::now();
    m_pending.insert(startedAt);
    const auto page = co_await m_store.list(platform_kind::Evacuations, {}, read_mode::Stale, ProbeTimeout);
    m_pending.erase(m_pending.find(startedAt));
    if (!m_isActive) {
        co_return;
    }
    if (page) {
        onResponse(startedAt);
        m_handlers.onResponse(page.value());
    } else {
        onFailure(startedAt);
    }
}

void store_probe::onResponse(clock::time_point startedAt)
{
    m_lastRespondedStart = std::max(m_lastRespondedStart, startedAt);
    const bool wasOvertaken = !m_pending.empty() && *m_pending.begin() + OvertakeWindow < startedAt;
    const bool hasLostCalls = m_hasLostCalls || wasOvertaken;
    const bool hasRecovered = m_isUnreachable || hasLostCalls;
    m_isUnreachable = false;
    m_hasLostCalls = false;
    if (hasRecovered) {
        m_handlers.onRecovered(hasLostCalls ? startedAt - LostCallMargin : clock::time_point{});
    }
}

void store_probe::onFailure(clock::time_point startedAt)
{
    // A probe that started later has succeeded, so this failure is out of date.
    if (startedAt < m_lastRespondedStart) {
        return;
    }
    markUnreachable();
    m_hasLostCalls = true;
}

} // namespace balsamhook
