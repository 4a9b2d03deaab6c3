#include "query/front_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

/// Upper bounds of the buckets of the latency histogram.
constexpr std::chrono::milliseconds LatencyBounds[] = {
    std::chrono::milliseconds(1),
    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),
    std::chrono::milliseconds(10),
    std::chrono::milliseconds(20),
    std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),
    std::chrono::milliseconds(200),
    std::chrono::milliseconds(260),
    std::chrono::milliseconds(500),
    std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000),
    std::chrono::milliseconds(5000),
};

std::uint64_t randomNumber()
{
    return stableHash(randomId());
}

engine_settings engineSettings(const front_settings &settings)
{
    engine_settings values;
    values.dataCentre = settings.identity.dataCentre;
    values.inFlightLimit = settings.inFlightLimit;
    values.budgetBurst = settings.budgetBurst;
    values.randomSeed = randomNumber();
    // A random start keeps responses to attempts of an earlier incarnation from matching attempts of this one. The shift keeps the ids from
    // overflowing.
    values.firstAttemptId = randomNumber() >> 2;
    return values;
}

std::chrono::microseconds elapsedSince(boot_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(boot_clock::now() - start);
}

command_result notReadyCommand()
{
    return {outcome::NotRun, "not_ready", ""};
}

query_result notReadyQuery()
{
    query_result result;
    result.queryId = randomId();
    result.ended = outcome::NotRun;
    result.reason = "not_ready";
    return result;
}

http_response badRequestResponse(const bad_request &error)
{
    return errorResponse(400, error.message, error.field);
}

} // namespace

front_service::front_service(asio::io_context &context, front_settings settings, counters &metrics, span_store &spans, std::function<bool()> isAccepting)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_spans(spans)
    , m_isAccepting(std::move(isAccepting))
    , m_engine(engineSettings(m_settings), metrics)
    , m_links(context,
              m_settings.identity,
              m_settings.listenAddress,
              m_settings.frames,
              metrics,
              {[this](const std::string &instance, const message &content) { onMessage(instance, content); },
               [this](const std::string &instance) { execute(m_engine.onDisconnected(instance, boot_clock::now())); }})
    , m_wake(context)
{
}

front_service::~front_service()
{
    stop();
}

void front_service::stop()
{
    m_links.stop();
    m_wake.cancel();
}

void front_service::applyState(const control_state &state)
{
    const bool isSameConfiguration = m_state && m_state->configuration == state.configuration;
    if (!isSameConfiguration) {
        const auto document = parseDocument(state.configuration);
        if (!document) {
            logError("front", "rejected configuration revision " + std::to_string(state.configurationRevision) + ": " + describe(document.error()));
            m_metrics.add("control_states_refused_total");
            return;
        }
        m_engine.setLayouts(resolveLayouts(document.value()));
    }
    m_engine.setOwners(state.owners);
    m_state = state;
    m_links.setMembers(state.members);
    m_metrics.set("applied_revision", static_cast<std::int64_t>(state.configurationRevision));
    m_metrics.set("applied_member_list_version", static_cast<std::int64_t>(state.memberListVersion));
}

void front_service::stopAdvertising()
{
    m_advertisingStopped = true;
}

bool front_service::isReady() const
{
    return m_state.has_value() && m_isAccepting();
}

std::uint64_t front_service::appliedRevision() const
{
    return m_state ? m_state->configurationRevision : 0;
}

std::uint64_t front_service::appliedMemberListVersion() const
{
    return m_state ? m_state->memberListVersion : 0;
}

std::size_t front_service::inFlight() const
{
    return m_engine.inFlight();
}

void front_service::onMessage(const std::string &instance, const message &content)
{
    const boot_clock::time_point now = boot_clock::now();
    if (const auto *response = std::get_if<sub_response>(&content)) {
        execute(m_engine.receive(instance, *response, now));
    } else if (const auto *command = std::get_if<command_response>(&content)) {
        execute(m_engine.receive(instance, *command, now));
    } else if (const auto *reports = std::get_if<target_reports>(&content)) {
        m_engine.receive(instance, *reports);
    } else if (const auto *crashes = std::get_if<crash_notice>(&content)) {
        m_engine.receive(*crashes, now);
    } else {
        m_metrics.add("unexpected_messages_total{type=\"" + std::string(messageName(content)) + "\"}");
    }
}

void front_service::execute(query_actions actions)
{
    std::deque<query_action> pending(std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    while (!pending.empty()) {
        query_action next = std::move(pending.front());
        pending.pop_front();
        executeAction(next, pending);
    }
    scheduleWake();
}

void front_service::executeAction(query_action &action, std::deque<query_action> &pending)
{
    if (auto *outgoing = std::get_if<send_message>(&action)) {
        if (m_links.send(outgoing->instance, outgoing->content)) {
            return;
        }
        m_metrics.add("messages_not_sent_total");
        query_actions followUp = m_engine.onSendFailed(*outgoing, boot_clock::now());
        std::move(followUp.begin(), followUp.end(), std::back_inserter(pending));
    } else if (auto *query = std::get_if<finish_query>(&action)) {
        const auto found = m_queryCallers.find(query->requestNumber);
        BALSAM_ASSERT(found != m_queryCallers.end() && !found->second->result);
        found->second->result = std::move(query->result);
        found->second->finished.cancel();
    } else if (auto *command = std::get_if<finish_command>(&action)) {
        const auto found = m_commandCallers.find(command->requestNumber);
        BALSAM_ASSERT(found != m_commandCallers.end() && !found->second->result);
        found->second->result = std::move(command->result);
        found->second->finished.cancel();
    } else if (auto *ended = std::get_if<record_attempt>(&action)) {
        const auto start = std::chrono::system_clock::now() - ended->duration;
        m_spans.add({ended->trace.traceId, ended->trace.spanId, ended->parentSpan, "front.attempt", ended->peer, ended->outcome, start, ended->duration});
    }
}

void front_service::scheduleWake()
{
    m_metrics.set("in_flight", static_cast<std::int64_t>(m_engine.inFlight()));
    const auto next = m_engine.nextWake();
    // A tick before the next event is harmless, so the timer is only ever moved to an earlier time.
    if (!next || (m_wakeAt && *m_wakeAt <= *next)) {
        return;
    }
    m_wakeAt = next;
    m_wake.expires_after(std::max<boot_clock::duration>(*next - boot_clock::now(), boot_clock::duration::zero()));
    m_wake.async_wait([this](boost::system::error_code cancelled) {
        if (cancelled) {
            return;
        }
        m_wakeAt.reset();
        execute(m_engine.tick(boot_clock::now()));
    });
}

http_response front_service::addresses() const
{
    if (!m_state) {
        return errorResponse(503, "no control state received yet");
    }
    std::vector<std::string> accepting;
    for (const member_entry &member : m_state->members) {
        const bool stopping = member.instance == m_settings.identity.instance && (m_advertisingStopped || m_state->stopping);
        if (member.alive && !member.leaving && !stopping) {
            accepting.push_back(member.frontEndpoint);
        }
    }
    return addressResponse(accepting, m_settings.addressValidity);
}

asio::awaitable<http_response> front_service::handle(http_request request)
{
    const bool isQuery = request.path == "/v1/query";
    const bool isCommand = request.path == "/v1/command";
    const bool isAddresses = request.path == "/v1/addresses";
    if (!isQuery && !isCommand && !isAddresses) {
        co_return errorResponse(404, "unknown path");
    }
    if (request.method != (isAddresses ? "GET" : "POST")) {
        co_return errorResponse(405, "method not allowed");
    }
    if (isAddresses) {
        co_return addresses();
    }
    const auto caller = trace_context::parse(request.header("traceparent"));
    request_trace trace;
    trace.context = caller ? caller.value().child() : trace_context::start();
    trace.parentSpan = caller ? caller.value().spanId : "";
    trace.start = std::chrono::system_clock::now();
    trace.monotonicStart = boot_clock::now();
    http_response response;
    if (isQuery) {
        response = co_await handleQuery(request, trace);
    } else {
        response = co_await handleCommand(request, trace);
    }
    response.headers["traceparent"] = trace.context.header();
    recordRequest(trace, isQuery ? "front.query" : "front.command", request, response);
    co_return response;
}

void front_service::recordRequest(const request_trace &trace, std::string_view name, const http_request &request, const http_response &response)
{
    const std::string outcome = response.status == 200 ? "answered" : response.status == 503 ? "not_run" : response.status == 504 ? "unknown" : "refused";
    m_spans.add({trace.context.traceId,
                 trace.context.spanId,
                 trace.parentSpan,
                 std::string(name),
                 request.peer,
                 outcome,
                 trace.start,
                 elapsedSince(trace.monotonicStart)});
}

asio::awaitable<http_response> front_service::handleQuery(const http_request &request, const request_trace &trace)
{
    auto parsed = parseQuery(request.body);
    if (const auto *error = std::get_if<bad_request>(&parsed)) {
        m_metrics.add("bad_requests_total");
        co_return badRequestResponse(*error);
    }
    query_request query = std::move(std::get<query_request>(parsed));
    if (!isReady()) {
        const query_result refused = notReadyQuery();
        recordQuery(refused, trace.monotonicStart);
        co_return queryResponse(refused);
    }
    const auto service = m_engine.findService(query.service);
    if (service == nullptr) {
        co_return errorResponse(404, "unknown service", "service");
    }
    if (const auto error = checkQuery(query, *service)) {
        m_metrics.add("bad_requests_total");
        co_return badRequestResponse(*error);
    }
    const query_result result = co_await runQuery(std::move(query), trace.context);
    recordQuery(result, trace.monotonicStart);
    co_return queryResponse(result);
}

asio::awaitable<query_result> front_service::runQuery(query_request query, trace_context trace)
{
    const std::uint64_t requestNumber = m_nextRequestNumber++;
    const auto caller = std::make_shared<waiting_caller<query_result>>(m_context);
    m_queryCallers.emplace(requestNumber, caller);
    execute(m_engine.startQuery(requestNumber, randomId(), std::move(trace), std::move(query), boot_clock::now()));
    while (!caller->result) {
        boost::system::error_code cancelled;
        co_await caller->finished.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    m_queryCallers.erase(requestNumber);
    co_return std::move(*caller->result);
}

asio::awaitable<http_response> front_service::handleCommand(const http_request &request, const request_trace &trace)
{
    auto parsed = parseCommand(request.body);
    if (const auto *error = std::get_if<bad_request>(&parsed)) {
        m_metrics.add("bad_requests_total");
        co_return badRequestResponse(*error);
    }
    caller_command command = std::move(std::get<caller_command>(parsed));
    command_result result = notReadyCommand();
    if (isReady()) {
        const auto service = m_engine.findService(command.service);
        if (service == nullptr) {
            co_return errorResponse(404, "unknown service", "service");
        }
        if (const auto error = checkCommand(command, *service)) {
            m_metrics.add("bad_requests_total");
            co_return badRequestResponse(*error);
        }
        const bool expired = unixTime().count() >= command.expiresAtUnixMilliseconds;
        result = command_result{outcome::NotRun, "key_expired", ""};
        if (!expired) {
            result = co_await runCommand(std::move(command), trace.context);
        }
    }
    m_metrics.add("commands_total{outcome=\"" + std::string(nameOf(result.ended)) + "\"}");
    co_return commandResponse(result);
}

asio::awaitable<command_result> front_service::runCommand(caller_command command, trace_context trace)
{
    const std::uint64_t requestNumber = m_nextRequestNumber++;
    const auto caller = std::make_shared<waiting_caller<command_result>>(m_context);
    m_commandCallers.emplace(requestNumber, caller);
    execute(m_engine.startCommand(requestNumber, std::move(trace), command, boot_clock::now()));
    while (!caller->result) {
        boost::system::error_code cancelled;
        co_await caller->finished.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    m_commandCallers.erase(requestNumber);
    co_return std::move(*caller->result);
}

void front_service::recordQuery(const query_result &result, boot_clock::time_point start)
{
    m_metrics.add("queries_total{outcome=\"" + std::string(nameOf(result.ended)) + "\"}");
    if (result.ended == outcome::Answered && result.coverage.answered < result.coverage.total) {
        m_metrics.add("queries_with_partial_coverage_total");
    }
    const std::chrono::microseconds latency = elapsedSince(start);
    for (const std::chrono::milliseconds bound : LatencyBounds) {
        if (latency <= bound) {
            m_metrics.add("query_duration_ms_bucket{le=\"" + std::to_string(bound.count()) + "\"}");
        }
    }
    m_metrics.add(R"(query_duration_ms_bucket{le="+Inf"})");
    m_metrics.add("query_duration_ms_count");
    m_metrics.add("query_duration_us_sum", latency.count());
}

} // namespace balsamhook
