#include "control/controller.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds StopCheckPeriod{100};
/// Two heartbeats, so that the others learn that this instance has left.
constexpr std::chrono::milliseconds FarewellTime{1100};

} // namespace

controller::controller(asio::io_context &context, control_settings values, std::unique_ptr<object_store> store)
    : m_core(context, std::move(values), std::move(store))
    , m_configuration(m_core)
    , m_membership(m_core)
    , m_programs(m_core)
    , m_operators(m_core, m_configuration)
{
}

result<void> controller::start()
{
    BOOST_OUTCOME_TRY(m_membership.start());
    BOOST_OUTCOME_TRY(m_programs.start());
    BOOST_OUTCOME_TRY(m_operators.start());
    m_configuration.start();
    return success();
}

control_core &controller::core()
{
    return m_core;
}

bool controller::hasHandedOver() const
{
    const listed_member *self = m_core.node.list().find(m_core.values.instance.instance);
    const bool isMarked = self == nullptr || self->entry.leaving;
    const bool isServing = m_programs.hasFront() && boot_clock::now() < m_servesUntil;
    return isMarked && !isServing && m_core.node.actionableTargets().empty() && m_programs.areIdle();
}

asio::awaitable<void> controller::stopPlanned()
{
    m_core.stopping = true;
    m_servesUntil = boot_clock::now() + m_core.values.stopServeTime;
    m_core.node.startLeaving();
    logInfo("control", "leaving; waiting for the targets to be handed over");
    const auto limit = boot_clock::now() + m_core.values.stopLimit;
    asio::steady_timer timer(m_core.context);
    while (!hasHandedOver() && boot_clock::now() < limit) {
        timer.expires_after(StopCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (hasHandedOver()) {
        m_core.node.finishLeaving();
        timer.expires_after(FarewellTime);
        co_await timer.async_wait(asio::use_awaitable);
        logInfo("control", "stopped");
    } else {
        logWarning("control", "stopped before everything was handed over");
    }
    m_core.context.stop();
}

} // namespace balsamhook
