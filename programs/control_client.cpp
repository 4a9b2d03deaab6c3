#include "programs/control_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds ReconnectDelay{200};
constexpr std::chrono::milliseconds StatusInterval{500};

} // namespace

struct control_client::task : std::enable_shared_from_this<task>
{
    task(asio::io_context &ioContext, endpoint address, hello localIdentity, counters &programMetrics, callbacks handlers, frame_limits frameLimits)
        : context(ioContext)
        , controller(std::move(address))
        , identity(std::move(localIdentity))
        , metrics(programMetrics)
        , handlers(std::move(handlers))
        , limits(frameLimits)
        , reconnectTimer(ioContext)
        , statusTimer(ioContext)
    {
    }

    asio::io_context &context;
    endpoint controller;
    hello identity;
    counters &metrics;
    callbacks handlers;
    frame_limits limits;
    asio::steady_timer reconnectTimer;
    asio::steady_timer statusTimer;
    frame_connection::pointer connection;
    std::optional<control_state> latestState;
    std::string encodedState;
    entitlement latestEntitlement;
    bool stopped = false;

    static asio::awaitable<void> maintainConnection(std::shared_ptr<task> self);
    static asio::awaitable<void> reportPeriodically(std::shared_ptr<task> self);
    asio::awaitable<void> receiveMessages(frame_connection::pointer source);
    void handle(const message &received);
    void sendStatus();
};

void control_client::task::sendStatus()
{
    if (!connection || !connection->isOpen()) {
        return;
    }
    if (const auto sent = connection->send(handlers.status()); !sent) {
        metrics.add("control_status_failures_total");
    }
}

void control_client::task::handle(const message &received)
{
    if (const auto *renewed = std::get_if<entitlement>(&received)) {
        latestEntitlement = *renewed;
        return;
    }
    const auto *state = std::get_if<control_state>(&received);
    if (state == nullptr) {
        return;
    }
    // A restarted controller may send an older state; the configuration never reverts to it.
    const bool isOlder = latestState && state->configurationRevision < latestState->configurationRevision;
    std::string encoded = encodeMessage(*state);
    if (isOlder || encoded == encodedState) {
        metrics.add(isOlder ? "control_states_older_total" : "control_states_unchanged_total");
        return;
    }
    latestState = *state;
    encodedState = std::move(encoded);
    handlers.stateChanged(*latestState);
    sendStatus();
}

asio::awaitable<void> control_client::task::receiveMessages(frame_connection::pointer source)
{
    while (!stopped) {
        const auto received = co_await source->receive();
        if (!received) {
            if (!stopped) {
                logWarning("control client", describe(received.error()));
            }
            co_return;
        }
        handle(received.value());
    }
}

asio::awaitable<void> control_client::task::maintainConnection(std::shared_ptr<task> self)
{
    while (!self->stopped) {
        auto opened = co_await frame_connection::open(self->controller, self->controller.address, ConnectTimeout, self->limits);
        if (opened && !self->stopped) {
            self->connection = opened.value();
            if (self->connection->send(self->identity)) {
                self->sendStatus();
                co_await self->receiveMessages(self->connection);
            }
            self->connection->close();
        }
        self->metrics.add("control_connections_lost_total");
        boost::system::error_code cancelled;
        self->reconnectTimer.expires_after(ReconnectDelay);
        co_await self->reconnectTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> control_client::task::reportPeriodically(std::shared_ptr<task> self)
{
    while (!self->stopped) {
        boost::system::error_code cancelled;
        self->statusTimer.expires_after(StatusInterval);
        co_await self->statusTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (!self->stopped) {
            self->sendStatus();
        }
    }
}

control_client::control_client(asio::io_context &context, endpoint controller, hello identity, counters &metrics, callbacks handlers, frame_limits limits)
    : m_task(std::make_shared<task>(context, std::move(controller), std::move(identity), metrics, std::move(handlers), limits))
{
}

control_client::~control_client()
{
    stop();
}

void control_client::start()
{
    asio::co_spawn(m_task->context, task::maintainConnection(m_task), asio::detached);
    asio::co_spawn(m_task->context, task::reportPeriodically(m_task), asio::detached);
}

void control_client::stop()
{
    m_task->stopped = true;
    m_task->reconnectTimer.cancel();
    m_task->statusTimer.cancel();
    if (m_task->connection) {
        m_task->connection->close();
    }
}

void control_client::reportStatus()
{
    m_task->sendStatus();
}

bool control_client::isEntitled() const
{
    return boot_clock::now() < fromNanoseconds(m_task->latestEntitlement.entitledUntil);
}

bool control_client::mayAccept() const
{
    return boot_clock::now() < fromNanoseconds(m_task->latestEntitlement.acceptUntil);
}

const control_state *control_client::state() const
{
    return m_task->latestState ? &*m_task->latestState : nullptr;
}

} // namespace balsamhook
