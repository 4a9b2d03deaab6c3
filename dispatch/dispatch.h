#pragma once

/// Public header of the dispatch library: slots, slow start, queues, quarantine and claims of an owner's targets.

#include "dispatch/quarantine.h"
#include "dispatch/slot_limit.h"
#include "dispatch/target_machine.h"
#include "dispatch/target_scheduler.h"
