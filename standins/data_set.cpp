#include "standins/data_set.h"

#include "base/base.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace balsamhook
{

namespace
{

constexpr std::size_t WordsPerDocument = 6;
constexpr std::uint64_t MatchWeight = 1'000'000; ///< Score of each matched word. Exceeds every rank, so hits with more matched words come first.
constexpr std::size_t MaxCachedShards = 4096;

struct vocabulary
{
    std::vector<std::string> words;
    std::array<std::string, 3> fields;
};

const vocabulary &vocabularyOf(const std::string &name)
{
    static const vocabulary Fuel{{"kiosk",  "station", "langley",   "surrey",  "delta",   "richmond", "burnaby",  "hope",   "mission",  "abbotsford",
                                  "diesel", "premium", "regular",   "ethanol", "biofuel", "canola",   "propane",  "marine", "heating",  "winter",
                                  "summer", "bulk",    "container", "refill",  "loyalty", "grocery",  "coop",     "pump",   "tank",     "lot",
                                  "tanker", "depot",   "credit",    "deposit", "litre",   "drum",     "jerrycan", "octane", "additive", "blend"},
                                 {"blend", "lot", "tank"}};
    static const vocabulary Band{{"cornet",      "euphonium", "trombone", "baritone", "flugel",     "percussion", "march",     "hymn",
                                  "overture",    "fantasia",  "suite",    "rhapsody", "variations", "symphony",   "prelude",   "quartet",
                                  "quintet",     "solo",      "grade",    "youth",    "senior",     "auckland",   "hamilton",  "waikato",
                                  "otago",       "nelson",    "taupo",    "national", "regional",   "contest",    "entry",     "draw",
                                  "adjudicator", "player",    "transfer", "register", "secretary",  "bandroom",   "testpiece", "conductor"},
                                 {"piece", "band", "entry"}};
    return name == "band" ? Band : Fuel;
}

/// splitmix64: fast and identical on every platform, unlike the distributions of the standard library.
class random_generator
{
public:
    explicit random_generator(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

private:
    std::uint64_t m_state;
};

std::set<std::string> splitWords(std::string_view text)
{
    std::set<std::string> words;
    std::istringstream stream{std::string(text)};
    for (std::string word; stream >> word;) {
        std::transform(word.begin(), word.end(), word.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        words.insert(word);
    }
    return words;
}

bool ranksBefore(const data_hit &left, const data_hit &right)
{
    return left.score != right.score ? left.score > right.score : left.id < right.id;
}

void sortAndTruncate(std::vector<data_hit> &hits, std::size_t limit)
{
    std::sort(hits.begin(), hits.end(), ranksBefore);
    if (hits.size() > limit) {
        hits.resize(limit);
    }
}

} // namespace

data_set::data_set(data_settings values)
    : m_settings(std::move(values))
{
}

std::vector<data_document> data_set::generate(const std::string &shard, data_snapshot snapshot) const
{
    const vocabulary &terms = vocabularyOf(m_settings.vocabulary);
    const std::string name = m_settings.service + "/" + std::to_string(snapshot.layoutEpoch) + "/" + shard;
    std::vector<data_document> documents(m_settings.documentsPerShard);
    for (std::size_t i = 0; i < documents.size(); ++i) {
        data_document &document = documents[i];
        document.id = name + "/" + std::to_string(i);
        random_generator generator(stableHash(document.id, m_settings.seed));
        for (std::size_t w = 0; w < WordsPerDocument; ++w) {
            document.words.push_back(terms.words[generator.below(terms.words.size())]);
        }
        // Fields and rank depend on the index version, so that a response merged from parts of different versions is detected.
        random_generator versionedGenerator(stableHash(document.id, m_settings.seed + snapshot.indexVersion * 7919));
        document.fields[terms.fields[0]] = terms.words[versionedGenerator.below(terms.words.size())];
        document.fields[terms.fields[1]] = "v" + std::to_string(snapshot.indexVersion) + "-" + std::to_string(versionedGenerator.below(100000));
        document.fields[terms.fields[2]] = std::to_string(versionedGenerator.below(1000));
        document.rank = static_cast<std::uint32_t>(versionedGenerator.below(MatchWeight));
    }
    return documents;
}

const std::vector<data_document> &data_set::documents(const std::string &shard, data_snapshot snapshot)
{
    const auto cached = m_cache.find({snapshot, shard});
    if (cached != m_cache.end()) {
        return cached->second;
    }
    if (m_cache.size() >= MaxCachedShards) {
        m_cache.erase(m_cache.begin());
    }
    return m_cache[{snapshot, shard}] = generate(shard, snapshot);
}

std::vector<data_hit> data_set::search(const std::string &shard, data_snapshot snapshot, std::string_view text, std::size_t limit)
{
    const std::set<std::string> queryWords = splitWords(text);
    std::vector<data_hit> hits;
    for (const data_document &document : documents(shard, snapshot)) {
        std::set<std::string> matchedWords;
        for (const std::string &word : document.words) {
            if (queryWords.contains(word)) {
                matchedWords.insert(word);
            }
        }
        if (!matchedWords.empty()) {
            hits.push_back({document.id, matchedWords.size() * MatchWeight + document.rank, document.fields});
        }
    }
    sortAndTruncate(hits, limit);
    return hits;
}

std::vector<data_hit> data_set::mergedHits(const std::vector<std::string> &shards, data_snapshot snapshot, std::string_view text, std::size_t limit)
{
    std::vector<data_hit> merged;
    for (const std::string &shard : shards) {
        std::vector<data_hit> part = search(shard, snapshot, text, limit);
        merged.insert(merged.end(), std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
    }
    sortAndTruncate(merged, limit);
    return merged;
}

std::string data_set::sampleText(std::uint64_t number) const
{
    const vocabulary &terms = vocabularyOf(m_settings.vocabulary);
    random_generator generator(stableHash(m_settings.service, number));
    const std::uint64_t count = 1 + generator.below(3);
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i) {
        text += (text.empty() ? "" : " ") + terms.words[generator.below(terms.words.size())];
    }
    return text;
}

std::string hitsJson(const std::vector<data_hit> &hits)
{
    nlohmann::json list = nlohmann::json::array();
    for (const data_hit &hit : hits) {
        list.push_back({{"id", hit.id}, {"score", hit.score}, {"fields", hit.fields}});
    }
    return list.dump();
}

} // namespace balsamhook
