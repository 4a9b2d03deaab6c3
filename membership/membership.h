#pragma once

/// Public header of the membership library: assignment of targets, member list and lease objects, entitlement, takeover guard, and the decision
/// logic that ties them together. Nothing here has sockets or clocks: events and boot clock time points go in, actions come out.

#include "membership/assignment.h"
#include "membership/entitlement_machine.h"
#include "membership/member_list.h"
#include "membership/membership_node.h"
#include "membership/takeover_guard.h"
