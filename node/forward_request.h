#pragma once

#include "node/caller_request.h"

#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// Runs a request on one target of one service. An idempotent request is retried on another target when the first one fails, and hedged when its response is
/// late; any other request is retried only when the target certainly did not run it. Not thread-safe.
class forward_request : public std::enable_shared_from_this<forward_request>
{
public:
    /// Precondition: the route has a forward_destination; pool, context and statistics outlive the request.
    forward_request(node_context &context, target_pool &pool, route_statistics &statistics, incoming_request request, response_handler responseHandler);

    void start();

    /// To be called when the caller has disconnected. Cancels the attempts of an idempotent request; others run to their end. The response handler isn't
    /// called.
    void cancel();

    /// Ends the request at once, because the process is about to exit: responds that it timed out, or that it did not run if no target can have run it.
    void expire();

private:
    using clock = std::chrono::steady_clock;

    bool isIdempotent() const;
    void chooseService();
    void trySend(bool isHedge, clock::time_point now);
    void waitForReplica(const replica_decision &decision, clock::time_point now);
    void send(const target_link_ptr &link, bool isHedge, clock::time_point now);
    void onAttemptEnded(const target_attempt_ptr &attempt, attempt_result result);
    void onAttemptFailed(const target_attempt_ptr &attempt, attempt_result result, clock::time_point now);
    bool mayRetry(const attempt_result &result) const;
    void onTimer();
    void schedule(clock::time_point now);
    void forwardResponse(request_outcome outcome, http_message message);
    void respondWithFailure(clock::time_point now);
    void finish(request_outcome outcome, caller_response response);
    void logRefusal(clock::time_point now);
    void logDecision(const char *event, const std::string &target, std::string_view why);

    node_context &m_context;
    target_pool &m_pool;
    route_statistics &m_statistics;
    incoming_request m_request;
    response_handler m_responseHandler;
    std::string m_service;
    std::vector<target_attempt_ptr> m_attempts; ///< In flight.
    attempted_targets m_attempted;
    std::unique_ptr<http_message> m_failure; ///< Failure response of a target; forwarded when no attempt succeeds.
    unsigned m_sends = 0; ///< Attempts in flight, and ended ones that may have run.
    no_replica m_lastReason = no_replica::NoneLeft;
    full_reason m_lastFullReason = full_reason::InFlight; ///< Valid when m_lastReason is AllFull.
    bool m_hasSent = false; ///< The first send was made, so each further one is an extra send.
    bool m_wasHedged = false;
    bool m_mayHaveRun = false;
    bool m_isOver = false;
    clock::time_point m_replicaWaitUntil{}; ///< End of the wait for a replica.
    clock::time_point m_hedgeAt = clock::time_point::max();
    clock::time_point m_retryAt = clock::time_point::max();
    timer_queue::handle m_timer = 0;
};

} // namespace balsamhook
