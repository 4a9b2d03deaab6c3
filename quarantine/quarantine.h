#pragma once

/// Public header of the quarantine library: detects requests that crash targets. Owners of targets (the instances that send to them) attribute
/// crashes to requests; front ends (the instances that accept requests) refuse those with enough evidence.

#include "base/base.h"
#include "wire/protocol.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Identifies repetitions of a query: hash of service and text.
std::uint64_t queryFingerprint(std::string_view service, std::string_view text);

/// Identifies repetitions of a command: hash of service, key and payload.
std::uint64_t commandFingerprint(std::string_view service, std::string_view key, std::string_view payload);

/// Minimum evidence to refuse a fingerprint.
struct quarantine_thresholds
{
    std::size_t targets = 2; ///< Distinct targets that crashed.
    std::size_t requests = 1; ///< Distinct requests that ran there; a caller's retry is a new request.
};

/// Crashes of targets by request fingerprint. A fingerprint with enough evidence is refused for a limited period. Pure logic; not thread-safe.
class quarantine
{
public:
    using time_point = boot_clock::time_point;

    /// Preconditions: capacity >= 1, thresholds.targets >= 1. When the capacity (in fingerprints) is exceeded, the oldest fingerprint is evicted. With a
    /// longest period above the first one, a single crash within the longest period after the end of a refusal renews it for a multiple of its last period.
    quarantine(std::chrono::milliseconds period,
               std::size_t capacity,
               quarantine_thresholds thresholds = {},
               std::chrono::milliseconds longestPeriod = std::chrono::milliseconds(0));

    /// Attributes a crash of the target to the fingerprint. A repeated report with the same target and request id is no new evidence. Without a request
    /// id, each call renews the time of the last crash, but only a new target is evidence.
    void recordCrash(std::uint64_t fingerprint, std::string_view target, time_point now, std::string_view requestId = {});

    /// Merges a refusal by another owner of targets; its remaining time is limited to the longest period.
    void merge(const quarantine_notice &notice, time_point now);

    /// Merges the crashes and refusals reported by an owner of targets.
    void merge(const crash_notice &notice, time_point now);

    /// Recent crashes and current refusals, sent to a front end when it connects.
    crash_notice snapshot(time_point now) const;

    bool isRefused(std::uint64_t fingerprint, time_point now) const;

    /// Remaining time of the refusal; zero when the fingerprint isn't refused.
    std::chrono::milliseconds refusedFor(std::uint64_t fingerprint, time_point now) const;

    /// To be called when a request with the fingerprint was answered completely. After the end of a refusal this shows that it crashes targets no more, and
    /// what was recorded is discarded. No effect before: other requests may share the fingerprint.
    void onCompleted(std::uint64_t fingerprint, time_point now);

    /// True when the fingerprint crashed as many targets as a refusal needs, but not yet with as many requests.
    bool isSuspected(std::uint64_t fingerprint, time_point now) const;

    /// True when no fingerprint is recorded; computing one can then be skipped.
    bool isEmpty() const;

    /// Currently refused fingerprints, sent to other owners.
    std::vector<quarantine_notice> notices(time_point now) const;

private:
    struct suspect
    {
        std::set<std::string, std::less<>> targets; ///< Crashed targets; empty when only the refusal is known.
        std::set<std::string, std::less<>> requests; ///< Known request ids.
        time_point crashedAt;
        time_point refusedUntil{};
        std::chrono::milliseconds lastPeriod{0}; ///< Of the last refusal; 0 when there was none.
    };

    bool isOnProbation(const suspect &entry, time_point now) const;
    static void refuse(suspect &entry, std::chrono::milliseconds period, time_point now);

    void limitSize();
    bool hasEnoughEvidence(const suspect &entry) const;

    std::chrono::milliseconds m_period;
    std::size_t m_capacity;
    quarantine_thresholds m_thresholds;
    std::chrono::milliseconds m_longestPeriod;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace balsamhook
