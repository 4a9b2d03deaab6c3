#include "standins/platform_service.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds MaxWatchTimeout{60000};
constexpr std::chrono::milliseconds MaxLatency{60000};
// Longer than the timeout of clients. The HTTP server can't close a connection without a response, so a lost response is sent too late instead.
constexpr std::chrono::milliseconds LostResponseDelay{5000};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failed == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::string etag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> parseEtag(std::string_view text)
{
    const bool isQuoted = text.size() > 2 && text.front() == '"' && text.back() == '"';
    return isQuoted ? parseNumber(text.substr(1, text.size() - 2)) : std::nullopt;
}

/// Returns the version that a write expects: 0 for If-None-Match: *, no value when the condition is missing or malformed.
std::optional<std::uint64_t> expectedVersion(const http_request &request)
{
    const std::string_view match = request.header("if-match");
    const std::string_view noneMatch = request.header("if-none-match");
    if (match.empty() && noneMatch == "*") {
        return 0;
    }
    const std::optional<std::uint64_t> version = noneMatch.empty() ? parseEtag(match) : std::nullopt;
    return version && *version > 0 ? version : std::nullopt;
}

http_response preconditionRequiredResponse()
{
    return errorResponse(428, "exactly one of If-Match with a version and If-None-Match: * is required");
}

http_response unavailableResponse()
{
    return errorResponse(503, "the platform is unavailable");
}

http_response notFoundResponse()
{
    return errorResponse(404, "not found");
}

http_response methodNotAllowedResponse()
{
    return errorResponse(405, "method not allowed");
}

http_response writeErrorResponse(const error &reason, const memory_object_store::entry *current)
{
    if (reason.code != error_code::Conflict) {
        return errorResponse(507, describe(reason));
    }
    http_response response = errorResponse(412, describe(reason));
    if (current != nullptr) {
        response.headers["etag"] = etag(current->version);
    }
    return response;
}

http_response objectResponse(const memory_object_store::entry &stored)
{
    http_response response = jsonResponse(200, stored.value);
    response.headers["etag"] = etag(stored.version);
    return response;
}

bool isWrite(const http_request &request)
{
    return request.method == "PUT" || request.method == "DELETE";
}

bool isValidInstance(const json &value)
{
    if (!value.is_object()) {
        return false;
    }
    for (const char *field : {"instance", "data_centre", "address", "state"}) {
        if (!value.contains(field) || !value[field].is_string()) {
            return false;
        }
    }
    return value["state"] == "live" || value["state"] == "leaving";
}

/// Returns an optional unsigned field, 0 when it is missing, no value when it isn't an integer in 0 to limit.
std::optional<std::uint64_t> readNumber(const json &value, const char *field, std::uint64_t limit)
{
    if (!value.contains(field)) {
        return 0;
    }
    const bool isValid = value[field].is_number_unsigned() && value[field].get<std::uint64_t>() <= limit;
    return isValid ? std::optional(value[field].get<std::uint64_t>()) : std::nullopt;
}

} // namespace

platform_service::platform_service(asio::io_context &context, counters &metrics, std::chrono::milliseconds instanceLag)
    : m_context(context)
    , m_metrics(metrics)
    , m_instanceLag(instanceLag)
{
    m_instanceLists.push_back({boot_clock::time_point(), R"({"instances":[]})"});
}

const memory_object_store &platform_service::objects() const
{
    return m_objects;
}

void platform_service::setFaults(platform_faults faults)
{
    m_faults = faults;
    wakeWatches();
}

asio::awaitable<http_response> platform_service::handle(http_request request)
{
    if (request.path == "/metrics") {
        co_return textResponse(200, m_metrics.text());
    }
    if (request.path == "/healthz") {
        co_return textResponse(200, "ok\n");
    }
    if (request.path.rfind("/standin/", 0) == 0) {
        co_return handleAdmin(request);
    }
    if (m_faults.outage) {
        m_metrics.add("standin_platform_refused_total");
        co_return unavailableResponse();
    }
    const std::chrono::milliseconds halfLatency = m_faults.latency / 2;
    co_await sleepFor(halfLatency);
    http_response response = co_await routeCall(std::move(request));
    co_await sleepFor(halfLatency);
    co_return response;
}

asio::awaitable<void> platform_service::sleepFor(std::chrono::milliseconds time)
{
    if (time.count() == 0) {
        co_return;
    }
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<http_response> platform_service::routeCall(http_request request)
{
    const std::vector<std::string> parts = splitPath(request.path);
    if (parts.size() == 1 && parts[0] == "instances") {
        count("instances", "");
        co_return request.method == "GET" ? instances() : methodNotAllowedResponse();
    }
    if (parts.size() == 2 && parts[0] == "objects") {
        count("list", parts[1]);
        co_return request.method == "GET" ? list(parts[1]) : methodNotAllowedResponse();
    }
    if (parts.size() == 3 && parts[0] == "watch") {
        count("watch", parts[1]);
        co_return co_await watch(std::move(request), parts[1], parts[2]);
    }
    if (parts.size() != 3 || parts[0] != "objects") {
        co_return notFoundResponse();
    }
    if (request.method == "GET") {
        count("read", parts[1]);
        co_return read(parts[1], parts[2]);
    }
    if (!isWrite(request)) {
        co_return methodNotAllowedResponse();
    }
    count(request.method == "PUT" ? "write" : "remove", parts[1]);
    http_response response = request.method == "PUT" ? write(request, parts[1], parts[2]) : remove(request, parts[1], parts[2]);
    co_return co_await finishWrite(std::move(response));
}

asio::awaitable<http_response> platform_service::finishWrite(http_response response)
{
    if (response.status != 200) {
        co_return response;
    }
    ++m_appliedWrites;
    const bool isLost = m_faults.loseResponseEvery > 0 && m_appliedWrites % m_faults.loseResponseEvery == 0;
    if (isLost) {
        m_metrics.add("standin_platform_lost_answers_total");
        co_await sleepFor(LostResponseDelay);
        co_return errorResponse(500, "the response was lost");
    }
    co_return response;
}

http_response platform_service::read(const std::string &kind, const std::string &name) const
{
    const memory_object_store::entry *stored = m_objects.find(kind, name);
    return stored == nullptr ? notFoundResponse() : objectResponse(*stored);
}

http_response platform_service::write(const http_request &request, const std::string &kind, const std::string &name)
{
    const std::optional<std::uint64_t> expected = expectedVersion(request);
    if (!expected) {
        return preconditionRequiredResponse();
    }
    const result<std::uint64_t> version = m_objects.put(kind, name, *expected, request.body);
    if (!version) {
        return writeErrorResponse(version.error(), m_objects.find(kind, name));
    }
    wakeWatches();
    http_response response = jsonResponse(200, "{}");
    response.headers["etag"] = etag(version.value());
    return response;
}

http_response platform_service::remove(const http_request &request, const std::string &kind, const std::string &name)
{
    const std::optional<std::uint64_t> expected = expectedVersion(request);
    if (!expected || *expected == 0) {
        return preconditionRequiredResponse();
    }
    const result<void> removed = m_objects.remove(kind, name, *expected);
    if (!removed) {
        return writeErrorResponse(removed.error(), m_objects.find(kind, name));
    }
    return jsonResponse(200, "{}");
}

http_response platform_service::list(const std::string &kind) const
{
    json objects = json::array();
    for (const auto &[name, version] : m_objects.list(kind)) {
        objects.push_back({{"name", name}, {"version", version}});
    }
    const json body = {{"objects", std::move(objects)}};
    return jsonResponse(200, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_response platform_service::instances()
{
    const auto now = boot_clock::now();
    while (m_instanceLists.size() > 1 && m_instanceLists[1].visibleAt <= now) {
        m_instanceLists.pop_front();
    }
    return jsonResponse(200, m_instanceLists.front().json);
}

asio::awaitable<http_response> platform_service::watch(http_request request, std::string kind, std::string name)
{
    const std::optional<std::uint64_t> after = parseNumber(request.parameter("after"));
    const std::optional<std::uint64_t> timeout = parseNumber(request.parameter("timeout_ms"));
    const bool isValid = after && timeout && *timeout <= static_cast<std::uint64_t>(MaxWatchTimeout.count());
    if (!isValid) {
        co_return errorResponse(400, "after and timeout_ms in 0 to " + std::to_string(MaxWatchTimeout.count()) + " are required");
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*timeout);
    asio::steady_timer timer(m_context);
    boost::system::error_code ignored;
    while (!m_faults.outage) {
        const memory_object_store::entry *stored = m_objects.find(kind, name);
        if (stored != nullptr && stored->version > *after) {
            co_return objectResponse(*stored);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return jsonResponse(204, "");
        }
        timer.expires_at(deadline);
        m_watches.insert(&timer);
        m_metrics.set("standin_platform_waiting_watches", static_cast<std::int64_t>(m_watches.size()));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_watches.erase(&timer);
        m_metrics.set("standin_platform_waiting_watches", static_cast<std::int64_t>(m_watches.size()));
    }
    m_metrics.add("standin_platform_refused_total");
    co_return unavailableResponse();
}

void platform_service::wakeWatches()
{
    for (asio::steady_timer *timer : m_watches) {
        timer->cancel();
    }
}

http_response platform_service::handleAdmin(const http_request &request)
{
    const bool isFaults = request.path == "/standin/faults";
    if (isFaults && request.method == "GET") {
        return faultsResponse();
    }
    if (isFaults && request.method == "PUT") {
        return putFaults(request.body);
    }
    if (request.path == "/standin/instances" && request.method == "PUT") {
        return putInstances(request.body);
    }
    return notFoundResponse();
}

http_response platform_service::faultsResponse() const
{
    const json body = {{"outage", m_faults.outage}, {"latency_ms", m_faults.latency.count()}, {"lose_answer_every", m_faults.loseResponseEvery}};
    return jsonResponse(200, body.dump());
}

http_response platform_service::putFaults(const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object()) {
        return errorResponse(400, "the body is not a JSON object");
    }
    for (const auto &[field, ignored] : value.items()) {
        if (field != "outage" && field != "latency_ms" && field != "lose_answer_every") {
            return errorResponse(400, "unknown field", field);
        }
    }
    if (value.contains("outage") && !value["outage"].is_boolean()) {
        return errorResponse(400, "the value is not a boolean", "outage");
    }
    const auto latency = readNumber(value, "latency_ms", static_cast<std::uint64_t>(MaxLatency.count()));
    if (!latency) {
        return errorResponse(400, "the value is not an integer in 0 to " + std::to_string(MaxLatency.count()), "latency_ms");
    }
    const auto loseEvery = readNumber(value, "lose_answer_every", UINT32_MAX);
    if (!loseEvery) {
        return errorResponse(400, "the value is not an integer in 0 to " + std::to_string(UINT32_MAX), "lose_answer_every");
    }
    setFaults({value.value("outage", false), std::chrono::milliseconds(*latency), *loseEvery});
    return faultsResponse();
}

http_response platform_service::putInstances(const std::string &body)
{
    constexpr std::size_t MaxPendingLists = 1000;
    const json value = json::parse(body, nullptr, false);
    const bool hasList = value.is_object() && value.size() == 1 && value.contains("instances") && value["instances"].is_array();
    if (!hasList || !std::all_of(value["instances"].begin(), value["instances"].end(), &isValidInstance)) {
        return errorResponse(400, "expected a list of entries with instance, data_centre, address and state 'live' or 'leaving'", "instances");
    }
    if (m_instanceLists.size() >= MaxPendingLists) {
        return errorResponse(429, "limit of " + std::to_string(MaxPendingLists) + " lists that are not yet visible reached");
    }
    m_instanceLists.push_back({boot_clock::now() + m_instanceLag, value.dump()});
    return jsonResponse(200, "{}");
}

void platform_service::count(std::string_view call, const std::string &kind)
{
    // Only known kinds get their own label, which bounds the number of time series.
    constexpr std::string_view KnownKinds[] = {"configuration", "sections", "plans", "members", "leases", "claims"};
    const bool isKnown = std::find(std::begin(KnownKinds), std::end(KnownKinds), kind) != std::end(KnownKinds);
    m_metrics.add("standin_platform_calls_total{call=\"" + std::string(call) + "\",kind=\"" + (isKnown ? kind : "other") + "\"}");
}

} // namespace balsamhook
