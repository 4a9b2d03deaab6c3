#include "node/caller_service.h"

#include "http/socket_options.h"
#include "node/forward_request.h"
#include "node/gather_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

/// Assumed network time of request and response between caller and instance, which this process can't measure.
constexpr std::chrono::milliseconds CallerPathTime{12};
/// Additional round trip of the caller to open a new connection before its first request.
constexpr std::chrono::milliseconds NewConnectionTime{7};
/// The response is sent this long before the caller's timeout.
constexpr std::chrono::milliseconds ResponseMargin{12};
/// Retry-After during the startup period: a process reads the catalogue within this time after its start.
constexpr std::chrono::milliseconds StartupRetryAfter{120};
/// Retry-After when no configuration is known after the startup period, because the store is unreachable.
constexpr std::chrono::milliseconds StoreUnreachableRetryAfter{1000};
constexpr std::chrono::milliseconds StartupPeriod{1500};
/// A query whose caller timeout is shorter than the longest one on its route by more than this is taken for a retry by the caller.
constexpr std::chrono::milliseconds RetryDetectionSlack{60};
/// Retry-After of refused queries is spread over 1 to 1 + RetryAfterSpread times their objective.
constexpr double RetryAfterSpread = 3;
constexpr std::uint64_t MinResponses = 32; ///< New responses between two updates of a latency baseline.

/// Updates the cumulative histogram of the time from a request's arrival to its end.
void recordLatency(counters &metrics, std::chrono::steady_clock::duration latency)
{
    constexpr std::array<int, 10> BoundsMilliseconds{10, 25, 50, 75, 100, 150, 250, 500, 1000, 2500};
    for (const int bound : BoundsMilliseconds) {
        if (latency <= std::chrono::milliseconds(bound)) {
            metrics.add("request_latency_ms_bucket{le=\"" + std::to_string(bound) + "\"}");
        }
    }
    metrics.add("request_latency_ms_bucket{le=\"+Inf\"}");
    metrics.add("request_latency_ms_sum", std::chrono::duration_cast<std::chrono::milliseconds>(latency).count());
}

std::optional<std::chrono::milliseconds> callerTimeoutOf(const http_message &message)
{
    const std::string *text = message.find(platform_header::Deadline);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc() || value <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

caller_service::caller_service(node_context &context, target_pool &pool)
    : m_context(context)
    , m_pool(pool)
    , m_acceptor(context.io)
{
}

result<void> caller_service::listen()
{
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, m_context.settings.callers, connection_account::ReceiveBufferBytes));
    accept();
    return success();
}

void caller_service::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &failed, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!failed) {
            serve(std::move(socket));
            accept();
            return;
        }
        constexpr std::chrono::milliseconds DelayAfterError{50};
        m_context.timers.start(clock::now() + DelayAfterError, [this] { accept(); });
    });
}

void caller_service::serve(asio::ip::tcp::socket socket)
{
    connection_account::entry_pointer entry = m_context.connections.admit();
    if (!entry) {
        m_context.metrics.add("caller_connections_refused_total");
        return;
    }
    caller_connection::settings values;
    const caller_limits limits = m_configuration ? m_configuration->limits() : caller_limits();
    values.limits = {limits.headerBytes, limits.bodyBytes};
    values.headerTimeout = limits.headerTimeout;
    values.idleTimeout = limits.idleTimeout;
    caller_connection::handlers handlers;
    handlers.onRequest = [this](const caller_connection::pointer &connection, http_message message) { onRequest(connection, std::move(message)); };
    handlers.onDisconnected = [this](const caller_connection::pointer &connection) { onDisconnected(connection); };
    handlers.onClosed = [this](const caller_connection::pointer &connection) { m_connections.erase(connection.get()); };
    handlers.onRejected = [this](unsigned status) { recordRejection(status); };
    auto connection = std::make_shared<caller_connection>(std::move(socket), m_context.timers, values, std::move(handlers), std::move(entry));
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

void caller_service::recordRejection(unsigned status)
{
    constexpr unsigned ServiceUnavailable = 503;
    if (status == ServiceUnavailable) {
        m_context.metrics.add("requests_refused_total{reason=\"no_memory\"}");
        m_context.log.write(event_class::Decision, event_line("callers", "refused").add("reason", "no_memory").add("status", status), clock::now());
        return;
    }
    m_context.metrics.add("caller_requests_malformed_total{status=\"" + std::to_string(status) + "\"}");
    m_context.log.write(event_class::Decision, event_line("callers", "request_malformed").add("status", status), clock::now());
}

void caller_service::setConfiguration(std::shared_ptr<const routing_configuration> configuration)
{
    m_configuration = std::move(configuration);
    if (!m_configuration) {
        return;
    }
    m_minQueryPriority = std::numeric_limits<unsigned>::max();
    for (const route &configuredRoute : m_configuration->routes()) {
        if (std::holds_alternative<gather_destination>(configuredRoute.destination)) {
            m_minQueryPriority = std::min(m_minQueryPriority, configuredRoute.priority);
        }
    }
}

void caller_service::updateConcurrencyLimit()
{
    const auto now = clock::now();
    bool isOverloaded = false;
    for (auto &[name, statistics] : m_statistics) {
        // The median of few or old responses doesn't reflect the current load.
        if (statistics.responses - statistics.responsesEvaluated < MinResponses) {
            continue;
        }
        statistics.responsesEvaluated = statistics.responses;
        statistics.unqueued.observe(statistics.latency, statistics.objective, now);
        statistics.baseline.observe(statistics.latency, now);
        isOverloaded = isOverloaded || (statistics.isGather && statistics.baseline.isOverloaded(statistics.objective));
    }
    const bool wasLimited = m_queryLimiter.isLimited();
    m_queryLimiter.adjust(isOverloaded);
    if (m_queryLimiter.isLimited() != wasLimited) {
        m_context.log.write(
            event_class::StateChange, event_line("callers", wasLimited ? "load_normal" : "overloaded").add("limit", m_queryLimiter.limit()), now);
    }
}

void caller_service::setRequestListener(std::function<void()> handler)
{
    m_requestListener = std::move(handler);
}

void caller_service::onRequest(const caller_connection::pointer &connection, http_message message)
{
    m_requestListener();
    const std::string *host = message.find("Host");
    const std::string path = message.target.substr(0, message.target.find('?'));
    const route *matched = m_configuration && host != nullptr ? m_configuration->findRoute(*host, path) : nullptr;
    if (refuseIfUnroutable(connection, message, matched)) {
        return;
    }
    route_statistics &statistics = statisticsOf(*matched);
    incoming_request request = makeIncomingRequest(message, *matched, statistics);
    if (connection->requestsRead() == 1) {
        request.objectiveDeadline -= NewConnectionTime;
    }
    const auto refusedFor = m_context.crashes.refusedFor(*request.outgoing, boot_clock::now());
    if (refusedFor.count() > 0) {
        respondLocally(connection,
                       refusalResponse("request is quarantined: targets crashed while running it", refusedFor),
                       "crashes_targets",
                       request.outgoing->requestId());
        return;
    }
    if (refuseIfLeaving(connection, request, statistics) || refuseIfOverloaded(connection, request, statistics)) {
        return;
    }
    run(connection, std::move(request), statistics);
}

bool caller_service::refuseIfOverloaded(const caller_connection::pointer &connection, const incoming_request &request, const route_statistics &statistics)
{
    if (!std::holds_alternative<gather_destination>(request.matched->destination)) {
        return false;
    }
    const auto callerTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.arrivedAt);
    const bool isRetry = callerTimeout + RetryDetectionSlack < std::min(statistics.maxCallerTimeout, request.matched->timeout);
    if (m_queryLimiter.admits({request.matched->priority <= m_minQueryPriority, isRetry})) {
        return false;
    }
    // A random delay keeps refused callers from retrying at the same time.
    const double retryAfterMilliseconds = static_cast<double>(request.matched->objective.count()) * (1 + RetryAfterSpread * m_context.draw());
    caller_response response
        = refusalResponse("targets are overloaded; query limit reached", std::chrono::milliseconds(static_cast<std::int64_t>(retryAfterMilliseconds)));
    m_context.metrics.add(std::string("requests_total{outcome=\"").append(nameOf(request_outcome::NotRunOverload)).append("\"}"));
    m_context.log.write(event_class::Decision,
                        event_line("callers", "refused")
                            .add("id", request.outgoing->requestId())
                            .add("reason", nameOf(request_outcome::NotRunOverload))
                            .add("limit", m_queryLimiter.limit())
                            .add("caller_retry", isRetry)
                            .add("priority", request.matched->priority)
                            .add("config", request.configuration->version())
                            .add("status", response.status),
                        clock::now());
    connection->respond(std::move(response), m_stopPlan.has_value());
    return true;
}

bool caller_service::refuseIfLeaving(const caller_connection::pointer &connection, const incoming_request &request, const route_statistics &statistics)
{
    if (!m_stopPlan) {
        return false;
    }
    // A query is usually answered with the parts that are in by the objective.
    const bool isGather = std::holds_alternative<gather_destination>(request.matched->destination);
    const std::chrono::microseconds usual = isGather ? std::chrono::microseconds(request.matched->objective) : statistics.latency.percentile90();
    const bool isIdempotent = request.matched->repeat == repeat_rule::Idempotent;
    if (m_stopPlan->admits(request.arrivedAt, {request.responseDeadline, usual, isIdempotent})) {
        return false;
    }
    respondLocally(connection, refusalResponse("instance is shutting down", m_leavingRetryAfter()), "leaving", request.outgoing->requestId());
    return true;
}

bool caller_service::refuseIfUnroutable(const caller_connection::pointer &connection, const http_message &message, const route *matched)
{
    constexpr unsigned BadRequest = 400;
    constexpr unsigned NotFound = 404;
    const std::string *requestId = message.find(platform_header::RequestId);
    const std::string id = requestId == nullptr ? std::string() : *requestId;
    if (!m_configuration) {
        const bool isStarting = clock::now() - m_startedAt < StartupPeriod;
        respondLocally(connection,
                       refusalResponse("no configuration is available yet", isStarting ? StartupRetryAfter : StoreUnreachableRetryAfter),
                       "no_configuration",
                       id);
        return true;
    }
    if (message.find("Host") == nullptr) {
        respondLocally(connection, localResponse(BadRequest, "header Host is missing"), "no_host", id);
        return true;
    }
    if (matched == nullptr) {
        respondLocally(connection, localResponse(NotFound, "no route for this host and path"), "no_route", id);
        return true;
    }
    if (id.empty()) {
        respondLocally(connection, localResponse(BadRequest, "header Request-Id is missing"), "no_request_id", id);
        return true;
    }
    return false;
}

route_statistics &caller_service::statisticsOf(const route &matched)
{
    // An eighth of the objective is the assumed latency of targets until responses are measured.
    constexpr int InitialLatencyDivisor = 8;
    const auto initialLatency = std::chrono::duration_cast<std::chrono::microseconds>(matched.objective) / InitialLatencyDivisor;
    route_statistics &statistics
        = m_statistics.try_emplace(matched.name, route_statistics{latency_window(initialLatency), unqueued_latency(initialLatency)}).first->second;
    statistics.objective = matched.objective;
    statistics.isGather = std::holds_alternative<gather_destination>(matched.destination);
    return statistics;
}

incoming_request caller_service::makeIncomingRequest(const http_message &message, const route &matched, route_statistics &statistics) const
{
    incoming_request request;
    request.outgoing = std::make_shared<const outgoing_request>(message);
    request.configuration = m_configuration;
    request.matched = &matched;
    request.arrivedAt = clock::now();
    request.omitsBody = message.method == "HEAD";
    const std::chrono::milliseconds callerTimeout = callerTimeoutOf(message).value_or(matched.timeout);
    statistics.maxCallerTimeout = std::max(statistics.maxCallerTimeout, callerTimeout);
    // A retry by the caller arrives with a shorter deadline; the objective counts from the first request.
    const std::chrono::milliseconds elapsedBefore = statistics.maxCallerTimeout - callerTimeout;
    // Targets stop at the route's timeout as well, because a later response is discarded.
    request.deadline = request.arrivedAt + std::min(callerTimeout, matched.timeout);
    request.responseDeadline = std::min(request.arrivedAt + callerTimeout - ResponseMargin, request.arrivedAt + matched.timeout);
    request.objectiveDeadline = request.arrivedAt + matched.objective - elapsedBefore - CallerPathTime;
    return request;
}

void caller_service::run(const caller_connection::pointer &connection, incoming_request request, route_statistics &statistics)
{
    const bool isGather = std::holds_alternative<gather_destination>(request.matched->destination);
    running_request running{request.outgoing->requestId(), request.matched->name, request.configuration->version(), isGather, request.arrivedAt, {}, {}};
    const response_handler responseHandler
        = [this, connection](request_outcome outcome, caller_response response) { respond(connection, outcome, std::move(response)); };
    const auto start = [&](auto started) {
        running.cancel = [started] { started->cancel(); };
        running.expire = [started] { started->expire(); };
        m_running.insert_or_assign(connection.get(), std::move(running));
        started->start();
    };
    if (isGather) {
        m_queryLimiter.onStart();
        start(std::make_shared<gather_request>(m_context, m_pool, statistics, std::move(request), responseHandler));
    } else {
        start(std::make_shared<forward_request>(m_context, m_pool, statistics, std::move(request), responseHandler));
    }
}

void caller_service::respond(const caller_connection::pointer &connection, request_outcome outcome, caller_response response)
{
    const auto found = m_running.find(connection.get());
    BALSAM_ASSERT(found != m_running.end());
    // The entry holds a reference to the request object, which is still on the call stack, so it must exist until the end of this function.
    const running_request ended = std::move(found->second);
    m_running.erase(found);
    recordEnd(ended, outcome, response.status);
    connection->respond(std::move(response), m_stopPlan.has_value());
}

void caller_service::respondLocally(const caller_connection::pointer &connection, caller_response response, std::string_view reason, std::string_view requestId)
{
    m_context.metrics.add(std::string("requests_refused_total{reason=\"").append(reason).append("\"}"));
    m_context.log.write(
        event_class::Decision, event_line("callers", "refused").add("id", requestId).add("reason", reason).add("status", response.status), clock::now());
    connection->respond(std::move(response), m_stopPlan.has_value());
}

void caller_service::recordEnd(const running_request &ended, request_outcome outcome, unsigned status)
{
    const auto now = clock::now();
    if (ended.isGather) {
        m_queryLimiter.onEnd();
    }
    const bool isRoutine = outcome == request_outcome::Complete;
    m_context.metrics.add(std::string("requests_total{outcome=\"").append(nameOf(outcome)).append("\"}"));
    recordLatency(m_context.metrics, now - ended.arrivedAt);
    m_context.log.write(isRoutine ? event_class::Routine : event_class::Decision,
                        event_line("callers", "request_end")
                            .add("id", ended.id)
                            .add("route", ended.routeName)
                            .add("config", ended.configurationVersion)
                            .add("outcome", nameOf(outcome))
                            .add("status", status)
                            .add("ms", std::chrono::duration_cast<std::chrono::microseconds>(now - ended.arrivedAt)),
                        now);
}

void caller_service::onDisconnected(const caller_connection::pointer &connection)
{
    const auto found = m_running.find(connection.get());
    if (found == m_running.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    m_running.erase(found);
    ended.cancel();
    recordEnd(ended, request_outcome::CallerLeft, 0);
}

void caller_service::startLeaving(const stop_plan &plan, std::function<std::chrono::milliseconds()> retryAfter)
{
    BALSAM_ASSERT(!m_stopPlan);
    m_stopPlan = plan;
    m_leavingRetryAfter = std::move(retryAfter);
}

void caller_service::closeIdleConnections()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::vector<caller_connection::pointer> open;
    open.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        open.push_back(connection);
    }
    for (const caller_connection::pointer &connection : open) {
        connection->closeWhenIdle();
    }
}

void caller_service::endRequests()
{
    BALSAM_ASSERT(m_stopPlan.has_value());
    std::vector<std::function<void()>> pending;
    pending.reserve(m_running.size());
    for (const auto &[connection, running] : m_running) {
        pending.push_back(running.expire);
    }
    for (const auto &expire : pending) {
        expire();
    }
}

std::size_t caller_service::requestsInFlight() const
{
    return m_running.size();
}

std::size_t caller_service::connections() const
{
    return m_connections.size();
}

} // namespace balsamhook
