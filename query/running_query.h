#pragma once

#include "query/latency_window.h"
#include "query/query_action.h"
#include "query/service_layout.h"
#include "query/target_view.h"
#include "query/token_budget.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace balsamhook
{

/// State of a service that outlives its queries.
struct service_state
{
    token_budget budget;
    std::map<std::string, latency_window, std::less<>> shardLatency;
};

/// State that all running queries share. Owned by the query engine.
struct query_environment
{
    target_view targets;
    std::string dataCentre; ///< Of this instance.
    std::mt19937_64 random;
    std::uint64_t nextAttemptId = 1;
    std::unordered_map<std::uint64_t, std::uint64_t> requestByAttempt; ///< Request number by attempt id; only attempts in flight.
    bool isOverloaded = false; ///< Disables hedging.
    counters &metrics;
};

/// Scatters one query and gathers the parts. Event handlers take the current time and append actions; the class uses no sockets and reads no clock.
/// Not thread-safe. Only isFinished() may be called after the query has finished.
class running_query
{
public:
    /// A request without a deadline gets the service's. Precondition: serviceState and environment outlive the query.
    running_query(std::uint64_t requestNumber,
                  std::string queryId,
                  trace_context trace,
                  query_request request,
                  std::shared_ptr<const service_layout> service,
                  service_state &serviceState,
                  query_environment &environment,
                  boot_clock::time_point now);

    /// Pins a snapshot and sends the first attempts.
    void start(boot_clock::time_point now, query_actions &actions);

    /// Handles the response to an attempt. Precondition: the attempt is in flight.
    void onResponse(const sub_response &response, boot_clock::time_point now, query_actions &actions);

    /// Handles the loss of the connection to an instance: the attempts in flight on it end as unknown.
    void onDisconnected(const std::string &instance, boot_clock::time_point now, query_actions &actions);

    /// Handles a message that couldn't be sent, so that its attempts were never started. Ids of attempts that aren't in flight are ignored.
    void onSendFailed(const std::vector<std::uint64_t> &attemptIds, boot_clock::time_point now, query_actions &actions);

    /// Sends due hedges, and finishes the query at the time of a partial response or at the deadline.
    void tick(boot_clock::time_point now, query_actions &actions);

    /// Time at which tick() must be called at the latest.
    boot_clock::time_point nextWake() const;

    bool isFinished() const;

    /// Instance that an attempt was sent to; nullptr when the attempt isn't in flight.
    const std::string *instanceOf(std::uint64_t attemptId) const;

private:
    enum class attempt_kind : std::uint8_t {
        First,
        Retry,
        Hedge,
        Restart,
    };

    enum class shard_state : std::uint8_t {
        Pending,
        Complete,
        Missing,
    };

    struct attempt
    {
        std::size_t shard = 0;
        std::string target;
        std::string instance;
        attempt_kind kind = attempt_kind::First;
        boot_clock::time_point start;
        trace_context trace;
    };

    struct attempted_target
    {
        std::string target;
        std::string instance;
    };

    struct shard_progress
    {
        shard_state state = shard_state::Pending;
        std::vector<std::uint64_t> inFlight; ///< Attempt ids.
        std::vector<attempted_target> attempted;
        std::uint32_t failures = 0; ///< Attempts that may have crashed a target.
        std::string missingReason;
        boot_clock::time_point start;
        boot_clock::time_point hedgeAt = boot_clock::time_point::max();
        query_part part;
    };

    using outgoing_items = std::map<std::string, std::vector<sub_query_item>>;

    void scatter(attempt_kind kind, boot_clock::time_point now, query_actions &actions);
    const replica *chooseReplica(std::size_t shard, bool warmOnly, boot_clock::time_point now);
    bool isCandidate(const shard_progress &progress, const replica &option, bool warmOnly) const;
    std::chrono::microseconds score(const replica &option, boot_clock::time_point now) const;
    void addAttempt(std::size_t shard, const replica &chosen, attempt_kind kind, boot_clock::time_point now, outgoing_items &outgoing);
    void sendItems(const outgoing_items &outgoing, boot_clock::time_point now, query_actions &actions);
    void sendCancels(const std::vector<std::uint64_t> &attemptIds, std::string_view outcome, boot_clock::time_point now, query_actions &actions);
    attempt endAttempt(std::uint64_t attemptId, std::string_view outcome, boot_clock::time_point now, query_actions &actions);
    bool acceptPart(std::size_t shard, const sub_response &response);
    void completeShard(const attempt &winner, boot_clock::time_point now, query_actions &actions);
    void handleFailedAttempt(const attempt &ended, refusal_reason reason, boot_clock::time_point now, query_actions &actions);
    bool retry(std::size_t shard, boot_clock::time_point now, query_actions &actions);
    bool restart(boot_clock::time_point now, query_actions &actions);
    void hedge(std::size_t shard, boot_clock::time_point now, query_actions &actions);
    void scheduleHedge(std::size_t shard, boot_clock::time_point now);
    std::vector<std::uint64_t> attemptsInFlight() const;
    void finishIfComplete(boot_clock::time_point now, query_actions &actions);
    void finish(boot_clock::time_point now, query_actions &actions);
    bool hasEnoughCoverage() const;
    query_result makeResult();
    std::string finalReason(const query_result &result) const;

    std::uint64_t m_requestNumber;
    std::string m_queryId;
    trace_context m_trace;
    query_request m_request;
    std::shared_ptr<const service_layout> m_service;
    service_state &m_serviceState;
    query_environment &m_environment;
    boot_clock::time_point m_deadline;
    boot_clock::time_point m_respondAt; ///< When to respond with partial coverage; the deadline when the coverage was too low then.
    boot_clock::time_point m_nextHedge = boot_clock::time_point::max();
    std::optional<snapshot> m_pinned;
    std::vector<shard_progress> m_shards;
    std::unordered_map<std::uint64_t, attempt> m_attempts;
    std::size_t m_pendingShards = 0;
    bool m_mayHaveRun = false; ///< A target may have started an attempt, so the query must not end as not run.
    bool m_restarted = false;
    bool m_finished = false;
};

} // namespace balsamhook
