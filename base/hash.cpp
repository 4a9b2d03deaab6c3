#include "base/hash.h"

#include <iomanip>
#include <random>
#include <sstream>
#include <xxhash.h>

namespace balsamhook
{

namespace
{

std::string toHex(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << number;
    return text.str();
}

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string contentHash(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return toHex(hash.high64) + toHex(hash.low64);
}

std::string randomId()
{
    thread_local std::mt19937_64 generator = [] {
        std::random_device entropy;
        std::seed_seq seed{entropy(), entropy(), entropy(), entropy()};
        return std::mt19937_64(seed);
    }();
    return toHex(generator());
}

} // namespace balsamhook
