#include "control/controller.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds StopCheckInterval{100};
/// Two heartbeat intervals, so that the peers receive the announcement that this instance has left.
constexpr std::chrono::milliseconds LeaveGossipPeriod{1100};

} // namespace

controller::controller(asio::io_context &context, control_settings settings, std::unique_ptr<object_store> store)
    : m_core(context, std::move(settings), std::move(store))
    , m_configuration(m_core)
    , m_membership(m_core)
    , m_programs(m_core)
    , m_operatorApi(m_core, m_configuration)
{
}

result<void> controller::start()
{
    BOOST_OUTCOME_TRY(m_membership.start());
    BOOST_OUTCOME_TRY(m_programs.start());
    BOOST_OUTCOME_TRY(m_operatorApi.start());
    m_configuration.start();
    return success();
}

control_core &controller::core()
{
    return m_core;
}

bool controller::isHandoverComplete() const
{
    const listed_member *self = m_core.node.list().find(m_core.settings.instance.instance);
    const bool isMarkedLeaving = self == nullptr || self->entry.leaving;
    const bool isServing = m_programs.isFrontConnected() && boot_clock::now() < m_serveUntil;
    return isMarkedLeaving && !isServing && m_core.node.actionableTargets().empty() && m_programs.isIdle();
}

asio::awaitable<void> controller::stopGracefully()
{
    m_core.stopping = true;
    m_serveUntil = boot_clock::now() + m_core.settings.stopServePeriod;
    m_core.node.startLeaving();
    logInfo("control", "leaving; waiting for the targets to be handed over");
    const auto limit = boot_clock::now() + m_core.settings.stopTimeout;
    asio::steady_timer timer(m_core.context);
    while (!isHandoverComplete() && boot_clock::now() < limit) {
        timer.expires_after(StopCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (isHandoverComplete()) {
        m_core.node.finishLeaving();
        timer.expires_after(LeaveGossipPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        logInfo("control", "stopped");
    } else {
        logWarning("control", "stop timeout reached before the handover was complete");
    }
    m_core.context.stop();
}

} // namespace balsamhook
