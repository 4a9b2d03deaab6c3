#pragma once

#include <chrono>

namespace balsamhook
{

/// Input for the connection limit of one instance to one target.
struct connection_demand
{
    unsigned targetConnectionLimit = 0; ///< For all senders together; 0: unknown.
    unsigned slots = 1; ///< Requests that the target processes concurrently.
    unsigned senders = 1; ///< That share the target's connections; at least 1.
    std::chrono::milliseconds uptime{0}; ///< Of this process.
};

/// Limit of connections from one sender to one target; at least 1. A target counts the connections of an instance that lost power until they time out.
/// The sum over all senders therefore leaves capacity for a second generation of processes, and a process that has just started uses only connections
/// that its predecessor can't have held. Otherwise targets reset connections above their limit when all instances reconnect after a power loss.
unsigned connectionShare(const connection_demand &demand);

} // namespace balsamhook
