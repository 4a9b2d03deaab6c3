#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// What an instance says of itself to the others.
struct peer_status
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< Time of its start; a later process has a greater one.
    std::string address; ///< IP address; ports are the same on all instances.
    std::string dataCentre;
    endpoint callers;
    bool isServing = false; ///< Has a configuration and isn't stopping.
    bool isImpaired = false; ///< Can't reach enough targets for some route.
    double processorShare = 1;
    std::size_t mostSenders = 0; ///< Instances that may run callers' requests, as the targets' connections allow; 0: not known to it.
    std::chrono::milliseconds interval{0}; ///< Until its next heartbeat, as it says.
    std::vector<std::string> targetDataCentres; ///< That hold enough targets to send callers there; empty: not known to it.
};

/// The other instances and when they were last heard. Pure logic; not thread-safe.
class peer_table
{
public:
    using clock = std::chrono::steady_clock;

    struct peer
    {
        peer_status status;
        clock::time_point heardAt{}; ///< Never heard: the start of the clock.
    };

    /// A peer is taken to be alive for this many of its heartbeat intervals.
    static constexpr int AliveIntervals = 4;
    /// A peer that was not heard for this long is forgotten.
    static constexpr std::chrono::seconds MemoryTime{30};

    explicit peer_table(std::string self);

    /// A heartbeat arrived. Returns true when the peer is new, has restarted, or was not taken to be alive.
    bool hear(const peer_status &status, clock::time_point now);

    /// Someone else told of an address; it gets heartbeats until it answers or the memory time ends.
    /// Returns true when the address is new.
    bool learnAddress(const std::string &address, clock::time_point now);

    bool isAlive(const std::string &instance, clock::time_point now) const;

    /// Peers that are alive.
    std::vector<peer> alive(clock::time_point now) const;

    /// Addresses that get heartbeats.
    std::vector<std::string> addresses() const;

    /// Peers that are alive or were so within the memory time.
    std::vector<peer> recent(clock::time_point now) const;

    /// Forgets what is too old. Returns the instances that ceased to be alive since the last call.
    std::vector<std::string> expire(clock::time_point now);

private:
    static bool isAlive(const peer &known, clock::time_point now);

    std::string m_self;
    std::map<std::string, peer> m_peers; ///< By instance.
    std::map<std::string, clock::time_point> m_addresses; ///< When each was last mentioned.
    std::map<std::string, bool> m_wasAlive;
};

} // namespace balsamhook
