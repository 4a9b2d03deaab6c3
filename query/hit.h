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

/// The answer of one shard.
struct query_part
{
    snapshot readFrom;
    std::vector<hit> hits;
};

/// Parses a target's JSON array of hits. Protocol when it isn't an array of {"id": text, "score": number, "fields": object}. Never throws.
result<std::vector<hit>> parseHits(std::string_view json);

/// Merges parts: by score descending, then by id; the best hit of each id, at most limit hits.
/// Precondition: every part was read from the pinned snapshot.
std::vector<hit> mergeParts(const snapshot &pinned, std::vector<query_part> parts, std::size_t limit);

} // namespace balsamhook
