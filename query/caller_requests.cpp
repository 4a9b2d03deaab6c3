#include "query/caller_requests.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace balsamhook
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxTextBytes = 16 * 1024;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::int64_t MaxHits = 1000;
constexpr std::int64_t MaxDurationMs = 24 * 60 * 60 * 1000;

/// Upper limit of a caller's deadline, as a multiple of the service's deadline.
constexpr std::int64_t MaxDeadlineFactor = 10;

/// Reads the fields of one JSON object and keeps the first error.
class field_reader
{
public:
    field_reader(std::string_view body, std::set<std::string, std::less<>> allowed)
    {
        std::string repeated;
        std::set<std::string> keys;
        const json::parser_callback_t recordKeys = [&](int depth, json::parse_event_t event, json &parsed) {
            if (depth == 1 && event == json::parse_event_t::key && !keys.insert(parsed.get<std::string>()).second) {
                repeated = parsed.get<std::string>();
            }
            return true;
        };
        m_object = json::parse(body, recordKeys, false);
        if (!m_object.is_object()) {
            fail("body is not a JSON object", "");
            return;
        }
        if (!repeated.empty()) {
            fail("field is repeated", repeated);
        }
        for (const auto &[key, value] : m_object.items()) {
            if (!allowed.contains(key)) {
                fail("unknown field", key);
            }
        }
    }

    std::string text(const char *name, std::size_t maxBytes)
    {
        const json *value = find(name, true);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            fail("must be a string", name);
            return {};
        }
        const auto &content = value->get_ref<const std::string &>();
        if (content.empty() || content.size() > maxBytes) {
            fail("must have 1 to " + std::to_string(maxBytes) + " bytes, but has " + std::to_string(content.size()), name);
            return {};
        }
        return content;
    }

    std::optional<std::int64_t> number(const char *name, bool required, std::int64_t minimum, std::int64_t maximum)
    {
        const json *value = find(name, required);
        if (value == nullptr) {
            return std::nullopt;
        }
        const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const bool inRange = value->is_number_integer() && !tooLarge && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
        if (!inRange) {
            fail("must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum), name);
            return std::nullopt;
        }
        return value->get<std::int64_t>();
    }

    std::optional<double> fraction(const char *name)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return std::nullopt;
        }
        if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > 1) {
            fail("must be a number from 0 to 1", name);
            return std::nullopt;
        }
        return value->get<double>();
    }

    std::string jsonText(const char *name)
    {
        const json *value = find(name, true);
        return value == nullptr ? std::string() : value->dump();
    }

    const std::optional<bad_request> &error() const
    {
        return m_error;
    }

private:
    const json *find(const char *name, bool required)
    {
        if (!m_object.is_object()) {
            return nullptr;
        }
        const auto found = m_object.find(name);
        if (found != m_object.end()) {
            return &*found;
        }
        if (required) {
            fail("field is missing", name);
        }
        return nullptr;
    }

    void fail(std::string message, std::string field)
    {
        if (!m_error) {
            m_error = bad_request{std::move(message), std::move(field)};
        }
    }

    json m_object;
    std::optional<bad_request> m_error;
};

std::optional<std::chrono::milliseconds> toDuration(std::optional<std::int64_t> number)
{
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}

std::optional<bad_request> checkDeadline(std::optional<std::chrono::milliseconds> deadline, const service_layout &service)
{
    const std::chrono::milliseconds maximum = service.deadline * MaxDeadlineFactor;
    if (!deadline || *deadline <= maximum) {
        return std::nullopt;
    }
    return bad_request{"must be at most " + std::to_string(maximum.count()) + " for this service", "deadline_ms"};
}

unsigned statusOf(outcome ended)
{
    switch (ended) {
    case outcome::Answered:
        return 200;
    case outcome::NotRun:
        return 503;
    case outcome::Unknown:
        return 504;
    }
    return 500;
}

json coverageJson(const query_coverage &coverage)
{
    json missing = json::array();
    for (const missing_shard &item : coverage.missing) {
        missing.push_back({{"shard", item.shard}, {"reason", item.reason}});
    }
    return {{"answered", coverage.answered}, {"total", coverage.total}, {"missing", std::move(missing)}};
}

/// Inserts the fields of each hit verbatim: parseHits() has validated them as JSON.
std::string hitsJson(const std::vector<hit> &hits)
{
    std::string text = "[";
    for (const hit &item : hits) {
        text += text.size() > 1 ? "," : "";
        text += R"({"id":)" + json(item.id).dump() + R"(,"score":)" + json(item.score).dump() + R"(,"fields":)" + item.fields + "}";
    }
    return text + "]";
}

} // namespace

std::variant<query_request, bad_request> parseQuery(std::string_view body)
{
    field_reader fields(body, {"service", "text", "limit", "deadline_ms", "minimum_coverage", "answer_after_ms"});
    query_request request;
    request.service = fields.text("service", MaxNameBytes);
    request.text = fields.text("text", MaxTextBytes);
    request.limit = static_cast<std::uint32_t>(fields.number("limit", true, 1, MaxHits).value_or(1));
    request.deadline = toDuration(fields.number("deadline_ms", false, 1, MaxDurationMs));
    request.minimumCoverage = fields.fraction("minimum_coverage");
    request.answerAfter = toDuration(fields.number("answer_after_ms", false, 0, MaxDurationMs));
    if (fields.error()) {
        return *fields.error();
    }
    return request;
}

std::variant<caller_command, bad_request> parseCommand(std::string_view body)
{
    field_reader fields(body, {"service", "key", "expires_at_ms", "payload", "deadline_ms"});
    caller_command command;
    command.service = fields.text("service", MaxNameBytes);
    command.key = fields.text("key", MaxKeyBytes);
    command.expiresAtUnixMilliseconds = fields.number("expires_at_ms", true, 1, std::numeric_limits<std::int64_t>::max()).value_or(1);
    command.payload = fields.jsonText("payload");
    command.deadline = toDuration(fields.number("deadline_ms", false, 1, MaxDurationMs));
    if (fields.error()) {
        return *fields.error();
    }
    return command;
}

std::optional<bad_request> checkQuery(const query_request &request, const service_layout &service)
{
    if (service.kind != service_kind::Query) {
        return bad_request{"is not a query service", "service"};
    }
    return checkDeadline(request.deadline, service);
}

std::optional<bad_request> checkCommand(const caller_command &command, const service_layout &service)
{
    if (service.kind != service_kind::Command) {
        return bad_request{"is not a command service", "service"};
    }
    return checkDeadline(command.deadline, service);
}

http_response queryResponse(const query_result &result)
{
    json response = {{"outcome", nameOf(result.ended)}, {"query_id", result.queryId}, {"coverage", coverageJson(result.coverage)}};
    if (result.readFrom) {
        response["snapshot"] = {{"layout_epoch", result.readFrom->layoutEpoch}, {"index_version", result.readFrom->indexVersion}};
    }
    if (!result.reason.empty()) {
        response["reason"] = result.reason;
    }
    std::string text = response.dump();
    if (result.ended == outcome::Answered) {
        text.pop_back();
        text += R"(,"hits":)" + hitsJson(result.hits) + "}";
    }
    return jsonResponse(statusOf(result.ended), std::move(text));
}

http_response commandResponse(const command_result &result)
{
    json response = {{"outcome", nameOf(result.ended)}};
    if (!result.reason.empty()) {
        response["reason"] = result.reason;
    }
    if (result.ended == outcome::Answered) {
        // The result comes from a target; a result that isn't JSON is returned as a JSON string.
        json parsed = json::parse(result.result, nullptr, false);
        response["result"] = parsed.is_discarded() ? json(result.result) : std::move(parsed);
    }
    return jsonResponse(statusOf(result.ended), response.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_response addressResponse(const std::vector<std::string> &addresses, std::chrono::milliseconds validity)
{
    return jsonResponse(200, json{{"addresses", addresses}, {"valid_ms", validity.count()}}.dump());
}

} // namespace balsamhook
