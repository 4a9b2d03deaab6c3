#pragma once

#include <chrono>

namespace balsamhook
{

/// What decides how many connections one instance may have to one target.
struct connection_demand
{
    unsigned connectionsOfTarget = 0; ///< That it accepts from all senders together; 0: not known.
    unsigned slots = 1;
    unsigned senders = 1; ///< Instances that share the target's connections; at least 1.
    std::chrono::milliseconds uptime{0}; ///< Of this process.
};

/// Connections that one sender may have to one target; at least 1. A target counts the connections of an instance that lost power until they time out, so
/// the sum over all senders leaves room for a second generation, and a process that has just started takes only what its predecessor cannot have held.
/// Answers the load of reconnecting after all instances lost power, when targets reset what is above their limit.
unsigned connectionShare(const connection_demand &demand);

} // namespace balsamhook
