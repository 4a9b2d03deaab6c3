#include "query/dispatcher_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds MinReconnectDelay{50};
constexpr std::chrono::milliseconds MaxReconnectDelay{800};

struct link
{
    link(asio::io_context &context, std::string member, endpoint address)
        : instance(std::move(member))
        , dispatcher(std::move(address))
        , timer(context)
    {
    }

    std::string instance;
    endpoint dispatcher;
    asio::steady_timer timer;
    frame_connection::pointer connection; ///< Null unless open.
    bool stopped = false;

    void stop()
    {
        stopped = true;
        timer.cancel();
        if (connection) {
            connection->close();
        }
    }
};

} // namespace

struct dispatcher_links::task : std::enable_shared_from_this<task>
{
    task(asio::io_context &ioContext, hello localIdentity, std::string localAddress, frame_limits frameLimits, counters &programMetrics, callbacks observer)
        : context(ioContext)
        , identity(std::move(localIdentity))
        , bindAddress(std::move(localAddress))
        , limits(frameLimits)
        , metrics(programMetrics)
        , notify(std::move(observer))
    {
    }

    asio::io_context &context;
    hello identity;
    std::string bindAddress;
    frame_limits limits;
    counters &metrics;
    callbacks notify;
    std::map<std::string, std::shared_ptr<link>> links;
    bool stopped = false;

    static asio::awaitable<void> maintainConnection(std::shared_ptr<task> self, std::shared_ptr<link> to);
    asio::awaitable<void> receiveMessages(std::shared_ptr<link> from);
    bool handleMessage(const link &from, const message &received); ///< False when the connection must be closed.
    void closeLostConnection(link &lost);
};

bool dispatcher_links::task::handleMessage(const link &from, const message &received)
{
    const auto *peer = std::get_if<hello>(&received);
    if (peer == nullptr) {
        notify.onMessage(from.instance, received);
        return true;
    }
    // After a replacement, another instance may listen on the address before the member list is updated.
    const bool expected = peer->instance == from.instance && peer->role == program_role::Dispatch;
    if (!expected) {
        logWarning("front", "dispatcher at " + describe(from.dispatcher) + " identifies as " + peer->instance + ", expected " + from.instance);
        metrics.add("dispatcher_mismatches_total");
    }
    return expected;
}

asio::awaitable<void> dispatcher_links::task::receiveMessages(std::shared_ptr<link> from)
{
    const frame_connection::pointer connection = from->connection;
    while (!from->stopped && !stopped) {
        const auto received = co_await connection->receive();
        if (from->stopped || stopped) {
            co_return;
        }
        if (!received) {
            logWarning("front", "dispatcher " + from->instance + ": " + describe(received.error()));
            co_return;
        }
        if (!handleMessage(*from, received.value())) {
            co_return;
        }
    }
}

void dispatcher_links::task::closeLostConnection(link &lost)
{
    lost.connection->close();
    lost.connection.reset();
    metrics.add("dispatcher_connections_lost_total");
    if (!stopped) {
        notify.onDisconnected(lost.instance);
    }
}

asio::awaitable<void> dispatcher_links::task::maintainConnection(std::shared_ptr<task> self, std::shared_ptr<link> to)
{
    std::chrono::milliseconds delay = MinReconnectDelay;
    while (!to->stopped && !self->stopped) {
        auto opened = co_await frame_connection::open(to->dispatcher, self->bindAddress, ConnectTimeout, self->limits);
        if (opened && !to->stopped && !self->stopped) {
            delay = MinReconnectDelay;
            to->connection = opened.value();
            self->metrics.add("dispatcher_connections_opened_total");
            if (to->connection->send(self->identity)) {
                co_await self->receiveMessages(to);
            }
            self->closeLostConnection(*to);
        }
        if (to->stopped || self->stopped) {
            co_return;
        }
        boost::system::error_code cancelled;
        to->timer.expires_after(delay);
        co_await to->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        delay = std::min(delay * 2, MaxReconnectDelay);
    }
}

dispatcher_links::dispatcher_links(asio::io_context &context, hello identity, std::string bindAddress, frame_limits limits, counters &metrics, callbacks notify)
    : m_task(std::make_shared<task>(context, std::move(identity), std::move(bindAddress), limits, metrics, std::move(notify)))
{
}

dispatcher_links::~dispatcher_links()
{
    stop();
}

void dispatcher_links::setMembers(const std::vector<member_entry> &members)
{
    std::map<std::string, endpoint> endpoints;
    for (const member_entry &member : members) {
        const auto dispatcher = parseEndpoint(member.dispatchEndpoint);
        if (dispatcher) {
            endpoints.emplace(member.instance, dispatcher.value());
        }
    }
    std::erase_if(m_task->links, [&](const auto &item) {
        const auto found = endpoints.find(item.first);
        const bool isUnchanged = found != endpoints.end() && found->second == item.second->dispatcher;
        if (!isUnchanged) {
            item.second->stop();
        }
        return !isUnchanged;
    });
    for (const auto &[instance, dispatcher] : endpoints) {
        if (m_task->links.contains(instance)) {
            continue;
        }
        auto added = std::make_shared<link>(m_task->context, instance, dispatcher);
        m_task->links.emplace(instance, added);
        asio::co_spawn(m_task->context, task::maintainConnection(m_task, std::move(added)), asio::detached);
    }
}

result<void> dispatcher_links::send(const std::string &instance, const message &content)
{
    const auto found = m_task->links.find(instance);
    if (found == m_task->links.end() || !found->second->connection) {
        return failure(error_code::Unreachable, error_step::Send, instance, "no connection to the dispatcher");
    }
    return found->second->connection->send(content);
}

std::size_t dispatcher_links::openConnections() const
{
    std::size_t count = 0;
    for (const auto &[instance, item] : m_task->links) {
        count += item->connection ? 1 : 0;
    }
    return count;
}

void dispatcher_links::stop()
{
    m_task->stopped = true;
    for (const auto &[instance, item] : m_task->links) {
        item->stop();
    }
}

} // namespace balsamhook
