#include "programs/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>

namespace balsamhook
{

namespace
{

constexpr std::int64_t MinPort = 1;
constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MinFrameBytes = 64 * 1024;
constexpr std::int64_t MaxFrameBytes = 256 * 1024 * 1024;

std::string advertisedEndpoint(const instance_settings &values, std::int64_t port)
{
    const std::string &address = values.advertiseAddress.empty() ? values.listenAddress : values.advertiseAddress;
    return describe(endpoint{address, static_cast<std::uint16_t>(port)});
}

} // namespace

endpoint instance_settings::listenEndpoint(std::int64_t port) const
{
    return {listenAddress, static_cast<std::uint16_t>(port)};
}

frame_limits instance_settings::frameLimits() const
{
    frame_limits limits;
    limits.frameBytes = static_cast<std::size_t>(frameBytes);
    limits.sendQueueBytes = static_cast<std::size_t>(sendQueueBytes);
    return limits;
}

http_limits instance_settings::adminLimits() const
{
    http_limits limits;
    limits.connections = static_cast<std::size_t>(adminConnections);
    return limits;
}

member_entry instance_settings::memberEntry() const
{
    member_entry entry;
    entry.instance = instance;
    entry.dataCentre = dataCentre;
    entry.frontEndpoint = advertisedEndpoint(*this, frontPort);
    entry.dispatchEndpoint = advertisedEndpoint(*this, dispatchPort);
    entry.controlEndpoint = advertisedEndpoint(*this, controlPort);
    entry.gossipEndpoint = advertisedEndpoint(*this, gossipPort);
    entry.operatorEndpoint = advertisedEndpoint(*this, operatorPort);
    return entry;
}

void addInstanceSettings(settings &options, instance_settings &values)
{
    options.addText("instance", values.instance, "name of this instance, unique in the fleet", true);
    options.addText("data-centre", values.dataCentre, "data centre of this instance", true);
    options.addAddress("listen-address", values.listenAddress, "address to listen on and to send from", true);
    options.addAddress(
        "advertise-address", values.advertiseAddress, "address under which other instances and callers reach this one (default: the listen address)");
    options.addNumber("front-port", values.frontPort, MinPort, MaxPort, "callers' HTTP port");
    options.addNumber("dispatch-port", values.dispatchPort, MinPort, MaxPort, "port for frames from front ends");
    options.addNumber("dispatch-http-port", values.dispatchHttpPort, MinPort, MaxPort, "dispatcher's HTTP port for metrics and spans");
    options.addNumber("control-port", values.controlPort, MinPort, MaxPort, "port for frames to the controller");
    options.addNumber("gossip-port", values.gossipPort, MinPort, MaxPort, "UDP port for gossip between controllers");
    options.addNumber("operator-port", values.operatorPort, MinPort, MaxPort, "operators' HTTP port");
    options.addNumber("frame-bytes", values.frameBytes, MinFrameBytes, MaxFrameBytes, "maximum size of a message between processes of balsamhook in bytes");
    options.addNumber(
        "send-queue-bytes", values.sendQueueBytes, MinFrameBytes, MaxFrameBytes, "limit of unsent bytes of one connection between processes of balsamhook");
    options.addNumber("admin-connections", values.adminConnections, 1, 65536, "limit of HTTP connections of operators and for metrics");
}

std::optional<http_response> adminResponse(const http_request &request, const counters &metrics, const span_store &spans, bool ready)
{
    if (request.method != "GET") {
        return std::nullopt;
    }
    if (request.path == "/metrics") {
        return textResponse(200, metrics.text());
    }
    if (request.path == "/healthz") {
        return textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    if (request.path == "/v1/spans") {
        const std::string_view trace = request.parameter("trace");
        return trace.empty() ? errorResponse(400, "parameter is missing", "trace") : jsonResponse(200, spans.json(trace));
    }
    return std::nullopt;
}

void onStopSignal(boost::asio::io_context &context, std::function<void()> stop)
{
    auto signals = std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait([signals, stop = std::move(stop)](boost::system::error_code failed, int) {
        if (failed) {
            return;
        }
        // A planned stop may take long; a second signal ends the process immediately.
        signals->async_wait([signals](boost::system::error_code failedAgain, int) {
            if (!failedAgain) {
                std::_Exit(EXIT_FAILURE);
            }
        });
        stop();
    });
}

} // namespace balsamhook
