#include "control/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

int run(control_settings values)
{
    asio::io_context context(1);
    controller running(context, std::move(values));
    if (const auto started = running.start(); !started) {
        logError("control", describe(started.error()));
        return 1;
    }
    const instance_settings &self = running.core().values.instance;
    logInfo("control", "instance " + self.instance + " listens on " + self.listenAddress);
    onStopSignal(context, [&] { asio::co_spawn(context, running.stopPlanned(), asio::detached); });
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
    options.addDuration("stop-serve-time",
                        values.stopServeTime,
                        std::chrono::milliseconds(0),
                        std::chrono::minutes(10),
                        "shortest planned stop while the front end is connected; above its address validity");
    options.addDuration("store-timeout", values.storeTimeout, std::chrono::milliseconds(10), std::chrono::minutes(1), "time limit of one store call");
    options.addNumber("frame-connections", values.frameConnections, 1, 65536, "connections from local programs and other controllers");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("balsam-control");
    return run(std::move(values));
}
