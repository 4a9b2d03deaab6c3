#pragma once

/// Public header of the program library: settings, admin paths and control connection that the programs of one instance share.

#include "base/base.h"
#include "http/http.h"
#include "programs/control_client.h"
#include "wire/wire.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace balsamhook
{

/// Identity and addresses of an instance; the same flags for each of its programs.
struct instance_settings
{
    std::string instance;
    std::string dataCentre;
    std::string listenAddress; ///< Also the local address of outgoing connections.
    std::string advertiseAddress; ///< Address under which other instances and callers reach this one; the listen address when empty.
    std::int64_t frontPort = 8080;
    std::int64_t dispatchPort = 7001;
    std::int64_t dispatchHttpPort = 7081;
    std::int64_t controlPort = 7002;
    std::int64_t gossipPort = 7003;
    std::int64_t operatorPort = 7080;
    std::int64_t frameBytes = DefaultFrameLimitBytes;
    std::int64_t sendQueueBytes = 16 * 1024 * 1024;
    std::int64_t adminConnections = 256;

    /// The listen address with one of the ports.
    endpoint listenEndpoint(std::int64_t port) const;

    /// Limits of frame connections.
    frame_limits frameLimits() const;

    /// Limits of the HTTP servers for operators and metrics.
    http_limits adminLimits() const;

    /// The entry of this instance in the member list.
    member_entry memberEntry() const;
};

/// Adds --instance, --data-centre, --listen-address, --advertise-address, the ports and the limits that all programs have. Precondition: values outlives the
/// parsing.
void addInstanceSettings(settings &options, instance_settings &values);

/// Response to GET /metrics, /healthz and /v1/spans?trace=ID; no value for other requests. Health is 200 when ready, else 503.
std::optional<http_response> adminResponse(const http_request &request, const counters &metrics, const span_store &spans, bool ready);

/// Calls stop on the first SIGTERM or SIGINT; a second signal ends the process immediately. Precondition: called once per process.
void onStopSignal(boost::asio::io_context &context, std::function<void()> stop);

} // namespace balsamhook
