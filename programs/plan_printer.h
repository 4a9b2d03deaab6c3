#pragma once

#include <string>
#include <string_view>

namespace balsamhook
{

/// Formats a plan in the controller's JSON for an operator: steps, preview and warnings. Text that isn't a JSON object is returned unchanged.
std::string formatPlan(std::string_view plan);

/// Formats JSON as indented text without quotes and braces. Lists of objects whose values are primitives or lists of primitives become tables.
/// Text that isn't JSON is returned unchanged.
std::string formatJson(std::string_view json);

/// Formats an error response: the status, the text of the field "error", and all other fields.
std::string formatRefusal(unsigned status, std::string_view body);

} // namespace balsamhook
