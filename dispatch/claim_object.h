#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Number of claim objects of one service. Part of the stored format, so all instances must use the same value.
constexpr std::uint64_t ClaimBuckets = 64;

enum class recorded_state : std::uint8_t {
    Claimed, ///< The command may be running, or its owner failed.
    Answered,
    Unknown,
};

/// The stored claim of one key.
struct claim_record
{
    std::chrono::milliseconds expiresAt{0}; ///< Unix time
    recorded_state state = recorded_state::Claimed;
    std::string nonce; ///< Identifies the command that wrote the claim.
    std::string result; ///< JSON text of an answered command; empty when the result exceeds claim_limits::resultBytes.
};

using claim_records = std::map<std::string, claim_record, std::less<>>;

/// Bucket of a command's key, 0 to ClaimBuckets - 1.
std::uint64_t claimBucket(std::string_view key);

/// Name of the object with the claims of the key's bucket: "{service}-{bucket}".
std::string claimObjectName(std::string_view service, std::string_view key);

/// False when the key isn't valid UTF-8: JSON would change the key, and its repetition wouldn't be detected.
bool isStorableKey(std::string_view key);

/// Serializes the claims of a bucket as JSON; equal records give equal texts.
std::string claimText(const claim_records &records);

/// Parses the output of claimText(); Protocol when it is malformed. Never throws.
result<claim_records> parseClaims(std::string_view text);

} // namespace balsamhook
