#pragma once

/// Public header of the load library: open-loop load as callers make it, with a check of each answer.

#include "load/answer_check.h"
#include "load/caller_pool.h"
#include "load/latency_histogram.h"
#include "load/load_report.h"
#include "load/load_run.h"
#include "load/traffic_mix.h"
