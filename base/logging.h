#pragma once

#include <string>
#include <string_view>

namespace balsamhook
{

/// Starts glog on standard error for this program. Precondition: called once, at the start of main().
void startLogging(const std::string &programName);

/// Writes one log line "part: sentence". The part is the fixed prefix of a program or library, for example "dispatch". Thread-safe.
void logInfo(std::string_view part, std::string_view sentence);
void logWarning(std::string_view part, std::string_view sentence);
void logError(std::string_view part, std::string_view sentence);

} // namespace balsamhook
