#pragma once

#include "base/base.h"
#include "standins/standins.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace balsamhook
{

/// What a query asked for.
struct asked_query
{
    std::string service;
    std::string text;
    std::size_t limit = 0;
};

/// What an answered query said about itself, once it has been checked.
struct checked_answer
{
    std::size_t answeredShards = 0;
    std::size_t totalShards = 0;
    std::uint64_t indexVersion = 0;
};

/// Compares answers with what the generator of the stand-in targets says. Not thread-safe.
class answer_check
{
public:
    explicit answer_check(const site_description &site);

    /// Checks the body of an answered query: its coverage is consistent, and its hits are exactly the best hits of the shards it says it covers,
    /// at the snapshot it names. Invalid with the first difference otherwise.
    result<checked_answer> check(const asked_query &asked, std::string_view body);

    /// Returns a query text of the service's vocabulary.
    std::string sampleText(const std::string &service, std::uint64_t number) const;

private:
    struct known_service
    {
        explicit known_service(const site_service &from);

        std::vector<std::string> shards;
        data_set data;
        std::map<std::string, std::vector<data_hit>> expected; ///< By snapshot, text, limit and missing shards.
    };

    const std::vector<data_hit> &expectedHits(known_service &service, const asked_query &asked, data_snapshot at, const std::vector<std::string> &missing);

    std::map<std::string, std::unique_ptr<known_service>, std::less<>> m_services;
};

} // namespace balsamhook
