#include "node/node.h"

#include <iostream>

int main(int argumentCount, char **arguments)
{
    using namespace balsamhook;
    std::int64_t metricsPort = 0;
    settings options("balsamhook: one instance of the query tier. Its addresses and limits come from the platform's settings file (BALSAMHOOK_BOOT).");
    constexpr std::int64_t MaxPort = 65535;
    options.addNumber("metrics-port", metricsPort, 0, MaxPort, "port for GET /metrics in addition to the internal address; 0: none");
    if (const auto exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    const auto platformSettings = readPlatformSettings();
    if (!platformSettings) {
        std::cerr << "balsamhook: " << describe(platformSettings.error()) << "\n";
        return 1;
    }
    query_node node(platformSettings.value(), node_options{static_cast<std::uint16_t>(metricsPort)});
    return node.run();
}
