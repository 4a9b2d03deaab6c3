#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace balsamhook
{

/// Parameters of the generated data of one service. The same parameters give the same documents in every process.
struct data_settings
{
    std::string service;
    std::string vocabulary = "fuel"; ///< "band" (pieces, bands, entries); any other name selects "fuel" (blends, lots, tanks).
    std::uint64_t seed = 1;
    std::size_t documentsPerShard = 60;
};

/// Version of a service's data: the same pair as in the protocol, defined again so that the stand-ins don't depend on the system under test.
struct data_snapshot
{
    std::uint64_t layoutEpoch = 1;
    std::uint64_t indexVersion = 1;

    auto operator<=>(const data_snapshot &other) const = default;
};

struct data_document
{
    std::string id;
    std::vector<std::string> words;
    std::map<std::string, std::string> fields;
    /// Pseudo-random component of the score that differs between documents and index versions. Less than the weight of one matched word.
    std::uint32_t rank = 0;
};

/// A matching document with its score. Hits are ordered by descending score, then by id.
struct data_hit
{
    std::string id;
    std::uint64_t score = 0;
    std::map<std::string, std::string> fields;

    bool operator==(const data_hit &other) const = default;
};

/// Generates and searches the data of one service. Caches generated shards and evicts those of the oldest snapshot first. Not thread-safe.
class data_set
{
public:
    explicit data_set(data_settings values);

    /// Returns the documents of a shard. The reference is valid until the next call.
    const std::vector<data_document> &documents(const std::string &shard, data_snapshot snapshot);

    /// Returns the best hits of one shard in order, at most `limit`.
    std::vector<data_hit> search(const std::string &shard, data_snapshot snapshot, std::string_view text, std::size_t limit);

    /// Returns the hits of a correctly merged response over these shards.
    std::vector<data_hit> mergedHits(const std::vector<std::string> &shards, data_snapshot snapshot, std::string_view text, std::size_t limit);

    /// Returns a query text of one to three words. The same number gives the same text.
    std::string sampleText(std::uint64_t number) const;

private:
    std::vector<data_document> generate(const std::string &shard, data_snapshot snapshot) const;

    data_settings m_settings;
    std::map<std::tuple<data_snapshot, std::string>, std::vector<data_document>> m_cache;
};

/// Returns the hits as the JSON array in a target's response: [{"id","score","fields"}].
std::string hitsJson(const std::vector<data_hit> &hits);

} // namespace balsamhook
