#include "dispatch/claim_object.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace balsamhook
{

using nlohmann::json;

namespace
{

std::string_view nameOf(recorded_state state)
{
    switch (state) {
    case recorded_state::Claimed:
        return "claimed";
    case recorded_state::Answered:
        return "answered";
    case recorded_state::Unknown:
        break;
    }
    return "unknown";
}

std::optional<recorded_state> parseState(std::string_view text)
{
    for (const recorded_state state : {recorded_state::Claimed, recorded_state::Answered, recorded_state::Unknown}) {
        if (nameOf(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

bool isValidRecord(const json &object)
{
    return object.is_object() && object.contains("expiry") && object["expiry"].is_number_integer() && object.contains("state") && object["state"].is_string()
        && object.contains("nonce") && object["nonce"].is_string() && (!object.contains("result") || object["result"].is_string());
}

} // namespace

std::uint64_t claimBucket(std::string_view key)
{
    return stableHash(key) % ClaimBuckets;
}

std::string claimObjectName(std::string_view service, std::string_view key)
{
    return std::string(service) + "-" + std::to_string(claimBucket(key));
}

bool isStorableKey(std::string_view key)
{
    const json text = std::string(key);
    const json roundTripped = json::parse(text.dump(-1, ' ', false, json::error_handler_t::replace), nullptr, false);
    return roundTripped == text;
}

std::string claimText(const claim_records &records)
{
    json object = json::object();
    for (const auto &[key, record] : records) {
        json &entry = object[key];
        entry["expiry"] = record.expiresAt.count();
        entry["state"] = std::string(nameOf(record.state));
        entry["nonce"] = record.nonce;
        if (!record.result.empty()) {
            entry["result"] = record.result;
        }
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_records> parseClaims(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return failure(error_code::Protocol, error_step::Decode, {}, "claims are not a JSON object");
    }
    claim_records records;
    for (const auto &[key, entry] : object.items()) {
        const auto state = isValidRecord(entry) ? parseState(entry["state"].get<std::string>()) : std::nullopt;
        if (!state) {
            return failure(error_code::Protocol, error_step::Decode, {}, "claim of key \"" + key + "\" is malformed");
        }
        claim_record &record = records[key];
        record.expiresAt = std::chrono::milliseconds(entry["expiry"].get<std::int64_t>());
        record.state = *state;
        record.nonce = entry["nonce"].get<std::string>();
        record.result = entry.value("result", std::string());
    }
    return records;
}

} // namespace balsamhook
