#include "routing/connection_share.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr unsigned ConnectionsPerSlot = 2;
constexpr unsigned SpareConnections = 2;
constexpr unsigned UnknownConnectionLimit = 4;
/// Part of a target's connections that one generation of senders uses.
constexpr double UsedShare = 0.55;
/// Part that two generations use together; the rest covers senders that don't know of each other yet.
constexpr double UsedShareOfBoth = 0.9;
/// Time after which a target has dropped the connections of a process that is gone.
constexpr std::chrono::seconds LingerTime{15};

unsigned share(double connections, unsigned senders)
{
    return static_cast<unsigned>(connections / senders);
}

} // namespace

unsigned connectionShare(const connection_demand &demand)
{
    BALSAM_ASSERT(demand.senders >= 1);
    const unsigned useful = demand.slots * ConnectionsPerSlot + SpareConnections;
    if (demand.connectionsOfTarget == 0) {
        return std::min(useful, UnknownConnectionLimit);
    }
    const double all = demand.connectionsOfTarget;
    const unsigned usual = std::clamp(share(all * UsedShare, demand.senders), 1U, useful);
    if (demand.uptime >= LingerTime) {
        return usual;
    }
    const double left = all * UsedShareOfBoth - static_cast<double>(usual) * demand.senders;
    return std::clamp(share(std::max(0.0, left), demand.senders), 1U, usual);
}

} // namespace balsamhook
