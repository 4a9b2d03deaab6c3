#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamhook
{

/// 64-bit hash that is the same on every instance and in every version (xxhash). Thread-safe.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// 128-bit content hash as 32 hexadecimal digits, for names of immutable objects. Thread-safe.
std::string contentHash(std::string_view text);

/// Random identifier of 16 hexadecimal digits, for nonces, incarnations, trace ids and query ids. The generator of each thread is seeded from the system's
/// entropy source; it isn't cryptographically secure. Thread-safe.
std::string randomId();

} // namespace balsamhook
