#pragma once

/// Public header of the dispatch library: sends attempts to the targets that an instance owns, with connection limits, slow start, queues and
/// command claims.

#include "dispatch/claim_ledger.h"
#include "dispatch/claim_machine.h"
#include "dispatch/claim_object.h"
#include "dispatch/claim_task.h"
#include "dispatch/dispatcher.h"
#include "dispatch/slot_limit.h"
#include "dispatch/target_connections.h"
#include "dispatch/target_machine.h"
#include "dispatch/target_scheduler.h"
#include "dispatch/target_task.h"
