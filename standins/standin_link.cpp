#include "standins/link_relay.h"

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <sstream>

using namespace balsamhook;

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

int run(const std::string &file, const endpoint &admin)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    result<link_rules> rules = link_rules::parse(text.str());
    if (!stream || !rules) {
        logError("link", stream ? describe(rules.error()) : "settings file " + file + " can't be read");
        return ExitUsage;
    }
    boost::asio::io_context context;
    counters metrics;
    link_relay relay(context, std::move(rules.value()), metrics);
    const result<void> started = relay.start(admin);
    if (!started) {
        logError("link", describe(started.error()));
        return ExitFailure;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        relay.stop();
        context.stop();
    });
    logInfo("link", "relay started; admin interface on " + describe(admin));
    context.run();
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    startLogging("standin-link");
    std::string file;
    endpoint admin{"127.0.0.1", 9998};
    settings options("Stand-in for the network between data centres: relays TCP and UDP with configurable delays and faults.");
    options.addText("link-file", file, "addresses, ports and delays (JSON)", true);
    options.addEndpoint("admin", admin, "address of the admin interface");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    return run(file, admin);
}
