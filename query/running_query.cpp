#include "query/running_query.h"

#include "query/snapshot_choice.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// First attempt, one retry and one hedge.
constexpr std::size_t MaxAttemptsPerShard = 3;

/// A request that may have crashed this many targets of a shard gets no further attempt there.
constexpr std::uint32_t MaxFailuresPerShard = 2;

/// Round-trip time to another data centre; the latency between the sites is 1 to 1.5 ms one way.
constexpr std::chrono::microseconds OtherDataCentrePenalty{3000};

/// When a shard has warm and cold replicas, one choice in this many picks an idle cold replica; otherwise a cold target would never warm up.
constexpr std::uint64_t ChoicesPerColdProbe = 8;

/// Time until a hedge that could not be sent is considered again.
constexpr std::chrono::milliseconds HedgeRecheckInterval{10};

/// Lower bound of the delay before a hedge, so that timer granularity doesn't cause hedges for a very fast shard.
constexpr std::chrono::microseconds MinHedgeDelay{1000};

/// How long other replicas are preferred after the owner refused an attempt for a persistent reason, such as NotOwner. Without this period, each query
/// would spend a budget token on the target until the next control state or report.
constexpr std::chrono::milliseconds RefusalAvoidPeriod{500};

bool isRetryable(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NotOwner:
    case refusal_reason::QueueFull:
    case refusal_reason::DeadlineTooShort:
    case refusal_reason::TargetLeaving:
    case refusal_reason::DataCentreOut:
    case refusal_reason::TargetShedding:
    case refusal_reason::TargetUnreachable:
    case refusal_reason::TargetFailed:
    case refusal_reason::SnapshotMissing:
    case refusal_reason::UnknownTarget:
    case refusal_reason::Stopping:
        return true;
    default:
        return false;
    }
}

/// True when the owner is expected to refuse further attempts on the target for the same reason, which its reports may not show yet.
bool isPersistent(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NotOwner:
    case refusal_reason::TargetLeaving:
    case refusal_reason::DataCentreOut:
    case refusal_reason::TargetUnreachable:
    case refusal_reason::UnknownTarget:
    case refusal_reason::Stopping:
        return true;
    default:
        return false;
    }
}

std::chrono::microseconds elapsed(boot_clock::time_point since, boot_clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now - since);
}

} // namespace

running_query::running_query(std::uint64_t requestNumber,
                             std::string queryId,
                             trace_context trace,
                             query_request request,
                             std::shared_ptr<const service_layout> service,
                             service_state &serviceState,
                             query_environment &environment,
                             boot_clock::time_point now)
    : m_requestNumber(requestNumber)
    , m_queryId(std::move(queryId))
    , m_trace(std::move(trace))
    , m_request(std::move(request))
    , m_service(std::move(service))
    , m_serviceState(serviceState)
    , m_environment(environment)
    , m_deadline(now + m_request.deadline.value_or(m_service->deadline))
{
    const std::chrono::milliseconds answerAfter = m_request.answerAfter.value_or(m_service->answerAfter);
    m_respondAt = answerAfter.count() > 0 ? std::min(now + answerAfter, m_deadline) : m_deadline;
}

void running_query::start(boot_clock::time_point now, query_actions &actions)
{
    const auto choice = chooseSnapshot(*m_service, m_environment.targets);
    if (choice) {
        m_pinned = choice->chosen;
    }
    scatter(attempt_kind::First, now, actions);
    finishIfComplete(now, actions);
}

void running_query::scatter(attempt_kind kind, boot_clock::time_point now, query_actions &actions)
{
    BALSAM_ASSERT(m_attempts.empty());
    m_shards.assign(m_service->shards.size(), {});
    m_pendingShards = m_shards.size();
    outgoing_items outgoing;
    std::size_t sent = 0;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        m_shards[shard].start = now;
        const replica *chosen = m_pinned ? chooseReplica(shard, false, now) : nullptr;
        if (chosen == nullptr) {
            m_shards[shard].state = shard_state::Missing;
            m_shards[shard].missingReason = "no_replica";
            --m_pendingShards;
            continue;
        }
        addAttempt(shard, *chosen, kind, now, outgoing);
        scheduleHedge(shard, now);
        ++sent;
    }
    if (kind == attempt_kind::First) {
        m_serviceState.budget.deposit(sent);
    }
    sendItems(outgoing, now, actions);
}

bool running_query::isCandidate(const shard_progress &progress, const replica &option, bool warmOnly) const
{
    const target_view &targets = m_environment.targets;
    const std::string *owner = targets.owner(option.target);
    if (!option.usable || owner == nullptr || !targets.holds(option.target, *m_pinned)) {
        return false;
    }
    if (warmOnly && targets.report(option.target)->cold) {
        return false;
    }
    // A second attempt on a target is allowed only through a new owner, after a handover.
    return std::none_of(progress.attempted.begin(), progress.attempted.end(), [&](const attempted_target &earlier) {
        return earlier.target == option.target && earlier.instance == *owner;
    });
}

std::chrono::microseconds running_query::score(const replica &option, boot_clock::time_point now) const
{
    const bool isLocal = option.dataCentre == m_environment.dataCentre;
    return m_environment.targets.expectedTime(option.target, now) + (isLocal ? std::chrono::microseconds(0) : OtherDataCentrePenalty);
}

const replica *running_query::chooseReplica(std::size_t shard, bool warmOnly, boot_clock::time_point now)
{
    std::vector<const replica *> warm;
    std::vector<const replica *> cold;
    for (const replica &option : m_service->shards[shard].replicas) {
        if (isCandidate(m_shards[shard], option, warmOnly)) {
            (m_environment.targets.report(option.target)->cold ? cold : warm).push_back(&option);
        }
    }
    if (!cold.empty() && !warm.empty() && m_environment.random() % ChoicesPerColdProbe == 0) {
        const replica *probe = cold[m_environment.random() % cold.size()];
        if (m_environment.targets.report(probe->target)->queueLength == 0) {
            return probe;
        }
    }
    std::vector<const replica *> &options = warm.empty() ? cold : warm;
    if (options.empty()) {
        return nullptr;
    }
    // Power of two choices: picking the best replica would send the load of all front ends to the same one between two reports.
    const replica *first = options[m_environment.random() % options.size()];
    if (options.size() == 1) {
        return first;
    }
    std::erase(options, first);
    const replica *second = options[m_environment.random() % options.size()];
    return score(*second, now) < score(*first, now) ? second : first;
}

void running_query::addAttempt(std::size_t shard, const replica &chosen, attempt_kind kind, boot_clock::time_point now, outgoing_items &outgoing)
{
    const std::uint64_t id = m_environment.nextAttemptId++;
    const std::string instance = *m_environment.targets.owner(chosen.target);
    const bool inserted = m_environment.requestByAttempt.emplace(id, m_requestNumber).second;
    BALSAM_ASSERT(inserted);
    m_attempts.emplace(id, attempt{shard, chosen.target, instance, kind, now, m_trace.child()});
    shard_progress &progress = m_shards[shard];
    progress.inFlight.push_back(id);
    progress.attempted.push_back({chosen.target, instance});
    BALSAM_ASSERT(progress.attempted.size() <= MaxAttemptsPerShard);
    m_environment.targets.recordAttemptStart(chosen.target);
    outgoing[instance].push_back({id, chosen.target, m_service->shards[shard].shard});
    static constexpr std::string_view Counters[]
        = {R"(attempts_total{kind="first"})", R"(attempts_total{kind="retry"})", R"(attempts_total{kind="hedge"})", R"(attempts_total{kind="restart"})"};
    m_environment.metrics.add(Counters[static_cast<std::size_t>(kind)]);
}

void running_query::sendItems(const outgoing_items &outgoing, boot_clock::time_point now, query_actions &actions)
{
    for (const auto &[instance, items] : outgoing) {
        sub_query_batch batch;
        batch.queryId = m_queryId;
        // A batch carries one trace context. For a single attempt it is the attempt's, so that the dispatcher's span becomes its child.
        batch.traceparent = items.size() == 1 ? m_attempts.at(items.front().attemptId).trace.header() : m_trace.header();
        batch.service = m_service->name;
        batch.pinned = *m_pinned;
        batch.remainingMicroseconds = elapsed(now, m_deadline).count();
        batch.text = m_request.text;
        batch.limit = m_request.limit;
        batch.items = items;
        actions.emplace_back(send_message{instance, std::move(batch)});
    }
}

running_query::attempt running_query::endAttempt(std::uint64_t attemptId, std::string_view outcome, boot_clock::time_point now, query_actions &actions)
{
    const auto found = m_attempts.find(attemptId);
    BALSAM_ASSERT(found != m_attempts.end());
    attempt ended = std::move(found->second);
    m_attempts.erase(found);
    m_environment.requestByAttempt.erase(attemptId);
    std::erase(m_shards[ended.shard].inFlight, attemptId);
    actions.emplace_back(record_attempt{ended.trace, m_trace.spanId, ended.target + "@" + ended.instance, std::string(outcome), elapsed(ended.start, now)});
    return ended;
}

void running_query::sendCancels(const std::vector<std::uint64_t> &attemptIds, std::string_view outcome, boot_clock::time_point now, query_actions &actions)
{
    std::map<std::string, cancel_attempts> byInstance;
    for (const std::uint64_t id : attemptIds) {
        const attempt ended = endAttempt(id, outcome, now, actions);
        m_mayHaveRun = true;
        m_environment.targets.recordAttemptEnd(ended.target, false, elapsed(ended.start, now), now);
        byInstance[ended.instance].attemptIds.push_back(id);
    }
    for (auto &[instance, cancel] : byInstance) {
        actions.emplace_back(send_message{instance, std::move(cancel)});
    }
}

void running_query::onResponse(const sub_response &response, boot_clock::time_point now, query_actions &actions)
{
    BALSAM_ASSERT(!m_finished);
    const std::size_t shard = m_attempts.at(response.attemptId).shard;
    const bool answered = response.ended == outcome::Answered && acceptPart(shard, response);
    const bool isInvalid = response.ended == outcome::Answered && !answered;
    const refusal_reason reason = isInvalid ? refusal_reason::TargetFailed : response.reason;
    m_mayHaveRun = m_mayHaveRun || response.ended != outcome::NotRun;
    const attempt ended = endAttempt(response.attemptId, answered ? "answered" : nameOf(reason), now, actions);
    const bool timedOut = reason == refusal_reason::Timeout;
    const auto sample = answered || timedOut ? std::optional(elapsed(ended.start, now)) : std::nullopt;
    m_environment.targets.recordAttemptEnd(ended.target, answered, sample, now);
    if (answered) {
        completeShard(ended, now, actions);
    } else {
        handleFailedAttempt(ended, reason, now, actions);
    }
    finishIfComplete(now, actions);
}

bool running_query::acceptPart(std::size_t shard, const sub_response &response)
{
    if (response.readFrom != *m_pinned) {
        m_environment.metrics.add("wrong_snapshot_answers_total");
        return false;
    }
    auto hits = parseHits(response.hits);
    if (!hits) {
        m_environment.metrics.add("malformed_hits_total");
        return false;
    }
    BALSAM_ASSERT(m_shards[shard].state == shard_state::Pending);
    m_shards[shard].part = {response.readFrom, std::move(hits).value()};
    return true;
}

void running_query::completeShard(const attempt &winner, boot_clock::time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[winner.shard];
    progress.state = shard_state::Complete;
    --m_pendingShards;
    m_serviceState.shardLatency[m_service->shards[winner.shard].shard].add(elapsed(winner.start, now));
    if (winner.kind == attempt_kind::Hedge) {
        m_environment.metrics.add("hedges_won_total");
    }
    const std::vector<std::uint64_t> losers = progress.inFlight;
    sendCancels(losers, "lost", now, actions);
}

void running_query::handleFailedAttempt(const attempt &ended, refusal_reason reason, boot_clock::time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[ended.shard];
    progress.missingReason = nameOf(reason);
    progress.failures += reason == refusal_reason::TargetFailed || reason == refusal_reason::None ? 1 : 0;
    m_environment.metrics.add("attempts_refused_total{reason=\"" + progress.missingReason + "\"}");
    if (isPersistent(reason)) {
        m_environment.targets.avoid(ended.target, now + RefusalAvoidPeriod);
    }
    if (!progress.inFlight.empty()) {
        return;
    }
    const bool retryable = isRetryable(reason) || reason == refusal_reason::None;
    if (retryable && progress.failures < MaxFailuresPerShard && retry(ended.shard, now, actions)) {
        return;
    }
    if (reason == refusal_reason::SnapshotMissing && restart(now, actions)) {
        return;
    }
    progress.state = shard_state::Missing;
    --m_pendingShards;
}

bool running_query::retry(std::size_t shard, boot_clock::time_point now, query_actions &actions)
{
    if (now >= m_respondAt || m_shards[shard].attempted.size() >= MaxAttemptsPerShard) {
        return false;
    }
    const replica *other = chooseReplica(shard, false, now);
    if (other == nullptr) {
        return false;
    }
    if (!m_serviceState.budget.tryAcquireForRetry()) {
        m_environment.metrics.add(R"(budget_denied_total{kind="retry"})");
        return false;
    }
    outgoing_items outgoing;
    addAttempt(shard, *other, attempt_kind::Retry, now, outgoing);
    scheduleHedge(shard, now);
    sendItems(outgoing, now, actions);
    return true;
}

bool running_query::restart(boot_clock::time_point now, query_actions &actions)
{
    if (m_restarted || now >= m_respondAt) {
        return false;
    }
    const auto newer = chooseSnapshot(*m_service, m_environment.targets, m_pinned);
    // The shard whose snapshot is missing is still pending here, hence the subtraction of one.
    const auto missing = std::count_if(m_shards.begin(), m_shards.end(), [](const shard_progress &item) { return item.state == shard_state::Missing; });
    const std::size_t reachableShards = m_shards.size() - static_cast<std::size_t>(missing) - 1;
    if (!newer || newer->shards <= reachableShards || !m_serviceState.budget.tryAcquireForRetry()) {
        return false;
    }
    m_restarted = true;
    m_environment.metrics.add("restarts_total");
    sendCancels(attemptsInFlight(), "restarted", now, actions);
    m_pinned = newer->chosen;
    m_nextHedge = boot_clock::time_point::max();
    scatter(attempt_kind::Restart, now, actions);
    return true;
}

void running_query::scheduleHedge(std::size_t shard, boot_clock::time_point now)
{
    shard_progress &progress = m_shards[shard];
    const auto percentile = m_serviceState.shardLatency[m_service->shards[shard].shard].percentile95();
    progress.hedgeAt = percentile ? now + std::max(*percentile, MinHedgeDelay) : boot_clock::time_point::max();
    m_nextHedge = std::min(m_nextHedge, progress.hedgeAt);
}

void running_query::hedge(std::size_t shard, boot_clock::time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[shard];
    progress.hedgeAt = now + HedgeRecheckInterval;
    const bool canHedge = !m_environment.isOverloaded && progress.inFlight.size() == 1 && progress.attempted.size() < MaxAttemptsPerShard;
    const replica *other = canHedge ? chooseReplica(shard, true, now) : nullptr;
    if (other == nullptr) {
        return;
    }
    if (!m_serviceState.budget.tryAcquireForHedge()) {
        m_environment.metrics.add(R"(budget_denied_total{kind="hedge"})");
        return;
    }
    progress.hedgeAt = boot_clock::time_point::max();
    outgoing_items outgoing;
    addAttempt(shard, *other, attempt_kind::Hedge, now, outgoing);
    sendItems(outgoing, now, actions);
}

void running_query::onDisconnected(const std::string &instance, boot_clock::time_point now, query_actions &actions)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : m_attempts) {
        if (pending.instance == instance) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost) {
        // A restart caused by an earlier attempt of the list has ended all attempts of the query.
        if (m_finished || !m_attempts.contains(id)) {
            continue;
        }
        m_mayHaveRun = true;
        const attempt ended = endAttempt(id, "connection_lost", now, actions);
        m_environment.targets.recordAttemptEnd(ended.target, false, std::nullopt, now);
        handleFailedAttempt(ended, refusal_reason::TargetUnreachable, now, actions);
    }
    if (!m_finished) {
        finishIfComplete(now, actions);
    }
}

void running_query::onSendFailed(const std::vector<std::uint64_t> &attemptIds, boot_clock::time_point now, query_actions &actions)
{
    for (const std::uint64_t id : attemptIds) {
        if (m_finished || !m_attempts.contains(id)) {
            continue;
        }
        const attempt ended = endAttempt(id, "not_sent", now, actions);
        m_environment.targets.recordAttemptEnd(ended.target, false, std::nullopt, now);
        handleFailedAttempt(ended, refusal_reason::TargetUnreachable, now, actions);
    }
    if (!m_finished) {
        finishIfComplete(now, actions);
    }
}

void running_query::tick(boot_clock::time_point now, query_actions &actions)
{
    BALSAM_ASSERT(!m_finished);
    if (now >= m_respondAt && now < m_deadline && !hasEnoughCoverage()) {
        m_respondAt = m_deadline;
    }
    if (now >= m_respondAt) {
        finish(now, actions);
        return;
    }
    if (now < m_nextHedge) {
        return;
    }
    m_nextHedge = boot_clock::time_point::max();
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].state != shard_state::Pending) {
            continue;
        }
        if (now >= m_shards[shard].hedgeAt) {
            hedge(shard, now, actions);
        }
        m_nextHedge = std::min(m_nextHedge, m_shards[shard].hedgeAt);
    }
}

boot_clock::time_point running_query::nextWake() const
{
    return std::min(m_respondAt, m_nextHedge);
}

bool running_query::isFinished() const
{
    return m_finished;
}

const std::string *running_query::instanceOf(std::uint64_t attemptId) const
{
    const auto found = m_attempts.find(attemptId);
    return found == m_attempts.end() ? nullptr : &found->second.instance;
}

std::vector<std::uint64_t> running_query::attemptsInFlight() const
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_attempts.size());
    for (const auto &[id, pending] : m_attempts) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

void running_query::finishIfComplete(boot_clock::time_point now, query_actions &actions)
{
    if (!m_finished && m_pendingShards == 0) {
        finish(now, actions);
    }
}

void running_query::finish(boot_clock::time_point now, query_actions &actions)
{
    BALSAM_ASSERT(!m_finished);
    m_finished = true;
    sendCancels(attemptsInFlight(), "timeout", now, actions);
    actions.emplace_back(finish_query{m_requestNumber, makeResult()});
}

bool running_query::hasEnoughCoverage() const
{
    const auto answered = std::count_if(m_shards.begin(), m_shards.end(), [](const shard_progress &item) { return item.state == shard_state::Complete; });
    const double minimumCoverage = m_request.minimumCoverage.value_or(m_service->minimumCoverage);
    return answered > 0 && static_cast<double>(answered) >= minimumCoverage * static_cast<double>(m_shards.size());
}

query_result running_query::makeResult()
{
    query_result result;
    result.queryId = m_queryId;
    result.readFrom = m_pinned;
    result.coverage.total = m_shards.size();
    std::vector<query_part> parts;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        shard_progress &progress = m_shards[shard];
        if (progress.state == shard_state::Complete) {
            parts.push_back(std::move(progress.part));
            continue;
        }
        const std::string reason = progress.state == shard_state::Pending ? "timeout" : progress.missingReason;
        result.coverage.missing.push_back({m_service->shards[shard].shard, reason});
    }
    result.coverage.answered = parts.size();
    BALSAM_ASSERT(result.coverage.answered + result.coverage.missing.size() == result.coverage.total);
    if (hasEnoughCoverage()) {
        result.ended = outcome::Answered;
        result.hits = mergeParts(*m_pinned, std::move(parts), m_request.limit);
        return result;
    }
    result.ended = m_mayHaveRun ? outcome::Unknown : outcome::NotRun;
    result.reason = finalReason(result);
    return result;
}

std::string running_query::finalReason(const query_result &result) const
{
    if (!m_pinned) {
        return "no_snapshot";
    }
    return result.coverage.answered > 0 || result.coverage.missing.empty() ? "coverage_too_low" : result.coverage.missing.front().reason;
}

} // namespace balsamhook
