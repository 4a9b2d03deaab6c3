#pragma once

#include "query/service_layout.h"
#include "query/target_view.h"

#include <optional>

namespace balsamhook
{

struct snapshot_choice
{
    snapshot chosen;
    std::size_t shards = 0; ///< Shards with at least one usable replica that holds the snapshot.
};

/// Returns the newest snapshot of the configured layout that a usable replica of every shard holds. If no snapshot covers all shards, returns the one
/// that covers the most shards, the newest among equals. newerThan excludes that snapshot and all older ones. No value when no snapshot qualifies.
std::optional<snapshot_choice> chooseSnapshot(const service_layout &service, const target_view &targets, std::optional<snapshot> newerThan = std::nullopt);

} // namespace balsamhook
