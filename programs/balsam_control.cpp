#include "control/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

int run(control_settings settings)
{
    asio::io_context context(1);
    controller localController(context, std::move(settings));
    if (const auto started = localController.start(); !started) {
        logError("control", describe(started.error()));
        return 1;
    }
    const instance_settings &self = localController.core().settings.instance;
    logInfo("control", "instance " + self.instance + " listens on " + self.listenAddress);
    onStopSignal(context, [&] { asio::co_spawn(context, localController.stopGracefully(), asio::detached); });
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
    options.addDuration("freshness",
                        values.freshnessTimeout,
                        std::chrono::milliseconds(1000),
                        std::chrono::minutes(10),
                        "the front end accepts no new work when the configuration was not confirmed for this long");
    options.addDuration("stop-limit", values.stopTimeout, std::chrono::milliseconds(0), std::chrono::minutes(10), "maximum time of a planned stop");
    options.addDuration("stop-serve-time",
                        values.stopServePeriod,
                        std::chrono::milliseconds(0),
                        std::chrono::minutes(10),
                        "minimum time of a planned stop while the front end is connected; must exceed the front end's address validity");
    options.addDuration("store-timeout", values.storeTimeout, std::chrono::milliseconds(10), std::chrono::minutes(1), "timeout of one store call");
    options.addNumber("frame-connections", values.frameConnections, 1, 65536, "limit of connections from local programs and other controllers");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("balsam-control");
    return run(std::move(values));
}
