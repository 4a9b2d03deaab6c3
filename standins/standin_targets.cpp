#include "standins/standins.h"

#include <boost/asio/signal_set.hpp>

using namespace balsamhook;

namespace
{

int run(const std::string &siteFile, const endpoint &admin)
{
    result<site_description> site = readSite(siteFile);
    if (!site) {
        logError("standin", describe(site.error()));
        return 2;
    }
    boost::asio::io_context context;
    counters metrics;
    target_process targets(context, std::move(site.value()), metrics);
    const result<void> started = targets.start(admin);
    if (!started) {
        logError("standin", describe(started.error()));
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        targets.stop();
        context.stop();
    });
    logInfo("standin", "all targets started; admin interface on " + describe(admin));
    context.run();
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    startLogging("standin-targets");
    std::string siteFile;
    endpoint admin{"127.0.0.1", 9999};
    settings options("Stand-in for the targets of a site.");
    options.addText("site-file", siteFile, "site description (JSON)", true);
    options.addEndpoint("admin", admin, "address of the admin interface");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    return run(siteFile, admin);
}
