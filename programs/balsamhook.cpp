#include "node/node.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace
{

/// The settings file may be missing or incomplete for a moment, while the platform writes it.
constexpr std::chrono::seconds SettingsTimeout{3};
constexpr std::chrono::milliseconds SettingsRetryInterval{100};

/// Reads the settings file until it is valid or the timeout has passed. Writes each different error to standard error once.
std::optional<balsamhook::platform_settings> waitForSettings()
{
    using namespace balsamhook;
    const auto end = std::chrono::steady_clock::now() + SettingsTimeout;
    std::string reported;
    while (true) {
        const auto read = readPlatformSettings();
        if (read) {
            return read.value();
        }
        const std::string problem = describe(read.error());
        if (problem != reported) {
            std::cerr << "balsamhook: " << problem << "\n";
            reported = problem;
        }
        if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(SettingsRetryInterval);
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    using namespace balsamhook;
    // Their default actions end the process: a reload may be asked for before the handler is in place, and the reader of the log may end first.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    std::int64_t metricsPort = 0;
    settings options("balsamhook: one instance of the query tier. Its addresses and limits come from the platform's settings file (BALSAMHOOK_BOOT).");
    constexpr std::int64_t MaxPort = 65535;
    options.addNumber("metrics-port", metricsPort, 0, MaxPort, "port for GET /metrics in addition to the internal address; 0: none");
    if (const auto exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    const auto platformSettings = waitForSettings();
    if (!platformSettings) {
        return 1;
    }
    query_node node(*platformSettings, node_options{static_cast<std::uint16_t>(metricsPort)});
    return node.run();
}
