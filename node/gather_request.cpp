#include "node/gather_request.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A hedge is sent after a third of the objective at the latest, which leaves the second replica twice the time of the first.
constexpr double HedgeObjectiveShare = 0.33;
/// Signatures in one header line; callers may limit the length of a line.
constexpr std::size_t SignaturesPerHeader = 40;
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr unsigned BadGateway = 502;
/// A query with this many lost attempts and no part is suspected of crashing every target that runs it.
constexpr std::size_t SuspectLostAttempts = 3;
/// Lost extra sends of a suspected query after which its held shards are given up.
constexpr std::size_t MaxLostExtraSends = 3;

} // namespace

gather_request::gather_request(
    node_context &context, target_pool &pool, route_statistics &statistics, incoming_request request, response_handler responseHandler)
    : m_context(context)
    , m_pool(pool)
    , m_statistics(statistics)
    , m_request(std::move(request))
    , m_responseHandler(std::move(responseHandler))
    , m_records(std::get<gather_destination>(m_request.matched->destination).recordCount)
    , m_recordsMemory(context.responses.hold())
{
    BALSAM_ASSERT(std::holds_alternative<gather_destination>(m_request.matched->destination));
}

const gather_destination &gather_request::gather() const
{
    return std::get<gather_destination>(m_request.matched->destination);
}

void gather_request::start()
{
    const auto now = clock::now();
    m_shards.resize(gather().shards.size());
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i].service = &gather().shards[i];
        m_context.budget.onRequest(*m_shards[i].service, now);
        m_pool.onWanted(*m_shards[i].service, now);
    }
    if (!isCoverageReachable()) {
        reserveLimited(now);
        finish(request_outcome::NotRunCoverage, refusalResponse("too few shards are reachable", retryAfter(now)));
        return;
    }
    sendFirst(now);
    decide(now);
    schedule();
}

void gather_request::sendFirst(clock::time_point now)
{
    m_isSuspected = m_context.crashes.isSuspected(*m_request.outgoing, boot_clock::now());
    if (!m_isSuspected) {
        for (std::size_t i = 0; i < m_shards.size(); ++i) {
            trySend(i, false, now);
        }
        return;
    }
    const auto isAvailable = [&](const shard_state &shard) { return m_pool.hasAvailable(*shard.service, now, now); };
    const auto found = std::find_if(m_shards.begin(), m_shards.end(), isAvailable);
    const auto first = found == m_shards.end() ? 0 : static_cast<std::size_t>(found - m_shards.begin());
    logDecision("sends_held", m_shards[first], "none", "crashes_suspected");
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i].isHeld = i != first;
    }
    trySend(first, false, now);
}

bool gather_request::isCoverageReachable() const
{
    const auto now = clock::now();
    const auto reachable = static_cast<std::size_t>(std::count_if(
        m_shards.begin(), m_shards.end(), [&](const shard_state &shard) { return m_pool.hasAvailable(*shard.service, now, m_request.objectiveDeadline); }));
    const std::size_t needed = partsNeeded(m_shards.size(), gather().minimumCoverage);
    if (reachable < needed) {
        m_context.log.write(event_class::Decision,
                            event_line("query", "refused")
                                .add("id", m_request.outgoing->requestId())
                                .add("reason", "too few shards are reachable")
                                .add("reachable", static_cast<std::uint64_t>(reachable))
                                .add("needed", static_cast<std::uint64_t>(needed))
                                .add("shards", static_cast<std::uint64_t>(m_shards.size()))
                                .add("config", m_request.configuration->version()),
                            now);
    }
    return reachable >= needed;
}

void gather_request::reserveLimited(clock::time_point now)
{
    for (const shard_state &shard : m_shards) {
        if (!m_pool.hasAvailable(*shard.service, now, m_request.objectiveDeadline)) {
            m_pool.reserveLimited(*shard.service, now);
        }
    }
}

std::chrono::milliseconds gather_request::retryAfter(clock::time_point now) const
{
    std::vector<clock::time_point> available;
    available.reserve(m_shards.size());
    for (const shard_state &shard : m_shards) {
        available.push_back(m_pool.expectedAvailable(*shard.service, now));
    }
    // The query can succeed once the minimum number of shards is available.
    const auto last = available.begin() + static_cast<std::ptrdiff_t>(partsNeeded(available.size(), gather().minimumCoverage) - 1);
    std::nth_element(available.begin(), last, available.end());
    return std::max(MinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(*last - now));
}

void gather_request::trySend(std::size_t index, bool isHedge, clock::time_point now)
{
    shard_state &shard = m_shards[index];
    shard.retryAt = clock::time_point::max();
    const auto links = m_pool.usable(*shard.service);
    const replica_decision decision = chooseReplica(m_pool.views(links, shard.attempted, isHedge, now), m_statistics.latency.median(), now, m_context.draw());
    if (!decision.chosen) {
        // A hedge is optional, and an attempt in flight may still deliver the part.
        if (isHedge || !shard.attempts.empty()) {
            return;
        }
        shard.lastReason = decision.reason;
        shard.lastFullReason = decision.fullReason;
        // Before the deadline new targets may register, and full ones may get free capacity.
        shard.retryAt = now + ReplicaPollInterval;
        if (decision.reason == no_replica::AllUnavailable || decision.reason == no_replica::AllLimited) {
            shard.retryAt = std::max(shard.retryAt, decision.retryAt);
        }
        if (decision.reason == no_replica::NoneLeft && !shard.attempted.tried.empty()) {
            shard.isExhausted = true;
        }
        return;
    }
    if (isExpectedLate(decision, isHedge, now)) {
        logDecision(isHedge ? "hedge_skipped" : "shard_skipped", shard, links[*decision.chosen]->target.id, "expected_late");
        shard.isExhausted = shard.isExhausted || shard.attempts.empty();
        m_skipped += isHedge ? 0 : 1;
        return;
    }
    const bool isExtra = shard.hasSent;
    if (isExtra && !m_context.budget.tryAcquire(*shard.service, isHedge ? HedgeReserve : 0, now)) {
        m_context.metrics.add("sends_over_budget_total");
        shard.isExhausted = shard.isExhausted || (!isHedge && shard.attempts.empty());
        return;
    }
    shard.wasHedged = shard.wasHedged || isHedge;
    send(index, links[*decision.chosen], isHedge, now);
}

bool gather_request::isExpectedLate(const replica_decision &decision, bool isHedge, clock::time_point now) const
{
    shard_load load;
    load.expected = decision.expected;
    load.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(m_request.objectiveDeadline - now);
    load.shards = m_shards.size();
    load.minimumCoverage = gather().minimumCoverage;
    load.skipped = m_skipped;
    if (isHedge) {
        // A hedge that is expected late only adds load, unless the minimum coverage depends on it.
        const gather_progress state = progress();
        return load.timeLeft.count() > 0 && load.expected > load.timeLeft && state.parts >= partsNeeded(state.shards, state.minimumCoverage);
    }
    return isShardSkipped(load);
}

void gather_request::send(std::size_t index, const target_link_ptr &link, bool isHedge, clock::time_point now)
{
    shard_state &shard = m_shards[index];
    shard.attempted.tried.push_back(link->target.id);
    ++shard.sends;
    shard.hasSent = true;
    if (isHedge) {
        m_context.metrics.add("hedges_total");
        logDecision("hedge", shard, link->target.id, "late");
    } else {
        shard.hedgeAt = now + hedgeDelay(m_statistics.latency, m_request.matched->objective, HedgeObjectiveShare);
    }
    attempt_options options{m_request.outgoing, m_request.deadline, m_statistics.profile(), true, shard.attempted.connections};
    // The handler needs the attempt, which send() returns. It is called from the event loop, so the pointer is set by then.
    const auto sentAttempt = std::make_shared<target_attempt_ptr>();
    *sentAttempt = m_pool.send(link, std::move(options), [self = shared_from_this(), index, sentAttempt](attempt_result result) {
        const target_attempt_ptr attempt = std::move(*sentAttempt);
        self->onAttemptEnded(index, attempt, std::move(result));
    });
    shard.attempts.push_back(*sentAttempt);
}

void gather_request::onAttemptEnded(std::size_t index, const target_attempt_ptr &attempt, attempt_result result)
{
    if (m_isOver) {
        return;
    }
    const auto now = clock::now();
    shard_state &shard = m_shards[index];
    std::erase(shard.attempts, attempt);
    const bool possiblyRan = mayHaveRun(result.outcome);
    m_mayHaveRun = m_mayHaveRun || possiblyRan;
    if (result.outcome == attempt_outcome::Success) {
        addPart(shard, result);
    } else if (!shard.isDone) {
        if (!possiblyRan) {
            --shard.sends;
        }
        shard.attempted.onOutcome(attempt->link().target.id, result);
        if (result.outcome == attempt_outcome::Unreachable && shard.attempts.empty() && shard.attempted.sends() == 1) {
            // Nothing was sent yet, so the next send isn't an extra one.
            shard.hasSent = false;
        }
        logDecision("attempt_failed", shard, attempt->link().target.id, nameOf(result.outcome).data());
        retryShard(index, result, now);
    }
    updateHeldShards(now);
    decide(now);
    schedule();
}

void gather_request::addPart(shard_state &shard, const attempt_result &result)
{
    if (shard.isDone) {
        return;
    }
    shard.isDone = true;
    m_statistics.onResponse(result.duration);
    m_signatures.push_back(*result.response.find(platform_header::Signature));
    m_records.add(result.response.body);
    abandonAttempts(shard, false);
    if (!m_recordsMemory->resize(m_records.heldBytes())) {
        m_context.metrics.add("merges_without_room_total");
        finish(request_outcome::Lost, localResponse(BadGateway, "no memory for the merged response"));
    }
}

void gather_request::retryShard(std::size_t index, const attempt_result &result, clock::time_point now)
{
    shard_state &shard = m_shards[index];
    if (result.outcome == attempt_outcome::Lost) {
        recordLoss(shard);
        if (m_isSuspected && m_signatures.empty()) {
            shard.isExhausted = shard.attempts.empty();
            return;
        }
    }
    if (shard.sends >= m_request.matched->maxAttempts) {
        shard.isExhausted = shard.attempts.empty();
        return;
    }
    if (shard.attempts.empty() && shard.attempted.sends() >= m_request.matched->maxAttempts + MaxNotRunRetries) {
        shard.isExhausted = true;
        return;
    }
    const bool isSuspected = m_signatures.empty() && m_lostAttempts >= SuspectLostAttempts;
    if (isSuspected && isAnyInFlight()) {
        shard.isHeld = true;
        shard.hedgeAt = clock::time_point::max();
        return;
    }
    trySend(index, false, now);
}

void gather_request::recordLoss(const shard_state &shard)
{
    ++m_lostAttempts;
    m_lostExtraSends += shard.attempted.sends() > 1 ? 1 : 0;
    if (m_lostAttempts == SuspectLostAttempts && m_signatures.empty()) {
        logDecision("extra_sends_held", shard, shard.attempted.last(), "targets_lost");
    }
}

bool gather_request::isAnyInFlight() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &shard) { return !shard.attempts.empty(); });
}

void gather_request::updateHeldShards(clock::time_point now)
{
    if (m_isOver) {
        return;
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (!m_shards[i].isHeld) {
            continue;
        }
        if (!m_signatures.empty()) {
            releaseHeldShard(i, now);
        } else if (m_lostExtraSends >= MaxLostExtraSends || (m_isSuspected && m_lostAttempts > 0)) {
            m_shards[i].isHeld = false;
            m_shards[i].isExhausted = true;
        } else if (!isAnyInFlight()) {
            releaseHeldShard(i, now);
        }
    }
}

void gather_request::releaseHeldShard(std::size_t index, clock::time_point now)
{
    m_shards[index].isHeld = false;
    trySend(index, false, now);
}

void gather_request::onTimer()
{
    if (m_isOver) {
        return;
    }
    m_timer = 0;
    m_timerDue = clock::time_point::max();
    const auto now = clock::now();
    runDueSends(now);
    updateHeldShards(now);
    decide(now);
    schedule();
}

void gather_request::runDueSends(clock::time_point now)
{
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        shard_state &shard = m_shards[i];
        if (shard.isDone || shard.isExhausted) {
            continue;
        }
        if (shard.retryAt <= now) {
            trySend(i, false, now);
        } else if (shard.hedgeAt <= now) {
            shard.hedgeAt = clock::time_point::max();
            if (!shard.wasHedged && shard.sends < m_request.matched->maxAttempts) {
                trySend(i, true, now);
            }
        }
    }
}

gather_progress gather_request::progress() const
{
    gather_progress state;
    state.shards = m_shards.size();
    state.minimumCoverage = gather().minimumCoverage;
    for (const shard_state &shard : m_shards) {
        state.parts += shard.isDone ? 1 : 0;
        state.pending += !shard.isDone && !shard.isExhausted ? 1 : 0;
    }
    return state;
}

void gather_request::decide(clock::time_point now)
{
    if (m_isOver) {
        return;
    }
    switch (decideGather(progress(), now >= m_request.objectiveDeadline)) {
    case gather_decision::Respond:
        respondWithParts();
        return;
    case gather_decision::Fail:
        respondWithFailure(now);
        return;
    case gather_decision::Wait:
        break;
    }
    if (now >= m_request.responseDeadline) {
        respondWithFailure(now);
    }
}

void gather_request::schedule()
{
    if (m_isOver) {
        return;
    }
    const auto now = clock::now();
    clock::time_point due = m_request.responseDeadline;
    if (m_request.objectiveDeadline > now) {
        due = std::min(due, m_request.objectiveDeadline);
    }
    for (const shard_state &shard : m_shards) {
        if (!shard.isDone && !shard.isExhausted) {
            due = std::min({due, shard.hedgeAt, shard.retryAt});
        }
    }
    if (due == m_timerDue) {
        return;
    }
    m_context.timers.stop(m_timer);
    m_timerDue = due;
    m_timer = m_context.timers.start(due, [self = shared_from_this()] { self->onTimer(); });
}

void gather_request::respondWithParts()
{
    caller_response response;
    response.omitsBody = m_request.omitsBody;
    response.fields.push_back({std::string(platform_header::RequestId), m_request.outgoing->requestId()});
    for (std::size_t from = 0; from < m_signatures.size(); from += SignaturesPerHeader) {
        std::string line;
        for (std::size_t i = from; i < std::min(from + SignaturesPerHeader, m_signatures.size()); ++i) {
            line.append(line.empty() ? "" : ", ").append(m_signatures[i]);
        }
        response.fields.push_back({std::string(platform_header::PartSignatures), line});
    }
    const std::size_t missing = m_shards.size() - m_signatures.size();
    logMissing();
    response.fields.push_back({std::string(platform_header::MissingParts), std::to_string(missing)});
    response.fields.push_back({"Content-Type", "application/octet-stream"});
    response.body = m_records.greatest();
    if (missing == 0) {
        m_context.crashes.onCompleted(*m_request.outgoing, boot_clock::now());
    }
    finish(missing == 0 ? request_outcome::Complete : request_outcome::Partial, std::move(response));
}

void gather_request::respondWithFailure(clock::time_point now)
{
    constexpr unsigned GatewayTimeout = 504;
    const bool isInFlight = std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &shard) {
        return std::any_of(shard.attempts.begin(), shard.attempts.end(), [](const target_attempt_ptr &attempt) { return attempt->wasSent(); });
    });
    if (!m_mayHaveRun && !isInFlight && m_signatures.empty()) {
        finish(request_outcome::NotRunCoverage, refusalResponse("too few shards are reachable", retryAfter(now)));
        return;
    }
    logMissing();
    if (now >= m_request.responseDeadline) {
        finish(request_outcome::TimedOut, localResponse(GatewayTimeout, "too few shards responded in time"));
        return;
    }
    finish(request_outcome::Lost, localResponse(BadGateway, "too few shards responded"));
}

void gather_request::cancel()
{
    if (m_isOver) {
        return;
    }
    end(true);
}

void gather_request::expire()
{
    if (m_isOver) {
        return;
    }
    const auto now = clock::now();
    m_request.objectiveDeadline = now;
    m_request.responseDeadline = now;
    decide(now);
}

void gather_request::end(bool shouldCancel)
{
    m_isOver = true;
    m_context.timers.stop(m_timer);
    for (shard_state &shard : m_shards) {
        abandonAttempts(shard, shouldCancel);
    }
}

void gather_request::abandonAttempts(shard_state &shard, bool shouldCancel)
{
    for (const target_attempt_ptr &attempt : shard.attempts) {
        attempt->abandon(shouldCancel);
    }
    shard.attempts.clear();
}

void gather_request::finish(request_outcome outcome, caller_response response)
{
    end(false);
    m_responseHandler(outcome, std::move(response));
}

void gather_request::logMissing()
{
    for (const shard_state &shard : m_shards) {
        if (!shard.isDone) {
            if (shard.attempts.empty() && shard.lastReason == no_replica::AllFull) {
                m_context.metrics.add(std::string("shards_missing_full_total{limit=\"").append(nameOf(shard.lastFullReason)).append("\"}"));
            }
            const std::string target = shard.attempted.sends() == 0 ? "none" : shard.attempted.last();
            logDecision("shard_missing", shard, target, shard.attempts.empty() ? nameOf(shard.lastReason).data() : "late");
        }
    }
}

void gather_request::logDecision(const char *event, const shard_state &shard, const std::string &target, const char *why)
{
    const auto now = clock::now();
    m_context.log.write(event_class::Decision,
                        event_line("query", event)
                            .add("id", m_request.outgoing->requestId())
                            .add("shard", *shard.service)
                            .add("target", target)
                            .add("reason", why)
                            .add("sends", shard.sends)
                            .add("after_ms", std::chrono::duration_cast<std::chrono::microseconds>(now - m_request.arrivedAt))
                            .add("config", m_request.configuration->version()),
                        now);
}

} // namespace balsamhook
