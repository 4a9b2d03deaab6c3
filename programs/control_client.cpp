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
constexpr std::chrono::milliseconds ReconnectPause{200};
constexpr std::chrono::milliseconds StatusPeriod{500};

} // namespace

struct control_client::task : std::enable_shared_from_this<task>
{
    task(asio::io_context &ioContext, endpoint address, hello ownIdentity, counters &programCounters, callbacks notify, frame_limits frameLimits)
        : context(ioContext)
        , controller(std::move(address))
        , identity(std::move(ownIdentity))
        , numbers(programCounters)
        , callback(std::move(notify))
        , limits(frameLimits)
        , timer(ioContext)
        , statusTimer(ioContext)
    {
    }

    asio::io_context &context;
    endpoint controller;
    hello identity;
    counters &numbers;
    callbacks callback;
    frame_limits limits;
    asio::steady_timer timer;
    asio::steady_timer statusTimer;
    frame_connection::pointer connection;
    std::optional<control_state> latest;
    std::string latestEncoded;
    entitlement allowed;
    bool stopped = false;

    static asio::awaitable<void> stayConnected(std::shared_ptr<task> self);
    static asio::awaitable<void> reportPeriodically(std::shared_ptr<task> self);
    asio::awaitable<void> receiveAll(frame_connection::pointer from);
    void accept(const message &received);
    void sendStatus();
};

void control_client::task::sendStatus()
{
    if (!connection || !connection->isOpen()) {
        return;
    }
    if (const auto sent = connection->send(callback.status()); !sent) {
        numbers.add("control_status_failures_total");
    }
}

void control_client::task::accept(const message &received)
{
    if (const auto *renewed = std::get_if<entitlement>(&received)) {
        allowed = *renewed;
        return;
    }
    const auto *state = std::get_if<control_state>(&received);
    if (state == nullptr) {
        return;
    }
    // A restarted controller sends a state that may be older than the one in use; configuration never reverts.
    const bool isOlder = latest && state->configurationRevision < latest->configurationRevision;
    std::string encoded = encodeMessage(*state);
    if (isOlder || encoded == latestEncoded) {
        numbers.add(isOlder ? "control_states_older_total" : "control_states_unchanged_total");
        return;
    }
    latest = *state;
    latestEncoded = std::move(encoded);
    callback.stateChanged(*latest);
    sendStatus();
}

asio::awaitable<void> control_client::task::receiveAll(frame_connection::pointer from)
{
    while (!stopped) {
        const auto received = co_await from->receive();
        if (!received) {
            if (!stopped) {
                logWarning("control client", describe(received.error()));
            }
            co_return;
        }
        accept(received.value());
    }
}

asio::awaitable<void> control_client::task::stayConnected(std::shared_ptr<task> self)
{
    while (!self->stopped) {
        auto opened = co_await frame_connection::open(self->controller, self->controller.address, ConnectTimeout, self->limits);
        if (opened && !self->stopped) {
            self->connection = opened.value();
            if (self->connection->send(self->identity)) {
                self->sendStatus();
                co_await self->receiveAll(self->connection);
            }
            self->connection->close();
        }
        self->numbers.add("control_connections_lost_total");
        boost::system::error_code cancelled;
        self->timer.expires_after(ReconnectPause);
        co_await self->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> control_client::task::reportPeriodically(std::shared_ptr<task> self)
{
    while (!self->stopped) {
        boost::system::error_code cancelled;
        self->statusTimer.expires_after(StatusPeriod);
        co_await self->statusTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (!self->stopped) {
            self->sendStatus();
        }
    }
}

control_client::control_client(asio::io_context &context, endpoint controller, hello identity, counters &numbers, callbacks notify, frame_limits limits)
    : m_task(std::make_shared<task>(context, std::move(controller), std::move(identity), numbers, std::move(notify), limits))
{
}

control_client::~control_client()
{
    stop();
}

void control_client::start()
{
    asio::co_spawn(m_task->context, task::stayConnected(m_task), asio::detached);
    asio::co_spawn(m_task->context, task::reportPeriodically(m_task), asio::detached);
}

void control_client::stop()
{
    m_task->stopped = true;
    m_task->timer.cancel();
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
    return boot_clock::now() < fromNanoseconds(m_task->allowed.entitledUntil);
}

bool control_client::mayAccept() const
{
    return boot_clock::now() < fromNanoseconds(m_task->allowed.acceptUntil);
}

const control_state *control_client::state() const
{
    return m_task->latest ? &*m_task->latest : nullptr;
}

} // namespace balsamhook
