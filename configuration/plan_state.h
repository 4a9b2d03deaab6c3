#pragma once

#include <cstdint>

namespace balsamhook
{

/// Where a plan is in its life cycle.
enum class plan_state : std::uint8_t {
    Proposed,
    Confirming, ///< The root update was sent, its outcome isn't known yet.
    Applied,
    Refused, ///< The base revision was stale, or the operator was refused.
};

} // namespace balsamhook
