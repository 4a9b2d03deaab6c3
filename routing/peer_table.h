#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Status of an instance, announced to its peers by heartbeats.
struct peer_status
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< Start time; a later process has a greater one.
    std::string address; ///< IP address; ports are the same on all instances.
    std::string dataCentre;
    endpoint callers; ///< Address for callers.
    bool isServing = false; ///< Has a configuration and isn't stopping.
    bool isImpaired = false; ///< At least one route can't be served because of unreachable data centres.
    double processorShare = 1; ///< In cores.
    std::size_t maxSenders = 0; ///< Limit of senders derived from the targets' connection limits; 0: unknown.
    std::chrono::milliseconds interval{0}; ///< Announced time until its next heartbeat.
    std::vector<std::string> targetDataCentres; ///< Data centres with enough targets to direct callers there; empty: unknown.
    std::string limitDemand; ///< Encoded demand_filter; empty: not known.
};

/// The peers of this instance and the times of their last heartbeats. Pure logic; not thread-safe.
class peer_table
{
public:
    using clock = std::chrono::steady_clock;

    struct peer
    {
        peer_status status;
        clock::time_point lastHeartbeatAt{}; ///< Epoch: no heartbeat yet.
    };

    /// A peer counts as alive for this many heartbeat intervals after its last heartbeat.
    static constexpr int AliveIntervals = 4;
    /// Peers and addresses are removed after this time without a heartbeat.
    static constexpr std::chrono::seconds RetentionPeriod{30};

    explicit peer_table(std::string self);

    /// Records a heartbeat. Returns true when the peer is new, has restarted or wasn't alive. The status of this instance or of an earlier process is
    /// ignored.
    bool onHeartbeat(const peer_status &status, clock::time_point now);

    /// Adds an address from another source than a heartbeat; it receives heartbeats until the retention period ends. Returns true when it is new.
    bool addAddress(const std::string &address, clock::time_point now);

    bool isAlive(const std::string &instance, clock::time_point now) const;

    std::vector<peer> alive(clock::time_point now) const;

    /// Addresses to which heartbeats are sent.
    std::vector<std::string> addresses() const;

    /// Peers with a heartbeat within the retention period.
    std::vector<peer> recent(clock::time_point now) const;

    /// Removes peers and addresses after the retention period. Returns the instances that ceased to be alive since the last call.
    std::vector<std::string> expire(clock::time_point now);

private:
    static bool isAlive(const peer &known, clock::time_point now);

    std::string m_self;
    std::map<std::string, peer> m_peers; ///< Key: instance.
    std::map<std::string, clock::time_point> m_addresses; ///< Value: time of the last heartbeat, or when it was added.
    std::map<std::string, bool> m_wasAlive;
};

} // namespace balsamhook
