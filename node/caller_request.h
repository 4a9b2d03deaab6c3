#pragma once

#include "catalogue/catalogue.h"
#include "http/http.h"
#include "node/node_context.h"
#include "node/outgoing_request.h"
#include "node/target_pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace balsamhook
{

/// Outcome of a caller's request; written to the log and to the metrics.
enum class request_outcome : std::uint8_t {
    Complete,
    Partial,
    TargetFailure, ///< The failure response of a target was forwarded.
    NotRunUnavailable, ///< Refused: no target is available.
    NotRunFull, ///< Refused: all targets are at their limit of requests in flight.
    NotRunLimited, ///< Refused: the request limits that the targets have named are used up.
    NotRunCoverage, ///< Refused: too few shards are reachable.
    NotRunOverload, ///< Refused: the targets are overloaded and the limit of concurrent queries is reached.
    Lost, ///< A target may have run the request, but sent no usable response.
    TimedOut,
    CallerLeft,
};

std::string_view nameOf(request_outcome outcome);

/// A caller's request with its route, configuration and deadlines, as determined at its arrival.
struct incoming_request
{
    std::shared_ptr<const outgoing_request> outgoing;
    std::shared_ptr<const routing_configuration> configuration; ///< In effect at arrival; the whole request is run with it.
    const route *matched = nullptr; ///< Owned by the configuration.
    std::chrono::steady_clock::time_point arrivedAt;
    std::chrono::steady_clock::time_point deadline; ///< The earlier of the caller's and the route's timeout; targets are sent the time left until then.
    std::chrono::steady_clock::time_point responseDeadline; ///< Latest time at which the response is sent.
    std::chrono::steady_clock::time_point objectiveDeadline; ///< A response sent by then reaches the caller within the latency objective.
    bool omitsBody = false; ///< True for HEAD.
};

/// Receives the outcome and the response to send to the caller; called at most once.
using response_handler = std::function<void(request_outcome, caller_response)>;

/// Interval at which a request checks again for a replica while all are full or backed off.
constexpr std::chrono::milliseconds ReplicaPollInterval{6};
/// Sends allowed beyond the maximum number of attempts after refusals: a refused request has not run.
constexpr std::size_t MaxNotRunRetries = 2;
/// Fraction of the retry budget that is reserved for retries of failed sends and not available to hedges.
constexpr double HedgeReserve = 0.25;

/// Statistics of the requests of one route.
struct route_statistics
{
    latency_window latency; ///< Of successful responses of single targets.
    unqueued_latency unqueued;
    std::chrono::milliseconds objective{0}; ///< Latency objective of the route.
    latency_baseline baseline{};
    std::uint64_t responses = 0; ///< Successful responses of single targets.
    std::uint64_t responsesEvaluated = 0; ///< Value of responses when the baseline was last updated.
    bool isGather = false;
    std::chrono::milliseconds maxCallerTimeout{0}; ///< Longest so far; a caller's retry arrives with what is left of it.

    /// Records the successful response of a target.
    void onResponse(std::chrono::microseconds duration)
    {
        latency.add(duration);
        ++responses;
    }

    latency_profile profile() const
    {
        return unqueued.profile(latency, objective);
    }
};

/// Returns a 503 response with Retry-After. Precondition: no target has run or will run the request.
caller_response refusalResponse(std::string_view reason, std::chrono::milliseconds retryAfter);

/// Returns a plain-text response that this instance generates itself.
caller_response localResponse(unsigned status, std::string_view reason);

} // namespace balsamhook
