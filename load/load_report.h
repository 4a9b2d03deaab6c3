#pragma once

#include "load/load_run.h"

#include <string>

namespace balsamhook
{

/// Returns the figures as a text table for a terminal.
std::string reportTable(const load_figures &figures);

/// Returns the figures as a JSON document. Latencies are in milliseconds.
std::string reportJson(const load_figures &figures);

} // namespace balsamhook
