#pragma once

/// Public header of the routing library: choice of targets, hedging and retries, partial responses, admission under overload, and placement of callers.
/// Pure logic without sockets and clocks.

#include "routing/caller_placement.h"
#include "routing/cold_start_limiter.h"
#include "routing/concurrency_limiter.h"
#include "routing/connection_share.h"
#include "routing/data_centre_monitor.h"
#include "routing/in_flight_limit.h"
#include "routing/latency_window.h"
#include "routing/limit_share.h"
#include "routing/peer_table.h"
#include "routing/recent_minimum.h"
#include "routing/replica_choice.h"
#include "routing/request_pacer.h"
#include "routing/response_policy.h"
#include "routing/retry_budget.h"
#include "routing/sender_set.h"
#include "routing/target_health.h"
#include "routing/target_notices.h"
#include "routing/unqueued_latency.h"
