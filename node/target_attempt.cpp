#include "node/target_attempt.h"

#include "node/target_liveness.h"
#include "platform/platform.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ConnectTimeout{250};
/// Maximum idle time of a connection for a request that isn't idempotent: the target may have dropped an older one unnoticed.
constexpr std::chrono::milliseconds MaxIdleNonIdempotent{1500};
/// The connection of an abandoned request is closed this long after the deadline that the target was sent.
constexpr std::chrono::milliseconds AbandonSlack{100};
/// Time without new connections to a target after it reset one, while others are open.
constexpr std::chrono::milliseconds ConnectionLimitBackoff{500};
constexpr unsigned Misdirected = 421; ///< The address belongs to another target.

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool hasOneSignature(const http_message &response)
{
    const auto isNamed = [](const header_field &field) { return isSameName(field.name, platform_header::Signature); };
    const std::string *signature = response.find(platform_header::Signature);
    return signature != nullptr && isSignature(*signature) && std::count_if(response.fields.begin(), response.fields.end(), isNamed) == 1;
}

} // namespace

std::string_view nameOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Success:
        return "success";
    case attempt_outcome::TargetFailure:
        return "target_failure";
    case attempt_outcome::NotRun:
        return "not_run";
    case attempt_outcome::Unreachable:
        return "unreachable";
    case attempt_outcome::Lost:
        return "lost";
    }
    return "unknown";
}

bool mayHaveRun(attempt_outcome outcome)
{
    return outcome != attempt_outcome::Unreachable && outcome != attempt_outcome::NotRun;
}

void attempted_targets::onOutcome(const std::string &targetId, const attempt_result &result)
{
    if (result.connection != 0) {
        connections.push_back(result.connection);
    }
    const bool isRetryable = result.outcome == attempt_outcome::NotRun && result.response.status != Misdirected;
    if (isRetryable) {
        std::erase(tried, targetId);
        refused.push_back(targetId);
    }
}

std::size_t attempted_targets::sends() const
{
    return tried.size() + refused.size();
}

std::string attempted_targets::last() const
{
    if (!tried.empty()) {
        return tried.back();
    }
    return refused.empty() ? std::string() : refused.back();
}

target_attempt::target_attempt(node_context &context, target_link_ptr link, attempt_options options, handler done)
    : m_context(context)
    , m_link(std::move(link))
    , m_options(std::move(options))
    , m_done(std::move(done))
{
}

const target_link &target_attempt::link() const
{
    return *m_link;
}

bool target_attempt::wasSent() const
{
    return m_wasSent;
}

void target_attempt::start()
{
    m_startedAt = steady::now();
    m_link->health.onSent(m_startedAt);
    if (auto connection = takeIdleConnection(m_startedAt)) {
        send(std::move(connection), true);
        return;
    }
    openConnection();
}

std::shared_ptr<target_connection> target_attempt::takeIdleConnection(steady::time_point now)
{
    auto &idle = m_link->idle;
    std::shared_ptr<target_connection> taken;
    for (std::size_t i = idle.size(); i > 0 && !taken; --i) {
        const auto connection = idle[i - 1];
        if (wasUsed(*connection)) {
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        const bool isFresh = m_options.isIdempotent || now - connection->idleSince() < MaxIdleNonIdempotent;
        if (connection->isReusable(now) && isFresh) {
            taken = connection;
        } else {
            connection->close();
            --m_link->connections;
        }
    }
    return taken;
}

bool target_attempt::wasUsed(const target_connection &connection) const
{
    const auto &used = m_options.usedConnections;
    return std::find(used.begin(), used.end(), connection.number()) != used.end();
}

void target_attempt::closeUsedConnections()
{
    std::erase_if(m_link->idle, [this](const std::shared_ptr<target_connection> &connection) {
        if (!wasUsed(*connection)) {
            return false;
        }
        connection->close();
        --m_link->connections;
        return true;
    });
}

void target_attempt::openConnection()
{
    // A new connection takes the place of those that only the earlier sends of this request keep from being used.
    closeUsedConnections();
    ++m_link->connections;
    m_context.metrics.add("target_connections_opened_total");
    m_connection = std::make_shared<target_connection>(m_context.io, m_link->target.address, ResponseLimits, &m_context.responses);
    m_timer = m_context.timers.start(m_startedAt + ConnectTimeout, [self = shared_from_this()] {
        self->m_timer = 0;
        self->onOpenFailed();
    });
    m_connection->open([self = shared_from_this()](bool isOpen) {
        self->m_context.timers.stop(self->m_timer);
        if (self->m_isOver) {
            return;
        }
        if (!isOpen) {
            self->m_context.crashes.onTargetDown(self->m_link->target.id, boot_clock::now());
            self->onOpenFailed();
            return;
        }
        self->m_context.dataCentres.onActivity(self->m_link->target.dataCentre, steady::now());
        self->send(std::move(self->m_connection), false);
    });
}

void target_attempt::onOpenFailed()
{
    m_link->health.onUnreachable(steady::now());
    release(false);
    finish({attempt_outcome::Unreachable, {}, {}});
}

void target_attempt::send(std::shared_ptr<target_connection> connection, bool isReused)
{
    m_connection = std::move(connection);
    m_connectionNumber = m_connection->number();
    m_isReused = isReused;
    m_wasSent = true;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.deadline - steady::now());
    const outgoing_request &request = *m_options.request;
    m_connection->exchange(request.serialize(m_link->target.id, left),
                           request.requestId(),
                           request.expectsBody(),
                           [self = shared_from_this()](exchange_result exchanged) { self->onExchanged(std::move(exchanged)); });
}

attempt_outcome target_attempt::classify(const exchange_result &exchanged) const
{
    if (exchanged.outcome == exchange_outcome::NotSent) {
        return attempt_outcome::Unreachable;
    }
    if (exchanged.outcome == exchange_outcome::Lost) {
        return attempt_outcome::Lost;
    }
    const http_message &response = exchanged.response;
    if (response.status == Misdirected || response.find(platform_header::NotRun) != nullptr) {
        return attempt_outcome::NotRun;
    }
    if (!isSuccess(response.status)) {
        return attempt_outcome::TargetFailure;
    }
    const std::string *id = response.find(platform_header::RequestId);
    const bool hasMatchingId = id != nullptr && *id == m_options.request->requestId();
    const bool isUsable = hasOneSignature(response) && response.find("Content-Encoding") == nullptr;
    return hasMatchingId && isUsable ? attempt_outcome::Success : attempt_outcome::Lost;
}

void target_attempt::updateHealth(attempt_outcome outcome, const exchange_result &exchanged, steady::time_point now)
{
    constexpr unsigned GatewayTimeout = 504;
    constexpr unsigned ServerError = 500;
    target_health &health = m_link->health;
    const bool wasDropped = outcome == attempt_outcome::Lost && exchanged.wasDisconnected && !exchanged.hasReceivedBytes;
    // A target may close idle connections at any time, so this doesn't count as a failure.
    const bool wasIdleConnectionClosed = wasDropped && m_isReused;
    // A target at its connection limit resets new connections.
    const bool wasOverLimit = wasDropped && !m_isReused;
    switch (outcome) {
    case attempt_outcome::Success:
        health.onResponse(m_startedAt, now, m_options.usual);
        break;
    case attempt_outcome::TargetFailure:
        if (exchanged.response.status >= ServerError && exchanged.response.status != GatewayTimeout) {
            health.onFailed(m_startedAt, now);
        } else {
            health.onAbandoned(m_startedAt, now, m_options.usual);
        }
        break;
    case attempt_outcome::NotRun:
        if (exchanged.response.status == Misdirected) {
            health.onFailed(m_startedAt, now);
        } else {
            health.onRefused(m_startedAt, now);
        }
        break;
    case attempt_outcome::Unreachable:
    case attempt_outcome::Lost:
        if (wasIdleConnectionClosed) {
            health.onDiscarded(m_startedAt);
        } else if (wasOverLimit) {
            health.onRefused(m_startedAt, now);
            m_link->connectBackoffUntil = now + ConnectionLimitBackoff;
        } else {
            health.onFailed(m_startedAt, now);
        }
        break;
    }
}

void target_attempt::updateLimit(attempt_outcome outcome, const exchange_result &exchanged, steady::time_point now)
{
    if (exchanged.outcome != exchange_outcome::Completed) {
        return;
    }
    const std::string &target = m_link->target.id;
    const std::string *named = exchanged.response.find(platform_header::RequestLimit);
    if (named == nullptr) {
        if (outcome == attempt_outcome::Success) {
            m_context.limits.onNotNamed(target, m_startedAt, now);
        }
        return;
    }
    if (const auto perSecond = decodeRequestLimit(*named)) {
        m_context.limits.onNamed(target, *perSecond, now);
    } else {
        m_context.metrics.add("target_limits_malformed_total");
    }
}

void target_attempt::updateNotices(const exchange_result &exchanged, steady::time_point now)
{
    constexpr unsigned ServiceUnavailable = 503;
    // Another target at the address speaks for itself only.
    if (exchanged.outcome != exchange_outcome::Completed || exchanged.response.status == Misdirected) {
        return;
    }
    const registered_target &target = m_link->target;
    const std::string *leaving = exchanged.response.find(platform_header::Leaving);
    if (leaving != nullptr && *leaving == "1" && m_context.notices.onLeaving(processOf(target))) {
        closeIdleConnections(*m_link);
        m_context.log.write(event_class::StateChange, event_line("targets", "leaving").add("target", target.id).add("id", m_options.request->requestId()), now);
    }
    const std::string *pause = exchanged.response.status == ServiceUnavailable ? exchanged.response.find(platform_header::Pause) : nullptr;
    if (pause == nullptr) {
        return;
    }
    if (const auto duration = decodePause(*pause)) {
        m_context.notices.onPause(processOf(target), now + *duration);
        m_context.metrics.add("target_pauses_total");
        m_context.log.write(event_class::Decision,
                            event_line("targets", "pause")
                                .add("target", target.id)
                                .add("id", m_options.request->requestId())
                                .add("pause_ms", std::chrono::microseconds(*duration)),
                            now);
    } else {
        m_context.metrics.add("target_pauses_malformed_total");
    }
}

void target_attempt::onExchanged(exchange_result exchanged)
{
    if (m_isOver) {
        return;
    }
    const auto now = steady::now();
    const attempt_outcome outcome = classify(exchanged);
    updateHealth(outcome, exchanged, now);
    updateLimit(outcome, exchanged, now);
    updateNotices(exchanged, now);
    // A connection end doesn't prove that the data centre is reachable: TCP keep-alive and TCP_USER_TIMEOUT also end connections during a network partition.
    if (exchanged.outcome == exchange_outcome::Completed) {
        m_context.dataCentres.onActivity(m_link->target.dataCentre, now);
    }
    if (outcome == attempt_outcome::Lost && exchanged.wasClosedByTarget && !exchanged.hasReceivedBytes) {
        m_context.crashes.onConnectionLost(m_link->target.id, *m_options.request, boot_clock::now());
        checkLiveness(m_context, m_link);
    }
    if (exchanged.hadNoRoom) {
        m_context.metrics.add("responses_without_room_total");
        m_context.log.write(event_class::Decision,
                            event_line("targets", "response_without_room")
                                .add("target", m_link->target.id)
                                .add("id", m_options.request->requestId())
                                .add("held_bytes", static_cast<std::uint64_t>(m_context.responses.used())),
                            now);
    }
    m_context.metrics.add(std::string("attempts_total{outcome=\"").append(nameOf(outcome)).append("\"}"));
    m_context.timers.stop(m_timer);
    release(true);
    attempt_result result;
    result.outcome = outcome;
    result.connection = m_connectionNumber;
    result.response = std::move(exchanged.response);
    result.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - m_startedAt);
    finish(std::move(result));
}

void target_attempt::release(bool keep)
{
    const auto connection = std::move(m_connection);
    m_connection = nullptr;
    if (!connection) {
        return;
    }
    const bool isLeaving = m_context.notices.isLeaving(processOf(m_link->target));
    if (!keep || m_link->isRemoved || isLeaving || !connection->isReusable(steady::now())) {
        connection->close();
        --m_link->connections;
        return;
    }
    addIdleConnection(m_link, connection);
}

void target_attempt::finish(attempt_result result)
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    if (!m_wasSent) {
        // Nothing was sent, and onOpenFailed() has updated the target's health; this only removes the request from those in flight.
        m_link->health.onDiscarded(m_startedAt);
    }
    const handler done = std::move(m_done);
    m_done = nullptr;
    if (done) {
        done(std::move(result));
    }
}

void target_attempt::abandon(bool shouldCancel)
{
    if (m_isOver) {
        return;
    }
    m_done = nullptr;
    const auto now = steady::now();
    if (shouldCancel || !m_wasSent) {
        m_isOver = true;
        m_context.timers.stop(m_timer);
        m_link->health.onAbandoned(m_startedAt, now, m_options.usual);
        release(false);
        return;
    }
    m_timer = m_context.timers.start(m_options.deadline + AbandonSlack, [self = shared_from_this()] {
        self->m_timer = 0;
        self->abandon(true);
    });
}

} // namespace balsamhook
