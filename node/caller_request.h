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

/// Why a request ended as it did; written to the log and counted.
enum class request_outcome : std::uint8_t {
    Complete,
    Partial,
    TargetFailure, ///< A target's failure was passed on.
    NotRunUnavailable, ///< Refused: no target can be used now.
    NotRunFull, ///< Refused: all targets have as much work as they may get.
    NotRunCoverage, ///< Refused: too few shards can be reached.
    NotRunOverload, ///< Refused: the targets have more queries than they can answer in time.
    Lost, ///< A target got the request and brought no usable answer.
    TimedOut,
    CallerLeft,
};

std::string_view nameOf(request_outcome outcome);

/// A caller's request with what is known at its arrival.
struct arrived_request
{
    std::shared_ptr<const outgoing_request> outgoing;
    std::shared_ptr<const routing_configuration> configuration; ///< In force at arrival; used to the end.
    const route *matched = nullptr; ///< Belongs to the configuration.
    std::chrono::steady_clock::time_point arrivedAt;
    std::chrono::steady_clock::time_point deadline; ///< When the caller or the route gives up; targets stop then.
    std::chrono::steady_clock::time_point finalAt; ///< An answer is sent by then at the latest.
    std::chrono::steady_clock::time_point objectiveAt; ///< An answer sent by then reaches the caller within the objective.
    bool omitsBody = false; ///< HEAD.
};

/// Sends the final answer to the caller.
using answer_handler = std::function<void(request_outcome, const caller_response &)>;

/// A request whose targets are all full or left alone looks again after this long.
constexpr std::chrono::milliseconds LookAgain{6};
/// Sends beyond the allowed number of targets after refusals: a refused request has not run.
constexpr std::size_t NotRunRepeats = 2;
/// Part of the retry budget that hedges leave to retries of failed sends.
constexpr double HedgeSpare = 0.25;

/// What the requests of one route share.
struct route_statistics
{
    latency_window latency; ///< Of answers of single targets.
    latency_baseline baseline;
    std::uint64_t answers = 0; ///< Of targets.
    std::uint64_t answersReviewed = 0;
    std::chrono::milliseconds objective{0};
    std::chrono::milliseconds longestDeadline{0}; ///< Callers ask again with what is left of it.
};

/// Returns a refusal: the request has not run and will not run.
caller_response refusal(std::string_view reason, std::chrono::milliseconds retryAfter);

/// Returns an answer of this instance itself.
caller_response ownResponse(unsigned status, std::string_view reason);

} // namespace balsamhook
