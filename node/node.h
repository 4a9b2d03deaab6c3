#pragma once

/// Public header of the node library: the process that runs on each instance.

#include "node/query_node.h"
