#pragma once

/// Public header of the load library: open-loop load generation as a caller, with a check of each response.

#include "load/front_connection_pool.h"
#include "load/latency_histogram.h"
#include "load/load_report.h"
#include "load/load_run.h"
#include "load/response_checker.h"
#include "load/traffic_mix.h"
