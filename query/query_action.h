#pragma once

#include "base/base.h"
#include "query/hit.h"
#include "wire/wire.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamhook
{

/// A caller's query, checked.
struct query_request
{
    std::string service;
    std::string text;
    std::uint32_t limit = 0;
    std::optional<std::chrono::milliseconds> deadline; ///< The service's when empty.
    std::optional<double> minimumCoverage; ///< 0 to 1; the service's when empty.
    std::optional<std::chrono::milliseconds> answerAfter; ///< 0: wait until the deadline; the service's when empty.
};

/// A caller's command, checked.
struct caller_command
{
    std::string service;
    std::string key;
    std::int64_t expiresAtUnixMilliseconds = 0;
    std::string payload; ///< JSON
    std::optional<std::chrono::milliseconds> deadline;
};

struct missing_shard
{
    std::string shard;
    std::string reason;
};

struct query_coverage
{
    std::size_t answered = 0;
    std::size_t total = 0;
    std::vector<missing_shard> missing;
};

/// The end of a query. Coverage and hits are of the same parts, whatever the outcome is.
struct query_result
{
    std::string queryId;
    outcome ended = outcome::Unknown;
    std::string reason; ///< Empty when answered.
    std::optional<snapshot> readFrom;
    query_coverage coverage;
    std::vector<hit> hits;
};

struct command_result
{
    outcome ended = outcome::Unknown;
    std::string reason; ///< Empty when answered.
    std::string result; ///< JSON when answered.
};

/// Send a message to the dispatcher of an instance.
struct send_message
{
    std::string instance;
    message content;
};

/// Give the caller of the request its result; said exactly once for each request.
struct finish_query
{
    std::uint64_t request = 0;
    query_result result;
};

struct finish_command
{
    std::uint64_t request = 0;
    command_result result;
};

/// An attempt has ended: record its span.
struct record_attempt
{
    trace_context trace;
    std::string parentSpan;
    std::string peer; ///< "target@instance"
    std::string outcome;
    std::chrono::microseconds duration{0};
};

using query_action = std::variant<send_message, finish_query, finish_command, record_attempt>;
using query_actions = std::vector<query_action>;

/// Name of a refusal reason in answers to callers: lower case with underscores.
std::string_view reasonName(refusal_reason reason);

/// "answered", "not_run" or "unknown".
std::string_view outcomeName(outcome ended);

} // namespace balsamhook
