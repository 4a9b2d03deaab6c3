#pragma once

#include "node/caller_request.h"
#include "node/record_merge.h"

#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// A query to all shards of a route: asks one replica of each shard, a second one where the first is late or fails, and answers with the merged parts.
/// Not thread-safe.
class gather_request : public std::enable_shared_from_this<gather_request>
{
public:
    /// Precondition: the route gathers; pool, context and statistics outlive the request.
    gather_request(node_context &context, target_pool &pool, route_statistics &statistics, arrived_request request, answer_handler answer);

    void start();

    /// The caller has left: everything under way is cancelled.
    void cancel();

private:
    using clock = std::chrono::steady_clock;

    struct shard_state
    {
        const std::string *service = nullptr;
        std::vector<target_attempt_ptr> attempts; ///< Under way.
        asked_targets asked;
        unsigned sends = 0; ///< Targets that may have run it.
        no_replica lastReason = no_replica::None; ///< Why no replica was found; valid while none is under way.
        bool wasOffered = false; ///< The first send has gone out, so each further one is extra load.
        bool wasHedged = false;
        bool isDone = false;
        bool isExhausted = false; ///< Brings no part any more.
        bool isHeld = false; ///< Its second send waits until another shard shows that targets survive the request.
        clock::time_point hedgeAt = clock::time_point::max();
        clock::time_point retryAt = clock::time_point::max(); ///< When to look for a replica again.
    };

    const gather_destination &gather() const;
    bool isReachable() const;
    std::chrono::milliseconds retryAfter(clock::time_point now) const;
    void trySend(std::size_t index, bool isHedge, clock::time_point now);
    bool isHopeless(const replica_decision &decision, bool isHedge, clock::time_point now) const;
    void send(std::size_t index, const target_link_ptr &link, bool isHedge, clock::time_point now);
    void onAttempt(std::size_t index, const target_attempt_ptr &attempt, attempt_result result);
    void takePart(shard_state &shard, const attempt_result &result);
    void sendAgain(std::size_t index, const attempt_result &result, clock::time_point now);
    void noteLoss(const shard_state &shard);
    bool isAnyUnderWay() const;
    void reviewHeld(clock::time_point now);
    void release(std::size_t index, clock::time_point now);
    void onTimer();
    void runDue(clock::time_point now);
    void decide(clock::time_point now);
    void schedule();
    gather_progress progress() const;
    void answerWithParts();
    void answerFailure(clock::time_point now);
    void end(bool callerLeft);
    static void abandonAttempts(shard_state &shard, bool callerLeft);
    void finish(request_outcome outcome, const caller_response &response);
    void logMissing();
    void logDecision(const char *event, const shard_state &shard, const std::string &target, const char *why);

    node_context &m_context;
    target_pool &m_pool;
    route_statistics &m_statistics;
    arrived_request m_request;
    answer_handler m_answer;
    std::vector<shard_state> m_shards;
    std::vector<std::string> m_signatures;
    record_merge m_records;
    timer_queue::handle m_timer = 0;
    clock::time_point m_timerDue = clock::time_point::max();
    std::size_t m_losses = 0; ///< Sends that ended without an answer.
    std::size_t m_repeatedLosses = 0; ///< Those that were not the first of their shard.
    std::size_t m_skipped = 0; ///< Shards that were not asked because they would be late.
    bool m_mayHaveRun = false;
    bool m_isOver = false;
};

} // namespace balsamhook
