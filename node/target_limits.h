#pragma once

#include "base/base.h"
#include "node/peer_messages.h"
#include "routing/routing.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// An instance that shares targets with this one, and the limited targets that it has requests for.
struct limit_peer
{
    std::string instance;
    demand_filter demand;
};

/// Request limits that targets have named, and this instance's share of each. The instances with requests for a limited target agree on their shares by
/// what their heartbeats say. All times are of the steady clock. Not thread-safe.
class target_limits
{
public:
    using clock = std::chrono::steady_clock;

    /// Preconditions: log and metrics outlive the object. instance: name of this instance.
    target_limits(event_log &log, counters &metrics, const std::string &instance);

    /// Records the limit, in requests a second, that a target named in a response.
    void onNamed(const std::string &targetId, double perSecond, clock::time_point now);

    /// To be called when a successful response named no limit. Ends the limit unless the target named it after the request was sent.
    void onNotNamed(const std::string &targetId, clock::time_point sentAt, clock::time_point now);

    /// To be called when the target has ended or started again.
    void onTargetEnded(const std::string &targetId);

    bool isLimited(const std::string &targetId) const;

    /// Records that this instance has a request for the target.
    void onWanted(const std::string &targetId, clock::time_point now);

    /// Returns when this instance may send the next request to the target: in the past when it may be sent now, and time_point::max() when only other
    /// instances send to it. A hedge may use only what can't be saved for other requests.
    clock::time_point availableAt(const std::string &targetId, bool isHedge = false) const;

    /// Returns the requests a second that one of the instances sends to the target on average; 0 when it is not limited.
    double meanShare(const std::string &targetId) const;

    /// Counts a request to the target.
    void onSent(const std::string &targetId, clock::time_point now);

    /// Computes the shares for the instances that are alive now. To be called several times a second.
    void update(const std::vector<limit_peer> &peers, clock::time_point now);

    /// The limited targets that this instance has requests for, for its heartbeats.
    std::string demand(clock::time_point now) const;

    /// Returns the limits to announce with the next heartbeat: those that other instances can't learn from the target, a part of them at a time.
    std::vector<peer_limit> announcements(clock::time_point now);

    /// Records limits that a peer announced.
    void merge(const std::vector<peer_limit> &announced, clock::time_point now);

    /// Number of limited targets.
    std::size_t size() const;

    bool isEmpty() const;

private:
    struct limit
    {
        double perSecond = 0; ///< 0: ended; kept for a time, so that the end is announced.
        clock::time_point namedAt{}; ///< When the target sent the value, here or to the peer that announced it.
        clock::time_point firstNamedAt{};
        clock::time_point wantedAt{}; ///< When this instance last had a request for the target.
        bool isOwnResponse = false; ///< The value comes from a response to this instance.
        limit_share share;
        std::size_t instances = 1; ///< That have requests for the target.
        request_pacer pacer;
    };

    void set(const std::string &targetId, double perSecond, clock::time_point namedAt, bool isOwnResponse, clock::time_point now);
    void updateShare(const std::string &targetId, limit &known, const std::vector<limit_peer> &peers, clock::time_point now);
    bool isOutdated(const limit &known, clock::time_point now) const;
    bool isAnnounced(const limit &known, clock::time_point now) const;
    void logChange(const char *event, const std::string &targetId, const limit &known, bool isOwnResponse, clock::time_point now);

    event_log &m_log;
    counters &m_metrics;
    const std::string &m_instance;
    std::unordered_map<std::string, limit> m_limits; ///< Key: target.
    std::string m_lastAnnounced; ///< Where the next announcement continues, in the order of the targets' ids.
};

} // namespace balsamhook
