#include "node/store_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds UsualInterval{1000};
constexpr std::chrono::milliseconds LostInterval{150};
constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// A probe without an answer for this long is followed by others.
constexpr std::chrono::milliseconds OverdueTime{300};
/// A slow store answers in any order; only a probe that was overtaken by one this much younger is taken to be lost.
constexpr std::chrono::milliseconds OvertakenBy{500};
/// Calls that began this long before the answered probe are taken to be lost.
constexpr std::chrono::milliseconds LostMargin{100};

} // namespace

store_probe::store_probe(node_context &context, metadata_store &store, answered_handler onAnswered)
    : m_context(context)
    , m_store(store)
    , m_onAnswered(std::move(onAnswered))
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
        m_isLost = false;
        m_wereCallsLost = false;
    }
    m_isActive = isActive;
}

void store_probe::suspect()
{
    setLost();
}

void store_probe::setLost()
{
    if (!m_isLost) {
        m_lostAt = clock::now();
    }
    m_isLost = true;
}

bool store_probe::isLostFor(std::chrono::milliseconds time) const
{
    return m_isLost && clock::now() - m_lostAt > time;
}

bool store_probe::isLost() const
{
    return m_isLost;
}

bool store_probe::isOverdue(clock::time_point now) const
{
    return !m_pending.empty() && now - *m_pending.begin() > OverdueTime;
}

asio::awaitable<void> store_probe::run()
{
    while (true) {
        co_await sleepFor(m_context.io, LostInterval);
        const auto now = clock::now();
        if (isOverdue(now)) {
            setLost();
        }
        const auto interval = m_isLost ? LostInterval : UsualInterval;
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
        onAnswer(startedAt);
    } else {
        onFailure(startedAt);
    }
}

void store_probe::onAnswer(clock::time_point startedAt)
{
    m_lastAnsweredStart = std::max(m_lastAnsweredStart, startedAt);
    const bool wasOvertaken = !m_pending.empty() && *m_pending.begin() + OvertakenBy < startedAt;
    const bool wereCallsLost = m_wereCallsLost || wasOvertaken;
    const bool isNews = m_isLost || wereCallsLost;
    m_isLost = false;
    m_wereCallsLost = false;
    if (isNews) {
        m_onAnswered(wereCallsLost ? startedAt - LostMargin : clock::time_point{});
    }
}

void store_probe::onFailure(clock::time_point startedAt)
{
    // The failure of a probe that a younger one has overtaken is no news.
    if (startedAt < m_lastAnsweredStart) {
        return;
    }
    setLost();
    m_wereCallsLost = true;
}

} // namespace balsamhook
