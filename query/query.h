#pragma once

/// Public header of the query library: query execution of a front end, parsing of callers' requests, and the service of balsam-front.

#include "query/admission.h"
#include "query/caller_requests.h"
#include "query/command_route.h"
#include "query/dispatcher_links.h"
#include "query/front_service.h"
#include "query/hit.h"
#include "query/latency_window.h"
#include "query/query_action.h"
#include "query/query_engine.h"
#include "query/running_query.h"
#include "query/service_layout.h"
#include "query/snapshot_choice.h"
#include "query/target_view.h"
#include "query/token_budget.h"
