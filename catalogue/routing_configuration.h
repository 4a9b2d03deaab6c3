#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamhook
{

/// Whether a request may run more than once.
enum class repeat_rule : std::uint8_t {
    Idempotent,
    NonIdempotent,
};

struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// Each request goes to one target of one service, which is selected by weight.
struct forward_destination
{
    std::vector<weighted_service> services; ///< At least one.
};

/// Each request goes to one target of each shard; the parts are merged into one response.
struct gather_destination
{
    std::vector<std::string> shards; ///< Services, at least one.
    std::size_t recordCount = 0; ///< Maximum number of records in the response; the greatest are kept.
    double minimumCoverage = 0; ///< Minimum share of shards in a successful response, 0 to 1.
};

using route_destination = std::variant<forward_destination, gather_destination>;

struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    repeat_rule repeat = repeat_rule::NonIdempotent;
    std::chrono::milliseconds timeout{0}; ///< Limit for the time that a caller waits for the response.
    std::chrono::milliseconds objective{0}; ///< Latency objective: callers want the response within this time.
    unsigned maxAttempts = 1; ///< Limit of targets that one request is sent to; for a query, for each shard.
    unsigned priority = 0; ///< 0 is the most urgent.
    route_destination destination;
};

struct service_settings
{
    std::string healthPath;
    unsigned maxConnections = 0; ///< Connection limit of each target for all instances together; 0: unknown.
    double warmupRequestsPerSecond = 0; ///< Limit of requests to a cold target for all instances together; 0: none.
};

/// Limits for the size and the timing of callers' requests.
struct caller_limits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{30000};
};

/// One version of the configuration. Immutable once published: a request uses the same version from start to end.
class routing_configuration
{
public:
    /// Precondition: version is greater than 0.
    routing_configuration(std::uint64_t version, std::vector<route> routes, std::unordered_map<std::string, service_settings> services, caller_limits limits);

    std::uint64_t version() const;
    const std::vector<route> &routes() const;
    const caller_limits &limits() const;

    /// Returns the host's route with the longest prefix of the path; nullptr when none matches. Ignores the case of
    /// the host and a port in it. Thread-safe.
    const route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the settings of a service; nullptr when the configuration does not contain it. Thread-safe.
    const service_settings *findService(const std::string &name) const;

    /// Lowest connection limit over all services; 0 when no service sets one.
    unsigned minConnectionLimit() const;

private:
    std::uint64_t m_version;
    std::vector<route> m_routes;
    std::unordered_map<std::string, service_settings> m_services;
    caller_limits m_limits;
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost; ///< Longest prefix first.
};

} // namespace balsamhook
