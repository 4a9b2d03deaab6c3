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

/// Time that an answer needs to reach the caller, and that the request needed to get here, beyond what this process sees.
constexpr std::chrono::milliseconds CallerPathTime{12};
/// A new connection costs the caller one more round trip before its first request.
constexpr std::chrono::milliseconds NewConnectionTime{7};
/// An answer is sent this long before the caller gives up.
constexpr std::chrono::milliseconds FinalMargin{12};
/// A process that has just started reads the catalogue within this time; one that can't reach the store waits for longer.
constexpr std::chrono::milliseconds StartingRetryAfter{120};
constexpr std::chrono::milliseconds StoreLostRetryAfter{1000};
constexpr std::chrono::milliseconds StartingTime{1500};
/// A query that comes with this much less time than its route's usual one is a second try.
constexpr std::chrono::milliseconds ReturningSlack{60};
/// Refused queries are told to come back after one to four times their objective.
constexpr double RetrySpread = 3;
constexpr std::uint64_t FewestAnswers = 32;
constexpr std::size_t ReservedDescriptors = 1000; ///< For targets, the store, peers and files.
constexpr std::size_t FewestConnections = 64;

/// Adds to the cumulative histogram of the time from a request's arrival to its end.
void countLatency(counters &numbers, std::chrono::steady_clock::duration latency)
{
    constexpr std::array<int, 10> BoundsMilliseconds{10, 25, 50, 75, 100, 150, 250, 500, 1000, 2500};
    for (const int bound : BoundsMilliseconds) {
        if (latency <= std::chrono::milliseconds(bound)) {
            numbers.add("request_latency_ms_bucket{le=\"" + std::to_string(bound) + "\"}");
        }
    }
    numbers.add("request_latency_ms_bucket{le=\"+Inf\"}");
    numbers.add("request_latency_ms_sum", std::chrono::duration_cast<std::chrono::milliseconds>(latency).count());
}

std::optional<std::chrono::milliseconds> deadlineOf(const http_message &message)
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
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, m_context.settings.callers));
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
        constexpr std::chrono::milliseconds PauseAfterError{50};
        m_context.timers.start(clock::now() + PauseAfterError, [this] { accept(); });
    });
}

void caller_service::serve(asio::ip::tcp::socket socket)
{
    const std::size_t descriptors = m_context.settings.descriptors;
    const std::size_t limit = descriptors > ReservedDescriptors + FewestConnections ? descriptors - ReservedDescriptors : FewestConnections;
    if (m_connections.size() >= limit) {
        m_context.numbers.add("caller_connections_refused_total");
        return;
    }
    caller_connection::settings values;
    const caller_limits limits = m_configuration ? m_configuration->limits() : caller_limits();
    values.limits = {limits.headerBytes, limits.bodyBytes};
    values.headerTimeout = limits.headerTimeout;
    values.idleTimeout = limits.idleTimeout;
    caller_connection::handlers handlers;
    handlers.onRequest = [this](const caller_connection::pointer &connection, http_message message) { onRequest(connection, std::move(message)); };
    handlers.onDisconnected = [this](const caller_connection::pointer &connection) { onGone(connection); };
    handlers.onClosed = [this](const caller_connection::pointer &connection) { m_connections.erase(connection.get()); };
    handlers.onRejected = [this](unsigned status) {
        m_context.numbers.add("caller_requests_malformed_total{status=\"" + std::to_string(status) + "\"}");
        m_context.log.write(event_class::Decision, event_line("callers", "request_unreadable").add("status", status), clock::now());
    };
    auto connection = std::make_shared<caller_connection>(std::move(socket), m_context.timers, values, std::move(handlers));
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

void caller_service::setConfiguration(std::shared_ptr<const routing_configuration> configuration)
{
    m_configuration = std::move(configuration);
    if (!m_configuration) {
        return;
    }
    m_mostUrgentQuery = std::numeric_limits<unsigned>::max();
    for (const route &known : m_configuration->routes()) {
        if (std::holds_alternative<gather_destination>(known.destination)) {
            m_mostUrgentQuery = std::min(m_mostUrgentQuery, known.priority);
        }
    }
}

void caller_service::reviewLoad()
{
    const auto now = clock::now();
    bool isOverloaded = false;
    for (auto &[name, statistics] : m_statistics) {
        // The median of few answers, or of old ones, says nothing about the present load.
        if (statistics.answers - statistics.answersReviewed < FewestAnswers) {
            continue;
        }
        statistics.answersReviewed = statistics.answers;
        statistics.baseline.observe(statistics.latency, now);
        isOverloaded = isOverloaded || statistics.baseline.isOverloaded(statistics.objective);
    }
    const bool wasLimited = m_guard.isLimited();
    m_guard.review(isOverloaded);
    if (m_guard.isLimited() != wasLimited) {
        m_context.log.write(event_class::Belief, event_line("callers", wasLimited ? "load_usual" : "overloaded").add("limit", m_guard.limit()), now);
    }
}

void caller_service::onNeeded(std::function<void()> handler)
{
    m_onNeeded = std::move(handler);
}

void caller_service::onRequest(const caller_connection::pointer &connection, http_message message)
{
    m_onNeeded();
    const std::string *host = message.find("Host");
    const std::string path = message.target.substr(0, message.target.find('?'));
    const route *matched = m_configuration && host != nullptr ? m_configuration->findRoute(*host, path) : nullptr;
    if (refuseUnroutable(connection, message, matched)) {
        return;
    }
    route_statistics &statistics = statisticsOf(*matched);
    arrived_request request = arrive(message, *matched, statistics);
    if (connection->requestsRead() == 1) {
        request.objectiveAt -= NewConnectionTime;
    }
    const auto refusedFor = m_context.crashes.refusedFor(*request.outgoing, boot_clock::now());
    if (refusedFor.count() > 0) {
        answerItself(connection, refusal("targets crashed while they ran this request", refusedFor), "crashes_targets", request.outgoing->requestId());
        return;
    }
    if (refuseOverload(connection, request, statistics)) {
        return;
    }
    run(connection, std::move(request), statistics);
}

bool caller_service::refuseOverload(const caller_connection::pointer &connection, const arrived_request &request, const route_statistics &statistics)
{
    if (!std::holds_alternative<gather_destination>(request.matched->destination)) {
        return false;
    }
    const auto callerWaits = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.arrivedAt);
    const bool isReturning = callerWaits + ReturningSlack < std::min(statistics.longestDeadline, request.matched->timeout);
    if (m_guard.admits({request.matched->priority <= m_mostUrgentQuery, isReturning})) {
        return false;
    }
    // Spread, so that those who come back don't come together.
    const double waits = static_cast<double>(request.matched->objective.count()) * (1 + RetrySpread * m_context.draw());
    const caller_response response = refusal("more queries than the targets can answer in time", std::chrono::milliseconds(static_cast<std::int64_t>(waits)));
    m_context.numbers.add(std::string("requests_total{outcome=\"").append(nameOf(request_outcome::NotRunOverload)).append("\"}"));
    m_context.log.write(event_class::Decision,
                        event_line("callers", "refused")
                            .add("id", request.outgoing->requestId())
                            .add("why", nameOf(request_outcome::NotRunOverload))
                            .add("limit", m_guard.limit())
                            .add("returning", isReturning)
                            .add("priority", request.matched->priority)
                            .add("config", request.configuration->version())
                            .add("status", response.status),
                        clock::now());
    connection->respond(response, m_leaving);
    return true;
}

bool caller_service::refuseUnroutable(const caller_connection::pointer &connection, const http_message &message, const route *matched)
{
    constexpr unsigned BadRequest = 400;
    constexpr unsigned NotFound = 404;
    const std::string *requestId = message.find(platform_header::RequestId);
    const std::string id = requestId == nullptr ? std::string() : *requestId;
    if (!m_configuration) {
        const bool isStarting = clock::now() - m_startedAt < StartingTime;
        answerItself(connection, refusal("no configuration is known yet", isStarting ? StartingRetryAfter : StoreLostRetryAfter), "no_configuration", id);
        return true;
    }
    if (message.find("Host") == nullptr) {
        answerItself(connection, ownResponse(BadRequest, "header Host is missing"), "no_host", id);
        return true;
    }
    if (matched == nullptr) {
        answerItself(connection, ownResponse(NotFound, "no route for this host and path"), "no_route", id);
        return true;
    }
    if (id.empty()) {
        answerItself(connection, ownResponse(BadRequest, "header Request-Id is missing"), "no_request_id", id);
        return true;
    }
    return false;
}

route_statistics &caller_service::statisticsOf(const route &matched)
{
    // Until answers were seen, a target is taken to need an eighth of the objective.
    constexpr int FirstGuessDivisor = 8;
    const auto guess = std::chrono::duration_cast<std::chrono::microseconds>(matched.objective) / FirstGuessDivisor;
    route_statistics &statistics = m_statistics.try_emplace(matched.name, route_statistics{latency_window(guess)}).first->second;
    statistics.objective = matched.objective;
    return statistics;
}

arrived_request caller_service::arrive(const http_message &message, const route &matched, route_statistics &statistics) const
{
    arrived_request request;
    request.outgoing = std::make_shared<const outgoing_request>(message);
    request.configuration = m_configuration;
    request.matched = &matched;
    request.arrivedAt = clock::now();
    request.omitsBody = message.method == "HEAD";
    const std::chrono::milliseconds callerWaits = deadlineOf(message).value_or(matched.timeout);
    statistics.longestDeadline = std::max(statistics.longestDeadline, callerWaits);
    // A caller that asks again has less time left than at its first try; the objective counts from the first.
    const std::chrono::milliseconds waitedBefore = statistics.longestDeadline - callerWaits;
    // Targets stop at the route's timeout as well: nobody gets the answer after it.
    request.deadline = request.arrivedAt + std::min(callerWaits, matched.timeout);
    request.finalAt = std::min(request.arrivedAt + callerWaits - FinalMargin, request.arrivedAt + matched.timeout);
    request.objectiveAt = request.arrivedAt + matched.objective - waitedBefore - CallerPathTime;
    return request;
}

void caller_service::run(const caller_connection::pointer &connection, arrived_request request, route_statistics &statistics)
{
    const bool isGather = std::holds_alternative<gather_destination>(request.matched->destination);
    running_request running{request.outgoing->requestId(), request.matched->name, request.configuration->version(), isGather, request.arrivedAt, {}};
    const answer_handler done = [this, connection](request_outcome outcome, const caller_response &response) { answer(connection, outcome, response); };
    const auto start = [&](auto started) {
        running.cancel = [started] { started->cancel(); };
        m_running.insert_or_assign(connection.get(), std::move(running));
        started->start();
    };
    if (isGather) {
        m_guard.onStart();
        start(std::make_shared<gather_request>(m_context, m_pool, statistics, std::move(request), done));
    } else {
        start(std::make_shared<forward_request>(m_context, m_pool, statistics, std::move(request), done));
    }
}

void caller_service::answer(const caller_connection::pointer &connection, request_outcome outcome, const caller_response &response)
{
    const auto found = m_running.find(connection.get());
    BALSAM_ASSERT(found != m_running.end());
    // Held here: the request is still on the call stack.
    const running_request ended = std::move(found->second);
    m_running.erase(found);
    logEnd(ended, outcome, response.status);
    connection->respond(response, m_leaving);
}

void caller_service::answerItself(const caller_connection::pointer &connection,
                                  const caller_response &response,
                                  std::string_view reason,
                                  std::string_view requestId)
{
    m_context.numbers.add(std::string("requests_refused_total{reason=\"").append(reason).append("\"}"));
    m_context.log.write(
        event_class::Decision, event_line("callers", "refused").add("id", requestId).add("why", reason).add("status", response.status), clock::now());
    connection->respond(response, m_leaving);
}

void caller_service::logEnd(const running_request &ended, request_outcome outcome, unsigned status)
{
    const auto now = clock::now();
    if (ended.isGather) {
        m_guard.onEnd();
    }
    const bool isRoutine = outcome == request_outcome::Complete;
    m_context.numbers.add(std::string("requests_total{outcome=\"").append(nameOf(outcome)).append("\"}"));
    countLatency(m_context.numbers, now - ended.arrivedAt);
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

void caller_service::onGone(const caller_connection::pointer &connection)
{
    const auto found = m_running.find(connection.get());
    if (found == m_running.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    m_running.erase(found);
    ended.cancel();
    logEnd(ended, request_outcome::CallerLeft, 0);
}

void caller_service::startLeaving()
{
    m_leaving = true;
}

void caller_service::closeIdle()
{
    m_leaving = true;
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

std::size_t caller_service::requestsUnderWay() const
{
    return m_running.size();
}

std::size_t caller_service::connections() const
{
    return m_connections.size();
}

} // namespace balsamhook
