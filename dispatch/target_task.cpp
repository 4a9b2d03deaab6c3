#include "dispatch/target_task.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr std::chrono::seconds StatusPollInterval{1};
constexpr milliseconds StatusTimeout{500};
constexpr milliseconds CancelTimeout{500};
constexpr std::size_t CancelQueueLimit = 256;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGatewayTimeout = 504;
// The target measures the deadline from the arrival of the request. The margin makes it expire there first, so that a slot that is counted
// as free here is also free at the target.
constexpr milliseconds DeadlineMargin{3};

/// Maximum number of concurrent attempts. With two or more connections, one is reserved for status polls and cancellations.
std::uint32_t usableSlots(const target_configuration &target)
{
    const std::uint32_t attemptConnections = target.connections >= 2 ? target.connections - 1 : 1;
    return std::max<std::uint32_t>(1, std::min(target.slots, attemptConnections));
}

std::uint32_t usableColdSlots(const target_configuration &target)
{
    return std::clamp<std::uint32_t>(target.coldSlots, 1, usableSlots(target));
}

template<class Value>
Value fieldOr(const json &object, const char *name, Value defaultValue)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return defaultValue;
    }
    if constexpr (std::is_same_v<Value, std::string>) {
        return found->is_string() ? found->template get<std::string>() : defaultValue;
    } else if constexpr (std::is_same_v<Value, bool>) {
        return found->is_boolean() ? found->template get<bool>() : defaultValue;
    } else {
        return found->is_number_unsigned() ? found->template get<Value>() : defaultValue;
    }
}

snapshot parseSnapshot(const json &object)
{
    return {fieldOr<std::uint64_t>(object, "layout_epoch", 0), fieldOr<std::uint64_t>(object, "index_version", 0)};
}

struct classified_result
{
    attempt_end end = attempt_end::Answered;
    attempt_result result;
    std::string incarnation;
};

classified_result makeFailure(attempt_end end, outcome ended, refusal_reason reason)
{
    classified_result classified;
    classified.end = end;
    classified.result.ended = ended;
    classified.result.reason = reason;
    return classified;
}

classified_result classifyRefusal(const http_response &response, const json &body)
{
    const bool notStarted = body.is_object() && !fieldOr<bool>(body, "started", true);
    if (!notStarted && response.status == StatusGatewayTimeout) {
        return makeFailure(attempt_end::TimedOut, outcome::Unknown, refusal_reason::Timeout);
    }
    if (!notStarted) {
        return makeFailure(attempt_end::Failed, outcome::Unknown, refusal_reason::TargetFailed);
    }
    const auto errorText = fieldOr<std::string>(body, "error", {});
    if (response.status == StatusConflict) {
        return makeFailure(attempt_end::NotStarted, outcome::NotRun, refusal_reason::SnapshotMissing);
    }
    if (errorText == "draining") {
        return makeFailure(attempt_end::NotStarted, outcome::NotRun, refusal_reason::TargetLeaving);
    }
    return makeFailure(attempt_end::Shedding, outcome::NotRun, refusal_reason::TargetShedding);
}

classified_result classify(attempt_kind kind, const http_response &response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (response.status != StatusOk) {
        return classifyRefusal(response, body);
    }
    const char *const payloadName = kind == attempt_kind::Search ? "hits" : "result";
    if (!body.is_object() || !body.contains(payloadName)) {
        return makeFailure(attempt_end::Failed, outcome::Unknown, refusal_reason::TargetFailed);
    }
    classified_result classified;
    classified.result.ended = outcome::Answered;
    classified.result.readFrom = parseSnapshot(body);
    classified.result.payload = body[payloadName].dump(-1, ' ', false, json::error_handler_t::replace);
    classified.incarnation = fieldOr<std::string>(body, "incarnation", {});
    return classified;
}

classified_result classify(const error &sendError, bool sentBytes)
{
    if (!sentBytes) {
        return makeFailure(attempt_end::NotSent, outcome::NotRun, refusal_reason::TargetUnreachable);
    }
    if (sendError.code == error_code::Timeout) {
        return makeFailure(attempt_end::TimedOut, outcome::Unknown, refusal_reason::Timeout);
    }
    return makeFailure(attempt_end::ConnectionLost, outcome::Unknown, refusal_reason::TargetFailed);
}

} // namespace

target_task::target_task(target_environment &environment, const target_configuration &target)
    : m_environment(environment)
    , m_target(target)
    , m_scheduler(usableColdSlots(target), usableSlots(target), environment.queueLimit, boot_clock::now())
    , m_connections(environment.context, target.address, environment.bindAddress, std::max<std::uint32_t>(1, target.connections))
    , m_pollTimer(environment.context)
{
}

void target_task::start()
{
    asio::co_spawn(m_environment.context, pollStatus(shared_from_this()), asio::detached);
}

void target_task::stop()
{
    m_stopped = true;
    m_pollTimer.cancel();
    m_connections.closeAll();
}

void target_task::configure(const target_configuration &target)
{
    BALSAM_ASSERT(target.address == m_target.address);
    m_target = target;
    m_connections.setLimit(std::max<std::uint32_t>(1, target.connections));
    perform(m_scheduler.resize(usableColdSlots(target), usableSlots(target), boot_clock::now()));
}

void target_task::assign()
{
    perform(m_scheduler.assign());
}

void target_task::permit()
{
    const target_state before = state();
    perform(m_scheduler.permit(boot_clock::now()));
    if (before != state()) {
        m_pollTimer.cancel();
    }
}

void target_task::withdraw()
{
    perform(m_scheduler.withdraw());
    closeWhenReleased();
}

void target_task::drain(refusal_reason reason)
{
    perform(m_scheduler.drain(reason));
}

void target_task::resume()
{
    perform(m_scheduler.resume(boot_clock::now()));
}

std::uint64_t target_task::startAttempt(attempt_request request, end_handler onEnded)
{
    const std::uint64_t id = ++m_nextAttempt;
    const auto now = boot_clock::now();
    const auto deadline = request.deadline;
    const bool isQuarantined = m_environment.requestQuarantine.isRefused(request.fingerprint, now);
    m_attempts.emplace(id, running_attempt{std::move(request), std::move(onEnded)});
    if (isQuarantined) {
        endAttempt(id, {outcome::NotRun, refusal_reason::Quarantined});
        return id;
    }
    perform(m_scheduler.admit(id, deadline, now));
    return id;
}

void target_task::cancel(std::uint64_t attempt)
{
    perform(m_scheduler.cancel(attempt));
}

void target_task::advance()
{
    if (m_scheduler.queueLength() > 0) {
        perform(m_scheduler.advance(boot_clock::now()));
    }
}

refusal_reason target_task::stateRefusal() const
{
    return m_scheduler.stateRefusal();
}

target_report target_task::report() const
{
    target_report current;
    current.target = m_target.name;
    current.snapshots = m_snapshots;
    current.usable = m_scheduler.isUsable();
    current.cold = state() != target_state::Warm;
    current.queueLength = static_cast<std::uint32_t>(m_scheduler.queueLength());
    current.slotLimit = m_scheduler.limit();
    current.serviceTimeMicroseconds = m_scheduler.serviceTimes().percentile95().count();
    return current;
}

bool target_task::isActive() const
{
    return m_scheduler.inFlight() > 0 || m_connections.count() > 0;
}

std::size_t target_task::inFlight() const
{
    return m_scheduler.inFlight();
}

target_state target_task::state() const
{
    return m_scheduler.state();
}

const endpoint &target_task::address() const
{
    return m_target.address;
}

std::string target_task::describeJson() const
{
    json snapshots = json::array();
    for (const snapshot &entry : m_snapshots) {
        snapshots.push_back({{"layout_epoch", entry.layoutEpoch}, {"index_version", entry.indexVersion}});
    }
    const json described{{"target", m_target.name},
                         {"address", describe(m_target.address)},
                         {"state", std::string(nameOf(state()))},
                         {"limit", m_scheduler.limit()},
                         {"queue", m_scheduler.queueLength()},
                         {"in_flight", m_scheduler.inFlight()},
                         {"connections", m_connections.count()},
                         {"service_time_us", m_scheduler.serviceTimes().percentile95().count()},
                         {"snapshots", snapshots}};
    return described.dump();
}

void target_task::perform(const target_scheduler::actions &actions)
{
    for (const target_action &action : actions) {
        if (const auto *send = std::get_if<send_attempt>(&action)) {
            asio::co_spawn(m_environment.context, runAttempt(shared_from_this(), send->attempt), asio::detached);
        } else if (const auto *refusal = std::get_if<refuse_attempt>(&action)) {
            endAttempt(refusal->attempt, {outcome::NotRun, refusal->reason});
        } else {
            requestCancel(std::get<cancel_at_target>(action).attempt);
        }
    }
}

void target_task::endAttempt(std::uint64_t attempt, const attempt_result &ended)
{
    const auto found = m_attempts.find(attempt);
    BALSAM_ASSERT(found != m_attempts.end());
    const end_handler onEnded = std::move(found->second.onEnded);
    m_attempts.erase(found);
    m_environment.metrics.add(ended.ended == outcome::Answered     ? "dispatch_attempts_total{outcome=\"answered\"}"
                                  : ended.ended == outcome::NotRun ? "dispatch_attempts_total{outcome=\"not_run\"}"
                                                                   : "dispatch_attempts_total{outcome=\"unknown\"}");
    onEnded(ended);
}

void target_task::finish(std::uint64_t attempt, attempt_end end, const attempt_result &ended)
{
    // Frees the slot first, so that the report sent with the response is up to date.
    const auto actions = m_scheduler.finish(attempt, end, ended.serviceTime, boot_clock::now());
    endAttempt(attempt, ended);
    perform(actions);
    closeWhenReleased();
}

void target_task::recordLostConnection(std::uint64_t attempt)
{
    m_environment.metrics.add("dispatch_connections_lost_total");
    if (!m_scheduler.canAttributeCrash(attempt)) {
        return;
    }
    const target_crash crash{m_attempts.at(attempt).request.fingerprint, m_target.name};
    m_environment.requestQuarantine.recordCrash(crash.fingerprint, crash.target, boot_clock::now());
    m_environment.onCrash(crash);
}

void target_task::addSpan(const attempt_request &request,
                          const trace_context &spanContext,
                          std::chrono::system_clock::time_point start,
                          const attempt_result &ended)
{
    const auto parent = trace_context::parse(request.traceparent);
    span finished;
    finished.traceId = spanContext.traceId;
    finished.spanId = spanContext.spanId;
    finished.parentId = parent ? parent.value().spanId : std::string();
    finished.name = "dispatch.attempt";
    finished.peer = m_target.name;
    finished.outcome = ended.ended == outcome::Answered ? "answered" : ended.ended == outcome::NotRun ? "not_run" : "unknown";
    finished.start = start;
    finished.duration = ended.serviceTime;
    m_environment.spans.add(std::move(finished));
}

void target_task::requestCancel(std::uint64_t attempt)
{
    running_attempt &running = m_attempts.at(attempt);
    if (running.cancelled) {
        return;
    }
    running.cancelled = true;
    if (!running.sent || m_pendingCancels.size() >= CancelQueueLimit) {
        return;
    }
    m_pendingCancels.push_back(m_environment.requestIdPrefix + m_target.name + "-" + std::to_string(attempt));
    if (!m_hasCancelsInFlight) {
        m_hasCancelsInFlight = true;
        asio::co_spawn(m_environment.context, sendCancels(shared_from_this()), asio::detached);
    }
}

void target_task::closeWhenReleased()
{
    if (state() != target_state::Releasing || m_scheduler.inFlight() > 0) {
        return;
    }
    m_connections.closeAll();
    if (m_connections.count() > 0) {
        return;
    }
    m_scheduler.release();
    m_environment.onReleased();
}

http_request target_task::makeRequest(std::uint64_t attempt, const attempt_request &request, const std::optional<trace_context> &spanContext) const
{
    const auto remaining = std::chrono::floor<milliseconds>(request.deadline - boot_clock::now()) - DeadlineMargin;
    http_request outgoing;
    outgoing.method = "POST";
    outgoing.path = request.kind == attempt_kind::Search ? "/search" : "/execute";
    outgoing.body = request.body;
    outgoing.headers["x-request-id"] = m_environment.requestIdPrefix + m_target.name + "-" + std::to_string(attempt);
    outgoing.headers["x-deadline-ms"] = std::to_string(std::max<std::int64_t>(1, remaining.count()));
    if (spanContext) {
        outgoing.headers["traceparent"] = spanContext->header();
    }
    return outgoing;
}

refusal_reason target_task::checkBeforeSend(std::uint64_t attempt) const
{
    if (m_attempts.at(attempt).cancelled) {
        return refusal_reason::Cancelled;
    }
    if (m_attempts.at(attempt).request.deadline <= boot_clock::now()) {
        return refusal_reason::DeadlineTooShort;
    }
    // The state can change while the connection is being opened.
    const refusal_reason refusal = m_scheduler.stateRefusal();
    if (refusal != refusal_reason::None) {
        return refusal;
    }
    return m_environment.isEntitled() ? refusal_reason::None : refusal_reason::NotOwner;
}

asio::awaitable<void> target_task::runAttempt(pointer self, std::uint64_t attempt)
{
    const auto deadline = self->m_attempts.at(attempt).request.deadline;
    if (self->checkBeforeSend(attempt) == refusal_reason::None) {
        const auto acquired = co_await self->m_connections.acquire(deadline);
        if (acquired) {
            co_await self->exchangeAttempt(attempt, acquired.value());
            co_return;
        }
        if (acquired.error().code == error_code::Unreachable) {
            self->m_environment.metrics.add("dispatch_connect_failures_total");
            self->finish(attempt, attempt_end::NotConnected, {outcome::NotRun, refusal_reason::TargetUnreachable});
            co_return;
        }
    }
    const refusal_reason reason = self->checkBeforeSend(attempt);
    const attempt_result ended{outcome::NotRun, reason == refusal_reason::None ? refusal_reason::DeadlineTooShort : reason};
    self->finish(attempt, attempt_end::NotSent, ended);
}

asio::awaitable<void> target_task::exchangeAttempt(std::uint64_t attempt, http_connection::pointer connection)
{
    const attempt_request request = m_attempts.at(attempt).request;
    const auto parent = trace_context::parse(request.traceparent);
    const std::optional<trace_context> spanContext = parent ? std::optional(parent.value().child()) : std::nullopt;
    http_request outgoing = makeRequest(attempt, request, spanContext);
    const auto timeout = std::chrono::ceil<milliseconds>(request.deadline - boot_clock::now());
    const refusal_reason refusal = checkBeforeSend(attempt);
    if (refusal != refusal_reason::None) {
        m_connections.release(connection);
        const attempt_result ended{outcome::NotRun, refusal};
        finish(attempt, attempt_end::NotSent, ended);
        co_return;
    }
    m_attempts.at(attempt).sent = true;
    const auto start = std::chrono::system_clock::now();
    const auto sentAt = boot_clock::now();
    const auto response = co_await connection->exchange(std::move(outgoing), timeout);
    classified_result classified = response ? classify(request.kind, response.value()) : classify(response.error(), connection->hasSentBytes());
    classified.result.serviceTime = std::chrono::duration_cast<microseconds>(boot_clock::now() - sentAt);
    if (classified.result.ended == outcome::Unknown && m_attempts.at(attempt).cancelled) {
        classified.result.reason = refusal_reason::Cancelled;
    }
    if (classified.end == attempt_end::ConnectionLost) {
        recordLostConnection(attempt);
    }
    m_connections.release(connection);
    if (!response && classified.end == attempt_end::TimedOut) {
        // The same fault may affect the idle connections; a new connection shows whether the target still responds.
        m_connections.closeIdleSince(sentAt);
    }
    if (spanContext) {
        addSpan(request, *spanContext, start, classified.result);
    }
    perform(m_scheduler.recordIncarnation(classified.incarnation, boot_clock::now()));
    finish(attempt, classified.end, classified.result);
}

asio::awaitable<void> target_task::sendCancels(pointer self)
{
    while (!self->m_pendingCancels.empty()) {
        const std::vector<std::string> ids = std::exchange(self->m_pendingCancels, {});
        const auto acquired = co_await self->m_connections.acquire(boot_clock::now() + CancelTimeout);
        if (!acquired) {
            continue;
        }
        for (const std::string &id : ids) {
            if (!self->m_environment.isEntitled()) {
                break;
            }
            http_request request;
            request.method = "POST";
            request.path = "/cancel";
            request.body = json{{"request_id", id}}.dump();
            const auto response = co_await acquired.value()->exchange(std::move(request), CancelTimeout);
            self->m_environment.metrics.add(response ? "dispatch_cancels_total" : "dispatch_cancel_failures_total");
            if (!response) {
                break;
            }
        }
        self->m_connections.release(acquired.value());
    }
    self->m_hasCancelsInFlight = false;
    self->closeWhenReleased();
}

asio::awaitable<void> target_task::pollStatus(pointer self)
{
    while (!self->m_stopped) {
        const bool isOwned
            = self->state() != target_state::NotOwned && self->state() != target_state::AwaitingTakeover && self->state() != target_state::Releasing;
        if (isOwned && self->m_environment.isEntitled()) {
            co_await self->checkOldestConnection();
            co_await self->openMissingConnections();
        }
        self->closeWhenReleased();
        boost::system::error_code ignored;
        self->m_pollTimer.expires_after(StatusPollInterval);
        co_await self->m_pollTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> target_task::checkOldestConnection()
{
    // Continues after a failed check, so that dead connections don't accumulate.
    while (const http_connection::pointer connection = m_connections.acquireOldest()) {
        const bool isHealthy = co_await checkConnection(connection);
        m_connections.release(connection);
        if (isHealthy) {
            co_return;
        }
        m_environment.metrics.add("dispatch_idle_connections_lost_total");
    }
}

asio::awaitable<void> target_task::openMissingConnections()
{
    while (m_connections.count() < desiredConnections() && !m_stopped && state() != target_state::Releasing) {
        const auto opened = co_await m_connections.open(StatusTimeout);
        if (!opened) {
            const bool countsAsFailure = opened.error().code != error_code::Overloaded;
            perform(countsAsFailure ? m_scheduler.recordConnect(false, boot_clock::now()) : target_scheduler::actions());
            co_return;
        }
        perform(m_scheduler.recordConnect(true, boot_clock::now()));
        // The first exchange on a connection is slower, so a status request is sent before an attempt uses the connection.
        const bool isHealthy = co_await checkConnection(opened.value());
        m_connections.release(opened.value());
        if (!isHealthy) {
            co_return;
        }
    }
}

asio::awaitable<bool> target_task::checkConnection(http_connection::pointer connection)
{
    http_request request;
    request.path = "/status";
    const auto response = co_await connection->exchange(std::move(request), StatusTimeout);
    if (!response) {
        co_return false;
    }
    if (response.value().status == StatusOk) {
        applyStatus(response.value().body);
    }
    co_return true;
}

void target_task::applyStatus(const std::string &body)
{
    const json status = json::parse(body, nullptr, false);
    if (!status.is_object()) {
        m_environment.metrics.add("dispatch_bad_statuses_total");
        return;
    }
    const auto now = boot_clock::now();
    perform(m_scheduler.recordIncarnation(fieldOr<std::string>(status, "incarnation", {}), now));
    m_scheduler.recordStatus(fieldOr<std::string>(status, "state", {}) == "cold", now);
    const auto snapshots = status.find("snapshots");
    if (snapshots == status.end() || !snapshots->is_array()) {
        return;
    }
    m_snapshots.clear();
    for (const json &entry : *snapshots) {
        if (entry.is_object()) {
            m_snapshots.push_back(parseSnapshot(entry));
        }
    }
    std::sort(m_snapshots.begin(), m_snapshots.end());
}

std::size_t target_task::desiredConnections() const
{
    const std::size_t reserved = m_target.connections >= 2 ? 1 : 0;
    return std::min<std::size_t>(usableSlots(m_target) + reserved, std::max<std::uint32_t>(1, m_target.connections));
}

} // namespace balsamhook
