#pragma once

#include <string>
#include <string_view>

namespace balsamhook
{

/// Formats a plan in the controller's JSON for an operator: steps, preview and warnings. Text that isn't a JSON object is
/// returned with a newline appended.
std::string formatPlan(std::string_view planText);

/// Formats JSON as indented text without quotes and braces. Lists of objects whose values are primitives or lists of primitives become tables.
/// Text that isn't JSON is returned with a newline appended.
std::string formatJson(std::string_view jsonText);

/// Formats an error response: the status, the text of the field "error", and all other fields. A body that isn't a JSON object follows the status as
/// it is.
std::string formatRefusal(unsigned status, std::string_view body);

} // namespace balsamhook
