#pragma once

#include <cstdint>

namespace balsamhook
{

/// State in the life cycle of a plan.
enum class plan_state : std::uint8_t {
    Proposed,
    Confirming, ///< The root update may have been sent; its outcome isn't known yet.
    Applied,
    Refused, ///< The base revision was stale, or another writer made the next revision.
};

} // namespace balsamhook
