#include "base/base.h"
#include "http/http.h"
#include "standins/platform_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

using namespace balsamhook;

namespace
{

struct standin_settings
{
    std::string listenAddress = "127.0.0.1";
    std::int64_t port = 7100;
    std::chrono::milliseconds instanceLag{0};
};

int run(const standin_settings &values)
{
    boost::asio::io_context context(1);
    counters metrics;
    platform_service service(context, metrics, values.instanceLag);
    http_limits limits;
    http_server server(context, limits, metrics, [&service](http_request request) { return service.handle(std::move(request)); });
    const endpoint local{values.listenAddress, static_cast<std::uint16_t>(values.port)};
    const result<void> listening = server.listen(local);
    if (!listening) {
        logError("standin-platform", describe(listening.error()));
        return 1;
    }
    logInfo("standin-platform", "listening on " + describe(local));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    // Pending watches and delayed responses may take up to a minute, so shutdown doesn't wait for them.
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    logInfo("standin-platform", "stopped");
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    standin_settings values;
    settings options("Stand-in for the platform's object API, for tests and the demo. Objects are kept in memory.");
    options.addAddress("listen-address", values.listenAddress, "address to listen on");
    options.addNumber("port", values.port, 1, UINT16_MAX, "port to listen on");
    options.addDuration("instance-lag",
                        values.instanceLag,
                        std::chrono::milliseconds(0),
                        std::chrono::hours(1),
                        "time until a change to the list of instances becomes visible");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("standin-platform");
    return run(values);
}
