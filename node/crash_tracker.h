#pragma once

#include "base/base.h"
#include "node/outgoing_request.h"
#include "node/peer_messages.h"
#include "quarantine/quarantine.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// Finds requests that crash the targets which run them: those whose connection ended without a response shortly before the target was found to be down.
/// Crashes seen by this instance are announced to its peers with its heartbeats. Not thread-safe.
class crash_tracker
{
public:
    using time_point = boot_clock::time_point;

    /// Precondition: log and metrics outlive the object.
    crash_tracker(event_log &log, counters &metrics);

    /// To be called when the connection that carried the request ended before any byte of the response.
    void onConnectionLost(const std::string &targetId, const outgoing_request &request, time_point now);

    /// To be called when the target accepts no connections or has restarted. Attributes a crash to the requests that were lost there shortly before.
    void onTargetDown(const std::string &targetId, time_point now);

    /// To be called when the target turned out to run after the losses recorded there: they have another cause, and are discarded.
    void onTargetAlive(const std::string &targetId);

    /// True if requests were lost at the target and it is still open whether it crashed.
    bool hasLosses(const std::string &targetId) const;

    /// To be called when the target's registration disappeared without notice. Attributes a crash to the requests that were lost there within the lapse, the
    /// time that a registration outlives its target.
    void onTargetExpired(const std::string &targetId, std::chrono::milliseconds lapse, time_point now);

    /// To be called when the target has left as announced. Discards the requests that were lost there.
    void onTargetLeft(const std::string &targetId);

    /// Records crashes that a peer announced.
    void merge(const std::vector<peer_crash> &crashes, time_point now);

    /// Returns the crashes to announce to peers, newest first.
    std::vector<peer_crash> recentCrashes(time_point now) const;

    /// Records refusals that a peer announced or that the store holds.
    void merge(const std::vector<peer_refusal> &refusals, time_point now);

    /// Returns the refusals to announce to peers, whether this instance or another one decided them; those that last longest first.
    std::vector<peer_refusal> currentRefusals(time_point now) const;

    /// Returns a few of currentRefusals(), others at the next call.
    std::vector<peer_refusal> nextRefusals(time_point now);

    /// Number of refusals that this instance decided on crashes that it noticed itself. Each change has to be stored, so that it survives a restart of all
    /// instances.
    std::uint64_t decisions() const;

    /// To be called when the request was answered completely.
    void onCompleted(const outgoing_request &request, time_point now);

    /// True when an earlier request with the same content was in flight at enough crashed targets to be refused if this one crashes a target too.
    bool isSuspected(const outgoing_request &request, time_point now) const;

    /// Returns how long the request is still refused; zero when it isn't.
    std::chrono::milliseconds refusedFor(const outgoing_request &request, time_point now) const;

private:
    struct lost_request
    {
        std::uint64_t fingerprint = 0;
        std::string requestId;
        time_point at;
    };

    struct local_crash
    {
        peer_crash crash;
        time_point at;
    };

    void attributeCrash(const std::string &targetId, std::chrono::milliseconds maxAge, time_point now);
    void recordCrash(const std::string &targetId, const lost_request &entry, time_point now);
    void discard(const std::string &targetId, std::string_view reason);
    void logDiscarded(const std::string &targetId, const lost_request &entry, std::string_view reason);

    event_log &m_log;
    counters &m_metrics;
    quarantine m_quarantine;
    std::unordered_map<std::string, std::vector<lost_request>> m_lostRequests; ///< Key: target.
    std::vector<local_crash> m_localCrashes;
    std::uint64_t m_decisions = 0;
    std::size_t m_nextRefusal = 0; ///< Where nextRefusals() continues.
};

} // namespace balsamhook
