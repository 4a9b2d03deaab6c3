#pragma once

/// Public header of the stand-in library: generated data, the model of a target, targets that serve HTTP, and a network link with delays and faults.

#include "standins/command_ledger.h"
#include "standins/data_set.h"
#include "standins/link_relay.h"
#include "standins/link_rules.h"
#include "standins/site.h"
#include "standins/target_model.h"
#include "standins/target_process.h"
