#include "control/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds StopCheckPeriod{100};
/// Two heartbeats, so that the others learn that this instance has left.
constexpr std::chrono::milliseconds FarewellTime{1100};

/// The tasks of one controller.
struct controller
{
    controller(asio::io_context &context, control_settings values)
        : core(context, std::move(values))
        , configuration(core)
        , membership(core)
        , programs(core)
        , operators(core, configuration)
    {
    }

    result<void> start()
    {
        BOOST_OUTCOME_TRY(membership.start());
        BOOST_OUTCOME_TRY(programs.start());
        BOOST_OUTCOME_TRY(operators.start());
        configuration.start();
        return success();
    }

    /// True when the targets have successors and nothing is in flight.
    bool hasHandedOver() const
    {
        const listed_member *self = core.node.list().find(core.values.instance.instance);
        const bool isMarked = self == nullptr || self->entry.leaving;
        return isMarked && core.node.actionable().empty() && programs.areIdle();
    }

    control_core core;
    configuration_task configuration;
    membership_task membership;
    local_programs programs;
    operator_api operators;
};

asio::awaitable<void> stopPlanned(controller &running)
{
    running.core.stopping = true;
    running.core.node.startLeaving();
    logInfo("control", "leaving; waiting for the targets to be handed over");
    const auto limit = boot_clock::now() + running.core.values.stopLimit;
    asio::steady_timer timer(running.core.context);
    while (!running.hasHandedOver() && boot_clock::now() < limit) {
        timer.expires_after(StopCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (running.hasHandedOver()) {
        running.core.node.finishLeaving();
        timer.expires_after(FarewellTime);
        co_await timer.async_wait(asio::use_awaitable);
        logInfo("control", "stopped");
    } else {
        logWarning("control", "stopped before everything was handed over");
    }
    running.core.context.stop();
}

int run(control_settings values)
{
    asio::io_context context(1);
    controller running(context, std::move(values));
    if (const auto started = running.start(); !started) {
        logError("control", describe(started.error()));
        return 1;
    }
    logInfo("control", "instance " + running.core.values.instance.instance + " listens on " + running.core.values.instance.listenAddress);
    onStopSignal(context, [&] { asio::co_spawn(context, stopPlanned(running), asio::detached); });
    context.run();
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    control_settings values;
    settings options("Controller of one instance: membership, configuration, plans and the operators' API.");
    addInstanceSettings(options, values.instance);
    options.addEndpoint("platform", values.platform, "IP:port of the platform's object API", true);
    options.addDuration(
        "freshness", values.freshness, std::chrono::milliseconds(1000), std::chrono::minutes(10), "time after which an unconfirmed configuration is stale");
    options.addDuration("stop-limit", values.stopLimit, std::chrono::milliseconds(0), std::chrono::minutes(10), "longest time of a planned stop");
    options.addDuration("store-timeout", values.storeTimeout, std::chrono::milliseconds(10), std::chrono::minutes(1), "time limit of one store call");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("balsam-control");
    return run(std::move(values));
}
