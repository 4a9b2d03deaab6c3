#include "node/forward_request.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A request waits for a target for at most its objective divided by this. A refusal then leaves the caller time for a retry within the objective.
constexpr int ReplicaWaitDivisor = 5;
constexpr std::chrono::milliseconds MinRetryAfter{30};
/// Interval at which a hedge that finds no room is tried again.
constexpr std::chrono::milliseconds HedgePollInterval{30};

} // namespace

forward_request::forward_request(
    node_context &context, target_pool &pool, route_statistics &statistics, incoming_request request, response_handler responseHandler)
    : m_context(context)
    , m_pool(pool)
    , m_statistics(statistics)
    , m_request(std::move(request))
    , m_responseHandler(std::move(responseHandler))
{
    BALSAM_ASSERT(std::holds_alternative<forward_destination>(m_request.matched->destination));
}

bool forward_request::isIdempotent() const
{
    return m_request.matched->repeat == repeat_rule::Idempotent;
}

void forward_request::chooseService()
{
    const auto &services = std::get<forward_destination>(m_request.matched->destination).services;
    double total = 0;
    for (const weighted_service &weighted : services) {
        total += weighted.weight;
    }
    double remaining = m_context.draw() * total;
    m_service = services.back().service;
    for (const weighted_service &weighted : services) {
        if (remaining < weighted.weight) {
            m_service = weighted.service;
            return;
        }
        remaining -= weighted.weight;
    }
}

void forward_request::start()
{
    const auto now = clock::now();
    chooseService();
    m_context.budget.onRequest(m_service, now);
    m_pool.onWanted(m_service, now);
    m_replicaWaitUntil = std::min(m_request.arrivedAt + m_request.matched->objective / ReplicaWaitDivisor, m_request.responseDeadline);
    trySend(false, now);
    schedule(now);
}

void forward_request::trySend(bool isHedge, clock::time_point now)
{
    m_retryAt = clock::time_point::max();
    // A hedge in the last place would have the next request refused for want of room.
    if (isHedge && !m_pool.hasRoomFor(2, m_service, now)) {
        m_hedgeAt = now + HedgePollInterval;
        return;
    }
    const auto links = m_pool.usable(m_service);
    const replica_decision decision = chooseReplica(m_pool.views(links, m_attempted, isHedge, now), m_statistics.latency.median(), now, m_context.draw());
    if (!decision.chosen) {
        if (!isHedge) {
            waitForReplica(decision, now);
        }
        return;
    }
    if (m_hasSent && !m_context.budget.tryAcquire(m_service, isHedge ? HedgeReserve : 0, now)) {
        m_context.metrics.add("sends_over_budget_total");
        if (!isHedge && m_attempts.empty()) {
            respondWithFailure(now);
        }
        return;
    }
    m_wasHedged = m_wasHedged || isHedge;
    send(links[*decision.chosen], isHedge, now);
}

void forward_request::waitForReplica(const replica_decision &decision, clock::time_point now)
{
    m_lastReason = decision.reason;
    m_lastFullReason = decision.fullReason;
    const bool areAllAttempted = decision.reason == no_replica::NoneLeft && !m_attempted.tried.empty();
    clock::time_point expected = now;
    if (decision.reason == no_replica::AllLimited) {
        expected = decision.retryAt;
    } else if (decision.reason != no_replica::AllFull) {
        expected = m_pool.expectedAvailable(m_service, now);
    }
    const clock::time_point nextPoll = areAllAttempted ? clock::time_point::max() : std::max(now + ReplicaPollInterval, expected);
    // A later refusal would leave the caller no time for a retry.
    if (nextPoll > m_replicaWaitUntil) {
        if (m_attempts.empty()) {
            respondWithFailure(now);
        }
        return;
    }
    m_retryAt = nextPoll;
}

void forward_request::send(const target_link_ptr &link, bool isHedge, clock::time_point now)
{
    constexpr double HedgeObjectiveShare = 0.5;
    m_attempted.tried.push_back(link->target.id);
    ++m_sends;
    m_hasSent = true;
    if (isHedge) {
        m_context.metrics.add("hedges_total");
        logDecision("hedge", link->target.id, "late");
    } else if (isIdempotent()) {
        m_hedgeAt = now + hedgeDelay(m_statistics.latency, m_request.matched->objective, HedgeObjectiveShare);
    }
    attempt_options options{m_request.outgoing, m_request.deadline, m_statistics.profile(), isIdempotent(), m_attempted.connections};
    // The handler needs the attempt, which send() returns. It is called from the event loop, so the pointer is set by then.
    const auto sentAttempt = std::make_shared<target_attempt_ptr>();
    *sentAttempt = m_pool.send(link, std::move(options), [self = shared_from_this(), sentAttempt](attempt_result result) {
        const target_attempt_ptr attempt = std::move(*sentAttempt);
        self->onAttemptEnded(attempt, std::move(result));
    });
    m_attempts.push_back(*sentAttempt);
}

void forward_request::onAttemptEnded(const target_attempt_ptr &attempt, attempt_result result)
{
    if (m_isOver) {
        return;
    }
    const auto now = clock::now();
    std::erase(m_attempts, attempt);
    if (result.outcome == attempt_outcome::Success) {
        m_statistics.onResponse(result.duration);
        m_context.crashes.onCompleted(*m_request.outgoing, boot_clock::now());
        forwardResponse(request_outcome::Complete, std::move(result.response));
        return;
    }
    onAttemptFailed(attempt, std::move(result), now);
    if (!m_isOver) {
        schedule(now);
    }
}

void forward_request::onAttemptFailed(const target_attempt_ptr &attempt, attempt_result result, clock::time_point now)
{
    const bool possiblyRan = mayHaveRun(result.outcome);
    m_mayHaveRun = m_mayHaveRun || possiblyRan;
    if (!possiblyRan) {
        --m_sends;
    }
    m_attempted.onOutcome(attempt->link().target.id, result);
    if (result.outcome == attempt_outcome::Unreachable && m_attempts.empty() && m_attempted.sends() == 1) {
        // Nothing was sent yet, so the next send isn't an extra one.
        m_hasSent = false;
    }
    logDecision("attempt_failed", attempt->link().target.id, nameOf(result.outcome));
    const bool isRetryAllowed = mayRetry(result);
    if (result.outcome == attempt_outcome::TargetFailure) {
        m_failure = std::make_unique<http_message>(std::move(result.response));
    }
    if (!m_attempts.empty()) {
        return;
    }
    if (isRetryAllowed) {
        trySend(false, now);
        return;
    }
    respondWithFailure(now);
}

bool forward_request::mayRetry(const attempt_result &result) const
{
    if (!isIdempotent() && mayHaveRun(result.outcome)) {
        return false;
    }
    constexpr unsigned FirstServerError = 500;
    if (result.outcome == attempt_outcome::TargetFailure && result.response.status < FirstServerError) {
        return false;
    }
    return m_sends < m_request.matched->maxAttempts && m_attempted.sends() < m_request.matched->maxAttempts + MaxNotRunRetries;
}

void forward_request::onTimer()
{
    if (m_isOver) {
        return;
    }
    m_timer = 0;
    const auto now = clock::now();
    if (now >= m_request.responseDeadline) {
        respondWithFailure(now);
        return;
    }
    if (m_retryAt <= now) {
        trySend(false, now);
    } else if (m_hedgeAt <= now) {
        m_hedgeAt = clock::time_point::max();
        if (!m_wasHedged && m_sends < m_request.matched->maxAttempts) {
            trySend(true, now);
        }
    }
    if (!m_isOver) {
        schedule(now);
    }
}

void forward_request::schedule(clock::time_point now)
{
    if (m_isOver) {
        return;
    }
    m_context.timers.stop(m_timer);
    const clock::time_point due = std::max(now, std::min({m_request.responseDeadline, m_hedgeAt, m_retryAt}));
    m_timer = m_context.timers.start(due, [self = shared_from_this()] { self->onTimer(); });
}

void forward_request::forwardResponse(request_outcome outcome, http_message message)
{
    caller_response response;
    response.status = message.status;
    response.omitsBody = m_request.omitsBody;
    response.body = std::move(message.body);
    for (header_field &field : message.fields) {
        if (!isHopByHop(field.name) && !isSameName(field.name, "Content-Length")) {
            response.fields.push_back(std::move(field));
        }
    }
    finish(outcome, std::move(response));
}

void forward_request::respondWithFailure(clock::time_point now)
{
    constexpr unsigned BadGateway = 502;
    constexpr unsigned GatewayTimeout = 504;
    const bool isInFlight = std::any_of(m_attempts.begin(), m_attempts.end(), [](const target_attempt_ptr &attempt) { return attempt->wasSent(); });
    if (m_failure) {
        forwardResponse(request_outcome::TargetFailure, std::move(*m_failure));
        return;
    }
    if (m_mayHaveRun || isInFlight) {
        const bool isLate = now >= m_request.responseDeadline;
        finish(isLate ? request_outcome::TimedOut : request_outcome::Lost,
               isLate ? localResponse(GatewayTimeout, "no response in time") : localResponse(BadGateway, "the target's response was lost"));
        return;
    }
    logRefusal(now);
    if (m_lastReason == no_replica::AllFull) {
        m_context.metrics.add(std::string("requests_refused_full_total{limit=\"").append(nameOf(m_lastFullReason)).append("\"}"));
        finish(request_outcome::NotRunFull,
               refusalResponse("all targets are full", std::chrono::duration_cast<std::chrono::milliseconds>(m_statistics.latency.median())));
        return;
    }
    if (m_lastReason == no_replica::AllLimited) {
        const auto untilPermitted = std::chrono::ceil<std::chrono::milliseconds>(m_pool.reserveLimited(m_service, now) - now);
        finish(request_outcome::NotRunLimited,
               refusalResponse("the targets' request limits are reached, or they asked for a pause", std::max(untilPermitted, MinRetryAfter)));
        return;
    }
    const auto untilAvailable = std::chrono::ceil<std::chrono::milliseconds>(m_pool.expectedAvailable(m_service, now) - now);
    finish(request_outcome::NotRunUnavailable, refusalResponse("no target is available", std::max(untilAvailable, MinRetryAfter)));
}

void forward_request::cancel()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_context.timers.stop(m_timer);
    for (const target_attempt_ptr &attempt : m_attempts) {
        // A request that isn't idempotent may be partly executed; the target completes it.
        attempt->abandon(isIdempotent());
    }
    m_attempts.clear();
}

void forward_request::expire()
{
    if (m_isOver) {
        return;
    }
    const auto now = clock::now();
    m_request.responseDeadline = now;
    respondWithFailure(now);
}

void forward_request::finish(request_outcome outcome, caller_response response)
{
    m_isOver = true;
    m_context.timers.stop(m_timer);
    for (const target_attempt_ptr &attempt : m_attempts) {
        attempt->abandon(false);
    }
    m_attempts.clear();
    m_responseHandler(outcome, std::move(response));
}

void forward_request::logRefusal(clock::time_point now)
{
    m_context.log.write(event_class::Decision,
                        event_line("forward", "refused")
                            .add("id", m_request.outgoing->requestId())
                            .add("service", m_service)
                            .add("reason", nameOf(m_lastReason))
                            .add("limit", m_lastReason == no_replica::AllFull ? nameOf(m_lastFullReason) : "none")
                            .add("targets", static_cast<std::uint64_t>(m_pool.usable(m_service).size()))
                            .add("attempted", static_cast<std::uint64_t>(m_attempted.sends()))
                            .add("waited_ms", std::chrono::duration_cast<std::chrono::microseconds>(now - m_request.arrivedAt))
                            .add("config", m_request.configuration->version()),
                        now);
}

void forward_request::logDecision(const char *event, const std::string &target, std::string_view why)
{
    const auto now = clock::now();
    m_context.log.write(event_class::Decision,
                        event_line("forward", event)
                            .add("id", m_request.outgoing->requestId())
                            .add("service", m_service)
                            .add("target", target)
                            .add("reason", why)
                            .add("sends", m_sends)
                            .add("after_ms", std::chrono::duration_cast<std::chrono::microseconds>(now - m_request.arrivedAt))
                            .add("config", m_request.configuration->version()),
                        now);
}

} // namespace balsamhook
