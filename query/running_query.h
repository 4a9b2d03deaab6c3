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

/// What is kept of a service between queries.
struct service_memory
{
    token_budget budget;
    std::map<std::string, latency_window, std::less<>> shardLatency;
};

/// What running queries share. Owned by the query engine.
struct query_environment
{
    target_view targets;
    std::string dataCentre; ///< Of this instance.
    std::mt19937_64 random;
    std::uint64_t nextAttemptId = 1;
    std::unordered_map<std::uint64_t, std::uint64_t> requestOfAttempt; ///< Only attempts that wait for an answer.
    bool overloaded = false; ///< Hedging is off.
    counters &numbers;
};

/// One query from scatter to its end. It takes events with the time and appends actions; it has no sockets and no clock.
/// Not thread-safe. After it has finished, no function but isFinished() may be called.
class running_query
{
public:
    /// Precondition: environment and memory outlive the query; the deadline of the request is set.
    running_query(std::uint64_t number,
                  std::string queryId,
                  trace_context trace,
                  query_request request,
                  std::shared_ptr<const service_layout> service,
                  service_memory &memory,
                  query_environment &environment,
                  boot_clock::time_point now);

    /// Chooses the snapshot and sends the first attempts.
    void start(boot_clock::time_point now, query_actions &actions);

    /// Takes the end of one of its waiting attempts. Precondition: the attempt waits.
    void answer(const sub_response &ended, boot_clock::time_point now, query_actions &actions);

    /// Takes the loss of the connection to an instance: its waiting attempts end as unknown.
    void connectionLost(const std::string &instance, boot_clock::time_point now, query_actions &actions);

    /// A message couldn't be sent: these attempts surely didn't start. Ids that don't wait are passed over.
    void sendFailed(const std::vector<std::uint64_t> &attemptIds, boot_clock::time_point now, query_actions &actions);

    /// Acts on the time: hedges, the answer time and the deadline.
    void tick(boot_clock::time_point now, query_actions &actions);

    /// When tick() has to be called next at the latest.
    boot_clock::time_point nextWake() const;

    bool isFinished() const;

    /// Instance that a waiting attempt was sent to; nullptr when the attempt doesn't wait.
    const std::string *instanceOf(std::uint64_t attemptId) const;

private:
    enum class attempt_kind : std::uint8_t {
        First,
        Retry,
        Hedge,
        Restart,
    };

    enum class shard_state : std::uint8_t {
        Waiting,
        Answered,
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

    struct tried_target
    {
        std::string target;
        std::string instance;
    };

    struct shard_progress
    {
        shard_state state = shard_state::Waiting;
        std::vector<std::uint64_t> waiting; ///< Attempts without an end.
        std::vector<tried_target> tried;
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
    bool acceptPart(std::size_t shard, const sub_response &ended);
    void shardAnswered(const attempt &winner, boot_clock::time_point now, query_actions &actions);
    void attemptFailed(const attempt &ended, refusal_reason reason, boot_clock::time_point now, query_actions &actions);
    bool retry(std::size_t shard, boot_clock::time_point now, query_actions &actions);
    bool restart(boot_clock::time_point now, query_actions &actions);
    void hedge(std::size_t shard, boot_clock::time_point now, query_actions &actions);
    void scheduleHedge(std::size_t shard, boot_clock::time_point now);
    std::vector<std::uint64_t> waitingAttempts() const;
    void finishIfComplete(boot_clock::time_point now, query_actions &actions);
    void finish(boot_clock::time_point now, query_actions &actions);
    bool hasEnoughCoverage() const;
    query_result makeResult();
    std::string finalReason(const query_result &result) const;

    std::uint64_t m_number;
    std::string m_queryId;
    trace_context m_trace;
    query_request m_request;
    std::shared_ptr<const service_layout> m_service;
    service_memory &m_memory;
    query_environment &m_environment;
    boot_clock::time_point m_deadline;
    boot_clock::time_point m_answerAt;
    boot_clock::time_point m_nextHedge = boot_clock::time_point::max();
    std::optional<snapshot> m_pinned;
    std::vector<shard_progress> m_shards;
    std::unordered_map<std::uint64_t, attempt> m_attempts;
    std::size_t m_open = 0; ///< Shards that still wait.
    bool m_mayHaveRun = false; ///< A target may have started an attempt.
    bool m_restarted = false;
    bool m_finished = false;
};

} // namespace balsamhook
