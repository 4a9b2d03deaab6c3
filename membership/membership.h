#pragma once

/// Public header of the membership library: assignment of targets, member list and lease objects, entitlement, takeover guard, and the decision
/// logic that combines them. The library uses no sockets and no clocks: its inputs are events with boot clock time points, its outputs are actions.

#include "membership/assignment.h"
#include "membership/entitlement_machine.h"
#include "membership/member_list.h"
#include "membership/membership_node.h"
#include "membership/takeover_guard.h"
