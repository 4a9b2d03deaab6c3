#pragma once

#include <string>
#include <string_view>

namespace balsamhook
{

/// Returns a plan, as the controller sends it (JSON), as text for an operator: steps, preview and warnings.
/// Text that isn't JSON is returned as it is.
std::string planForOperator(std::string_view plan);

/// Returns JSON as indented text without quotes and braces; lists of objects become tables when their values are simple.
std::string jsonForOperator(std::string_view json);

/// Returns the sentence of an error answer {"error","field"}, with everything else it says.
std::string refusalForOperator(unsigned status, std::string_view body);

} // namespace balsamhook
