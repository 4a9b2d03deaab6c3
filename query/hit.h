#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

struct hit
{
    std::string id;
    double score = 0;
    std::string fields; ///< JSON object
};

/// The response of one shard.
struct query_part
{
    snapshot readFrom;
    std::vector<hit> hits;
};

/// Parses a target's JSON array of {"id": string, "score": number, "fields": object}, where "fields" is optional. Fails with Protocol on anything else.
/// Never throws.
result<std::vector<hit>> parseHits(std::string_view json);

/// Merges the hits of all parts, sorted by descending score, then by id. Keeps the best hit of each id and at most limit hits.
/// Precondition: every part was read from the pinned snapshot.
std::vector<hit> mergeParts(const snapshot &pinned, std::vector<query_part> parts, std::size_t limit);

} // namespace balsamhook
