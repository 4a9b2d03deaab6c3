#pragma once

#include "base/base.h"
#include "node/outgoing_request.h"
#include "node/peer_messages.h"
#include "quarantine/quarantine.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// Finds the requests that crash every target which runs them: those whose connection ended without an answer shortly before their target turned out to
/// be down. What this instance saw is told to the others with its heartbeats. Not thread-safe.
class crash_watch
{
public:
    using time_point = boot_clock::time_point;

    /// Precondition: log and numbers outlive the object.
    crash_watch(event_log &log, counters &numbers);

    /// The connection that carried the request ended before any byte of an answer.
    void onLost(const std::string &targetId, const outgoing_request &request, time_point now);

    /// The target accepts no connections, or has started anew: what was lost there shortly before is blamed.
    void onTargetDown(const std::string &targetId, time_point now);

    /// The target is registered no more.
    void forget(const std::string &targetId);

    /// Takes over what another instance saw.
    void merge(const std::vector<peer_crash> &seen, time_point now);

    /// What this instance saw lately, for the others.
    std::vector<peer_crash> recent(time_point now) const;

    /// Time for which the request is refused; zero when it isn't.
    std::chrono::milliseconds refusedFor(const outgoing_request &request, time_point now) const;

private:
    struct lost_request
    {
        std::uint64_t fingerprint = 0;
        std::string requestId;
        time_point at;
    };

    struct own_crash
    {
        peer_crash crash;
        time_point at;
    };

    event_log &m_log;
    counters &m_numbers;
    quarantine m_quarantine;
    std::unordered_map<std::string, std::vector<lost_request>> m_lost; ///< By target.
    std::vector<own_crash> m_own;
};

} // namespace balsamhook
