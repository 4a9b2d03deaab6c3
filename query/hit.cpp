#include "query/hit.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace balsamhook
{

namespace
{

bool isHit(const nlohmann::json &item)
{
    if (!item.is_object() || !item.contains("id") || !item["id"].is_string() || !item.contains("score") || !item["score"].is_number()) {
        return false;
    }
    return !item.contains("fields") || item["fields"].is_object();
}

} // namespace

result<std::vector<hit>> parseHits(std::string_view json)
{
    const nlohmann::json parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_array() || !std::all_of(parsed.begin(), parsed.end(), isHit)) {
        return failure(error_code::Protocol, error_step::Decode, "", "hits are not an array of objects with id and score");
    }
    std::vector<hit> hits;
    hits.reserve(parsed.size());
    for (const nlohmann::json &item : parsed) {
        hits.push_back({item["id"].get<std::string>(), item["score"].get<double>(), item.contains("fields") ? item["fields"].dump() : "{}"});
    }
    return hits;
}

std::vector<hit> mergeParts(const snapshot &pinned, std::vector<query_part> parts, std::size_t limit)
{
    std::vector<hit> all;
    for (query_part &part : parts) {
        BALSAM_ASSERT(part.readFrom == pinned);
        std::move(part.hits.begin(), part.hits.end(), std::back_inserter(all));
    }
    std::sort(
        all.begin(), all.end(), [](const hit &left, const hit &right) { return left.score != right.score ? left.score > right.score : left.id < right.id; });
    std::unordered_set<std::string_view> seen;
    std::vector<hit> merged;
    // Moving a hit invalidates views into a short id (small-string optimisation), so positions are collected first.
    std::vector<std::size_t> kept;
    for (std::size_t i = 0; i < all.size() && kept.size() < limit; ++i) {
        if (seen.insert(all[i].id).second) {
            kept.push_back(i);
        }
    }
    merged.reserve(kept.size());
    for (const std::size_t position : kept) {
        merged.push_back(std::move(all[position]));
    }
    return merged;
}

} // namespace balsamhook
