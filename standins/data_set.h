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

/// The data of one service: the same settings give the same documents in each process.
struct data_settings
{
    std::string service;
    std::string vocabulary = "fuel"; ///< "fuel" (blends, lots, tanks) or "band" (pieces, bands, entries)
    std::uint64_t seed = 1;
    std::size_t documentsPerShard = 60;
};

/// One state of a service's data. The same pair as in the protocol; kept apart so that the stand-ins don't depend on the system under test.
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
    std::uint32_t rank = 0; ///< Part of the score that differs between documents and index versions.
};

/// A document found, with its score. Ordered by descending score, then by id.
struct data_hit
{
    std::string id;
    std::uint64_t score = 0;
    std::map<std::string, std::string> fields;

    bool operator==(const data_hit &other) const = default;
};

/// Generates and searches the data of one service. Keeps the generated shards of the most recent snapshots. Not thread-safe.
class data_set
{
public:
    explicit data_set(data_settings values);

    /// Returns the documents of a shard; the reference is valid until the next call.
    const std::vector<data_document> &documents(const std::string &shard, data_snapshot at);

    /// Searches one shard: the best hits in order, at most `limit`.
    std::vector<data_hit> search(const std::string &shard, data_snapshot at, std::string_view text, std::size_t limit);

    /// Returns the right merged answer of these shards.
    std::vector<data_hit> mergedAnswer(const std::vector<std::string> &shards, data_snapshot at, std::string_view text, std::size_t limit);

    /// Returns a query text of one to three words; the same number gives the same text.
    std::string sampleText(std::uint64_t number) const;

private:
    std::vector<data_document> generate(const std::string &shard, data_snapshot at) const;

    data_settings m_settings;
    std::map<std::tuple<data_snapshot, std::string>, std::vector<data_document>> m_cache;
};

/// Returns the hits as the JSON array that a target sends: [{"id","score","fields"}].
std::string hitsJson(const std::vector<data_hit> &hits);

} // namespace balsamhook
