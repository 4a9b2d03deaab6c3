#pragma once

/// Public header of the dispatch library: slots, slow start, queues, quarantine and claims of an owner's targets.

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
