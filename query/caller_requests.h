#pragma once

#include "http/http.h"
#include "query/query_action.h"
#include "query/service_layout.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace balsamhook
{

/// Error in a caller's request.
struct bad_request
{
    std::string message;
    std::string field; ///< Empty when the body as a whole is invalid.
};

/// Parses the body of POST /v1/query. Rejects missing, unknown and repeated fields, wrong types and values out of range. Never throws.
std::variant<query_request, bad_request> parseQuery(std::string_view body);

/// Parses the body of POST /v1/command under the same rules. Never throws.
std::variant<caller_command, bad_request> parseCommand(std::string_view body);

/// Checks the service kind and the deadline of a request against its service. No value when the request is valid.
std::optional<bad_request> checkQuery(const query_request &request, const service_layout &service);
std::optional<bad_request> checkCommand(const caller_command &command, const service_layout &service);

/// Responses to callers, in the format of section 4.1 of docs/design.md.
http_response queryResponse(const query_result &result);
http_response commandResponse(const command_result &result);
http_response addressResponse(const std::vector<std::string> &addresses, std::chrono::milliseconds validity);

} // namespace balsamhook
