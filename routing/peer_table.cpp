#include "routing/peer_table.h"

#include <algorithm>

namespace balsamhook
{

peer_table::peer_table(std::string self)
    : m_self(std::move(self))
{
}

bool peer_table::onHeartbeat(const peer_status &status, clock::time_point now)
{
    if (status.instance == m_self) {
        return false;
    }
    m_addresses[status.address] = now;
    peer &known = m_peers[status.instance];
    if (status.incarnation < known.status.incarnation) {
        return false;
    }
    const bool isNew = known.status.incarnation != status.incarnation || !isAlive(known, now);
    const std::string previousDemand = known.status.incarnation == status.incarnation ? known.status.limitDemand : std::string();
    known.status = status;
    if (known.status.limitDemand.empty()) {
        known.status.limitDemand = previousDemand;
    }
    known.lastHeartbeatAt = now;
    m_wasAlive[status.instance] = true;
    return isNew;
}

bool peer_table::addAddress(const std::string &address, clock::time_point now)
{
    return m_addresses.emplace(address, now).second;
}

bool peer_table::isAlive(const peer &known, clock::time_point now)
{
    return known.lastHeartbeatAt != clock::time_point{} && now - known.lastHeartbeatAt <= known.status.interval * AliveIntervals;
}

bool peer_table::isAlive(const std::string &instance, clock::time_point now) const
{
    const auto found = m_peers.find(instance);
    return found != m_peers.end() && isAlive(found->second, now);
}

std::vector<peer_table::peer> peer_table::alive(clock::time_point now) const
{
    std::vector<peer> alivePeers;
    for (const auto &[name, known] : m_peers) {
        if (isAlive(known, now)) {
            alivePeers.push_back(known);
        }
    }
    return alivePeers;
}

std::vector<std::string> peer_table::addresses() const
{
    std::vector<std::string> all;
    all.reserve(m_addresses.size());
    for (const auto &[address, seenAt] : m_addresses) {
        all.push_back(address);
    }
    return all;
}

std::vector<peer_table::peer> peer_table::recent(clock::time_point now) const
{
    std::vector<peer> recentPeers;
    for (const auto &[name, known] : m_peers) {
        if (now - known.lastHeartbeatAt <= RetentionPeriod) {
            recentPeers.push_back(known);
        }
    }
    return recentPeers;
}

std::vector<std::string> peer_table::expire(clock::time_point now)
{
    std::vector<std::string> lost;
    for (auto &[name, wasAlive] : m_wasAlive) {
        const auto found = m_peers.find(name);
        const bool isAliveNow = found != m_peers.end() && isAlive(found->second, now);
        if (wasAlive && !isAliveNow) {
            lost.push_back(name);
        }
        wasAlive = isAliveNow;
    }
    std::erase_if(m_peers, [now](const auto &entry) { return now - entry.second.lastHeartbeatAt > RetentionPeriod; });
    std::erase_if(m_addresses, [now](const auto &entry) { return now - entry.second > RetentionPeriod; });
    return lost;
}

} // namespace balsamhook
