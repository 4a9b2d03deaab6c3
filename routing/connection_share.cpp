#include "routing/connection_share.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr unsigned ConnectionsPerSlot = 2;
constexpr unsigned ExtraConnections = 2;
constexpr unsigned DefaultConnectionLimit = 4;
/// Share of a target's connections that one generation of sender processes uses.
constexpr double UsedShare = 0.55;
/// Share that two generations use together; the rest covers senders that haven't discovered each other yet.
constexpr double UsedShareOfTwoGenerations = 0.9;
/// Time after which a target has closed the connections of an ended process.
constexpr std::chrono::seconds ConnectionLingerTime{15};

unsigned share(double connections, unsigned senders)
{
    return static_cast<unsigned>(connections / senders);
}

} // namespace

unsigned connectionShare(const connection_demand &demand)
{
    BALSAM_ASSERT(demand.senders >= 1);
    const unsigned maximum = demand.slots * ConnectionsPerSlot + ExtraConnections;
    if (demand.targetConnectionLimit == 0) {
        return std::min(maximum, DefaultConnectionLimit);
    }
    const double total = demand.targetConnectionLimit;
    const unsigned regular = std::clamp(share(total * UsedShare, demand.senders), 1U, maximum);
    if (demand.uptime >= ConnectionLingerTime) {
        return regular;
    }
    const double remaining = total * UsedShareOfTwoGenerations - static_cast<double>(regular) * demand.senders;
    return std::clamp(share(std::max(0.0, remaining), demand.senders), 1U, regular);
}

} // namespace balsamhook
