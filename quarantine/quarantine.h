#pragma once

/// Public header of the quarantine library: requests that crash targets. Whoever sends to targets blames crashes; whoever takes requests refuses those
/// that were blamed often enough.

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

/// Recognises a repeated request: the hash of its service and its text, or its key and payload.
std::uint64_t queryFingerprint(std::string_view service, std::string_view text);
std::uint64_t commandFingerprint(std::string_view service, std::string_view key, std::string_view payload);

/// Evidence after which a fingerprint is refused.
struct quarantine_thresholds
{
    std::size_t targets = 2; ///< Different targets that crashed.
    std::size_t requests = 1; ///< Different requests that were running there; callers who ask again send a new one.
};

/// Requests that crashed targets. A fingerprint with enough evidence is refused for a bounded time. Pure logic; not thread-safe.
class quarantine
{
public:
    using time_point = boot_clock::time_point;

    /// Precondition: capacity >= 1. The oldest fingerprint is forgotten when the capacity is exceeded.
    quarantine(std::chrono::milliseconds period, std::size_t capacity, quarantine_thresholds thresholds = {});

    /// Blames a crash of the target on the fingerprint. The same crash told again, with the same request id, is no new evidence; without a request id
    /// each call counts as a crash of its own.
    void recordCrash(std::uint64_t fingerprint, std::string_view target, time_point now, std::string_view requestId = {});

    /// Takes over what another owner decided.
    void merge(const quarantine_notice &notice, time_point now);

    /// Takes over what an owner saw and decided.
    void merge(const crash_notice &notice, time_point now);

    /// All recent crashes and refusals, for a front end that connects.
    crash_notice everything(time_point now) const;

    bool isRefused(std::uint64_t fingerprint, time_point now) const;

    /// Time until the fingerprint is let through again; zero when it isn't refused.
    std::chrono::milliseconds refusedFor(std::uint64_t fingerprint, time_point now) const;

    /// True when nothing was ever blamed, so that no fingerprint needs to be looked up.
    bool isEmpty() const;

    /// Fingerprints that are refused now, for other owners.
    std::vector<quarantine_notice> notices(time_point now) const;

private:
    struct suspect
    {
        std::set<std::string, std::less<>> targets; ///< That crashed; empty when only the refusal is known.
        std::set<std::string, std::less<>> requests; ///< Ids, as far as they are known.
        time_point crashedAt;
        time_point refusedUntil{};
    };

    void limitSize();
    bool isEnough(const suspect &entry) const;

    std::chrono::milliseconds m_period;
    std::size_t m_capacity;
    quarantine_thresholds m_thresholds;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace balsamhook
