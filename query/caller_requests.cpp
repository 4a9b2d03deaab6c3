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

constexpr std::size_t LongestName = 200;
constexpr std::size_t LongestText = 16 * 1024;
constexpr std::size_t LongestKey = 256;
constexpr std::int64_t HighestLimit = 1000;
constexpr std::int64_t HighestDuration = 24 * 60 * 60 * 1000;

/// A caller may ask for a deadline of up to this many times the service's.
constexpr std::int64_t DeadlineFactor = 10;

/// Reads the fields of one JSON object and keeps the first fault.
class field_reader
{
public:
    field_reader(std::string_view body, std::set<std::string, std::less<>> allowed)
    {
        std::string repeated;
        std::set<std::string> keys;
        const json::parser_callback_t noteKeys = [&](int depth, json::parse_event_t event, json &parsed) {
            if (depth == 1 && event == json::parse_event_t::key && !keys.insert(parsed.get<std::string>()).second) {
                repeated = parsed.get<std::string>();
            }
            return true;
        };
        m_object = json::parse(body, noteKeys, false);
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

    std::string text(const char *name, std::size_t longest)
    {
        const json *value = find(name, true);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            fail("must be a text", name);
            return {};
        }
        const auto &content = value->get_ref<const std::string &>();
        if (content.empty() || content.size() > longest) {
            fail("must have 1 to " + std::to_string(longest) + " bytes, has " + std::to_string(content.size()), name);
            return {};
        }
        return content;
    }

    std::optional<std::int64_t> number(const char *name, bool required, std::int64_t lowest, std::int64_t highest)
    {
        const json *value = find(name, required);
        if (value == nullptr) {
            return std::nullopt;
        }
        const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const bool inRange = value->is_number_integer() && !tooLarge && value->get<std::int64_t>() >= lowest && value->get<std::int64_t>() <= highest;
        if (!inRange) {
            fail("must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest), name);
            return std::nullopt;
        }
        return value->get<std::int64_t>();
    }

    std::optional<double> share(const char *name)
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

    std::string anyValue(const char *name)
    {
        const json *value = find(name, true);
        return value == nullptr ? std::string() : value->dump();
    }

    const std::optional<bad_request> &fault() const
    {
        return m_fault;
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
        if (!m_fault) {
            m_fault = bad_request{std::move(message), std::move(field)};
        }
    }

    json m_object;
    std::optional<bad_request> m_fault;
};

std::optional<std::chrono::milliseconds> toDuration(std::optional<std::int64_t> number)
{
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}

std::optional<bad_request> checkDeadline(std::optional<std::chrono::milliseconds> deadline, const service_layout &service)
{
    const std::chrono::milliseconds highest = service.deadline * DeadlineFactor;
    if (!deadline || *deadline <= highest) {
        return std::nullopt;
    }
    return bad_request{"must be at most " + std::to_string(highest.count()) + " for this service", "deadline_ms"};
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

/// The fields of a hit are inserted as they came, since they were parsed once already.
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
    request.service = fields.text("service", LongestName);
    request.text = fields.text("text", LongestText);
    request.limit = static_cast<std::uint32_t>(fields.number("limit", true, 1, HighestLimit).value_or(1));
    request.deadline = toDuration(fields.number("deadline_ms", false, 1, HighestDuration));
    request.minimumCoverage = fields.share("minimum_coverage");
    request.answerAfter = toDuration(fields.number("answer_after_ms", false, 0, HighestDuration));
    if (fields.fault()) {
        return *fields.fault();
    }
    return request;
}

std::variant<caller_command, bad_request> parseCommand(std::string_view body)
{
    field_reader fields(body, {"service", "key", "expires_at_ms", "payload", "deadline_ms"});
    caller_command command;
    command.service = fields.text("service", LongestName);
    command.key = fields.text("key", LongestKey);
    command.expiresAtUnixMilliseconds = fields.number("expires_at_ms", true, 1, std::numeric_limits<std::int64_t>::max()).value_or(1);
    command.payload = fields.anyValue("payload");
    command.deadline = toDuration(fields.number("deadline_ms", false, 1, HighestDuration));
    if (fields.fault()) {
        return *fields.fault();
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
    json answer = {{"outcome", outcomeName(result.ended)}, {"query_id", result.queryId}, {"coverage", coverageJson(result.coverage)}};
    if (result.readFrom) {
        answer["snapshot"] = {{"layout_epoch", result.readFrom->layoutEpoch}, {"index_version", result.readFrom->indexVersion}};
    }
    if (!result.reason.empty()) {
        answer["reason"] = result.reason;
    }
    std::string text = answer.dump();
    if (result.ended == outcome::Answered) {
        text.pop_back();
        text += R"(,"hits":)" + hitsJson(result.hits) + "}";
    }
    return jsonResponse(statusOf(result.ended), std::move(text));
}

http_response commandResponse(const command_result &result)
{
    json answer = {{"outcome", outcomeName(result.ended)}};
    if (!result.reason.empty()) {
        answer["reason"] = result.reason;
    }
    if (result.ended == outcome::Answered) {
        // The result comes from a target; text that isn't JSON is passed on as a JSON text.
        json parsed = json::parse(result.result, nullptr, false);
        answer["result"] = parsed.is_discarded() ? json(result.result) : std::move(parsed);
    }
    return jsonResponse(statusOf(result.ended), answer.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_response addressResponse(const std::vector<std::string> &addresses, std::chrono::milliseconds validity)
{
    return jsonResponse(200, json{{"addresses", addresses}, {"valid_ms", validity.count()}}.dump());
}

} // namespace balsamhook
