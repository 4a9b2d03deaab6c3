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

/// A caller's query after validation.
struct query_request
{
    std::string service;
    std::string text;
    std::uint32_t limit = 0;
    std::optional<std::chrono::milliseconds> deadline; ///< Defaults to the service's.
    std::optional<double> minimumCoverage; ///< 0 to 1; defaults to the service's.
    std::optional<std::chrono::milliseconds> answerAfter; ///< When to respond with partial coverage; 0: at the deadline. Defaults to the service's.
};

/// A caller's command after validation.
struct caller_command
{
    std::string service;
    std::string key;
    std::int64_t expiresAtUnixMilliseconds = 0;
    std::string payload; ///< JSON
    std::optional<std::chrono::milliseconds> deadline; ///< Defaults to the service's.
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

/// Result of a query. When it is answered, the hits come only from the shards that the coverage counts as answered; otherwise there are none.
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

/// Sends a message to the dispatcher of an instance.
struct send_message
{
    std::string instance;
    message content;
};

/// Returns the result of a query to its caller; emitted exactly once for each query.
struct finish_query
{
    std::uint64_t requestNumber = 0;
    query_result result;
};

/// Returns the result of a command to its caller; emitted exactly once for each command.
struct finish_command
{
    std::uint64_t requestNumber = 0;
    command_result result;
};

/// Records the span of an attempt that has ended.
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

/// Name of a refusal reason in responses to callers and in metrics: lower case with underscores. "unknown" for None.
std::string_view nameOf(refusal_reason reason);

/// "answered", "not_run" or "unknown".
std::string_view nameOf(outcome ended);

} // namespace balsamhook
