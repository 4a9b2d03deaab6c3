#pragma once

#include "node/caller_request.h"
#include "node/record_merge.h"

#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// Runs a query: sends a sub-query to one replica of each shard, hedges or retries it on another replica, and responds with the merged parts.
/// Not thread-safe.
class gather_request : public std::enable_shared_from_this<gather_request>
{
public:
    /// Precondition: the route has a gather_destination; pool, context and statistics outlive the request.
    gather_request(node_context &context, target_pool &pool, route_statistics &statistics, incoming_request request, response_handler responseHandler);

    void start();

    /// To be called when the caller has disconnected. Cancels all attempts in flight; the response handler isn't called.
    void cancel();

    /// Ends the query at once, because the process is about to exit: responds with the parts that have arrived, if they suffice.
    void expire();

private:
    using clock = std::chrono::steady_clock;

    struct shard_state
    {
        const std::string *service = nullptr;
        std::vector<target_attempt_ptr> attempts; ///< In flight.
        attempted_targets attempted;
        unsigned sends = 0; ///< Attempts in flight, and ended ones that may have run.
        no_replica lastReason = no_replica::NoneLeft; ///< Why no replica was found; valid while no attempt is in flight.
        full_reason lastFullReason = full_reason::InFlight; ///< Valid when lastReason is AllFull.
        bool hasSent = false; ///< The first send was made, so each further one is an extra send.
        bool wasHedged = false;
        bool isDone = false;
        bool isExhausted = false; ///< No part is expected any more.
        bool isHeld
            = false; ///< Its extra send, or any send of a suspected query, waits until a part of another shard shows that the query doesn't crash targets.
        clock::time_point hedgeAt = clock::time_point::max();
        clock::time_point retryAt = clock::time_point::max(); ///< When to check for a replica again.
    };

    const gather_destination &gather() const;
    bool isCoverageReachable() const;
    void reserveLimited(clock::time_point now);
    std::chrono::milliseconds retryAfter(clock::time_point now) const;
    void sendFirst(clock::time_point now);
    void trySend(std::size_t index, bool isHedge, clock::time_point now);
    bool isExpectedLate(const replica_decision &decision, bool isHedge, clock::time_point now) const;
    void send(std::size_t index, const target_link_ptr &link, bool isHedge, clock::time_point now);
    void onAttemptEnded(std::size_t index, const target_attempt_ptr &attempt, attempt_result result);
    void addPart(shard_state &shard, const attempt_result &result);
    void retryShard(std::size_t index, const attempt_result &result, clock::time_point now);
    void recordLoss(const shard_state &shard);
    bool isAnyInFlight() const;
    void updateHeldShards(clock::time_point now);
    void releaseHeldShard(std::size_t index, clock::time_point now);
    void onTimer();
    void runDueSends(clock::time_point now);
    void decide(clock::time_point now);
    void schedule();
    gather_progress progress() const;
    void respondWithParts();
    void respondWithFailure(clock::time_point now);
    void end(bool shouldCancel);
    static void abandonAttempts(shard_state &shard, bool shouldCancel);
    void finish(request_outcome outcome, caller_response response);
    void logMissing();
    void logDecision(const char *event, const shard_state &shard, const std::string &target, const char *why);

    node_context &m_context;
    target_pool &m_pool;
    route_statistics &m_statistics;
    incoming_request m_request;
    response_handler m_responseHandler;
    std::vector<shard_state> m_shards;
    std::vector<std::string> m_signatures; ///< One for each received part.
    record_merge m_records;
    response_memory::holding_pointer m_recordsMemory; ///< Of m_records.
    timer_queue::handle m_timer = 0;
    clock::time_point m_timerDue = clock::time_point::max();
    std::size_t m_lostAttempts = 0; ///< Attempts that ended without a response.
    std::size_t m_lostExtraSends = 0; ///< Lost attempts that were not the first of their shard.
    std::size_t m_skipped = 0; ///< Shards left out because their response is expected after the objective.
    bool m_isSuspected = false; ///< An earlier query with the same content was in flight at several crashed targets.
    bool m_mayHaveRun = false;
    bool m_isOver = false;
};

} // namespace balsamhook
