#pragma once

/// Public header of the base library: assertions, errors, clocks, timers, hashes, counters, spans, settings and logging.

#include "base/assert.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/event_log.h"
#include "base/hash.h"
#include "base/logging.h"
#include "base/settings.h"
#include "base/spans.h"
#include "base/time.h"
#include "base/timer_queue.h"
