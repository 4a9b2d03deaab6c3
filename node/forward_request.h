#pragma once

#include "node/caller_request.h"

#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// A request to one target of one service. A request that may be repeated is sent to a second target when the first fails or is late; one that may not is
/// sent again only when the target certainly did not run it. Not thread-safe.
class forward_request : public std::enable_shared_from_this<forward_request>
{
public:
    /// Precondition: the route forwards; pool, context and statistics outlive the request.
    forward_request(node_context &context, target_pool &pool, route_statistics &statistics, arrived_request request, answer_handler answer);

    void start();

    /// The caller has left: what may be cancelled is cancelled.
    void cancel();

private:
    using clock = std::chrono::steady_clock;

    bool mayRepeat() const;
    void chooseService();
    void trySend(bool isHedge, clock::time_point now);
    void waitForReplica(const replica_decision &decision, clock::time_point now);
    void send(const target_link_ptr &link, bool isHedge, clock::time_point now);
    void onAttempt(const target_attempt_ptr &attempt, attempt_result result);
    void onFailedAttempt(const target_attempt_ptr &attempt, attempt_result result, clock::time_point now);
    bool maySendAgain(const attempt_result &result) const;
    void onTimer();
    void schedule(clock::time_point now);
    void pass(request_outcome outcome, const http_message &response);
    void giveUp(clock::time_point now);
    void finish(request_outcome outcome, const caller_response &response);
    void logRefusal(clock::time_point now);
    void logDecision(const char *event, const std::string &target, std::string_view why);

    node_context &m_context;
    target_pool &m_pool;
    route_statistics &m_statistics;
    arrived_request m_request;
    answer_handler m_answer;
    std::string m_service;
    std::vector<target_attempt_ptr> m_attempts; ///< Under way.
    asked_targets m_asked;
    std::unique_ptr<http_message> m_failure; ///< A target's own failure, passed on when nothing better comes.
    unsigned m_sends = 0; ///< Targets that may have run it.
    no_replica m_lastReason = no_replica::None;
    bool m_wasOffered = false;
    bool m_wasHedged = false;
    bool m_mayHaveRun = false;
    bool m_isOver = false;
    clock::time_point m_waitUntil{}; ///< How long it may wait for a replica.
    clock::time_point m_hedgeAt = clock::time_point::max();
    clock::time_point m_retryAt = clock::time_point::max();
    timer_queue::handle m_timer = 0;
};

} // namespace balsamhook
