#pragma once

/// Public header of the quarantine library: requests that crash targets. Owners blame crashes, front ends refuse what two targets crashed on.

#include "base/base.h"
#include "wire/protocol.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Recognises a repeated request: the hash of its service and its text, or its key and payload.
std::uint64_t queryFingerprint(std::string_view service, std::string_view text);
std::uint64_t commandFingerprint(std::string_view service, std::string_view key, std::string_view payload);

/// Requests that crashed targets. After the second crash on a different target a fingerprint is refused for a bounded time.
/// Pure logic; not thread-safe.
class quarantine
{
public:
    using time_point = boot_clock::time_point;

    /// Precondition: capacity >= 1. The oldest fingerprint is forgotten when the capacity is exceeded.
    quarantine(std::chrono::milliseconds period, std::size_t capacity);

    /// Blames a crash of the target on the fingerprint.
    void recordCrash(std::uint64_t fingerprint, std::string_view target, time_point now);

    /// Takes over what another owner decided.
    void merge(const quarantine_notice &notice, time_point now);

    /// Takes over what an owner saw and decided.
    void merge(const crash_notice &notice, time_point now);

    /// All recent crashes and refusals, for a front end that connects.
    crash_notice everything(time_point now) const;

    bool isRefused(std::uint64_t fingerprint, time_point now) const;

    /// Fingerprints that are refused now, for other owners.
    std::vector<quarantine_notice> notices(time_point now) const;

private:
    struct suspect
    {
        std::string target; ///< Of the first crash; empty when only the refusal is known.
        time_point crashedAt;
        time_point refusedUntil{};
    };

    void limitSize();

    std::chrono::milliseconds m_period;
    std::size_t m_capacity;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace balsamhook
