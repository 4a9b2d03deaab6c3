#pragma once

#include <cstddef>
#include <msgpack.hpp>

namespace balsamhook
{

/// Limits for unpacking so many bytes from a peer. Space is allocated for the elements that the bytes announce, which may be far more than can follow.
inline msgpack::unpack_limit unpackLimits(std::size_t bytes)
{
    constexpr std::size_t MaxDepth = 64;
    return {bytes, bytes, bytes, bytes, bytes, MaxDepth};
}

} // namespace balsamhook
