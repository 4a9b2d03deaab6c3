#pragma once

#include "load/load_run.h"

#include <string>

namespace balsamhook
{

/// Returns the statistics as a text table for a terminal.
std::string reportTable(const load_statistics &statistics);

/// Returns the statistics as a JSON document. Latencies are in milliseconds.
std::string reportJson(const load_statistics &statistics);

} // namespace balsamhook
