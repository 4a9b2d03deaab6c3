#pragma once

#include "base/base.h"
#include "standins/standins.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Parameters of a query that was sent.
struct sent_query
{
    std::string service;
    std::string text;
    std::size_t limit = 0;
};

/// Coverage and index version of a response that passed the check.
struct checked_response
{
    std::size_t answeredShards = 0;
    std::size_t totalShards = 0;
    std::uint64_t indexVersion = 0;
};

/// Compares responses with the output of the data generator of the stand-in targets. Not thread-safe.
class response_checker
{
public:
    explicit response_checker(const site_description &site);

    /// Checks the body of a response: its coverage is consistent, and its hits are exactly the best hits of the covered shards at the stated
    /// snapshot. Invalid, with the first difference, otherwise.
    result<checked_response> check(const sent_query &query, std::string_view body);

    /// Returns a query text from the service's vocabulary; equal numbers give equal texts. Empty when the site doesn't have the service.
    std::string sampleText(const std::string &service, std::uint64_t number) const;

private:
    struct service_model
    {
        explicit service_model(const site_service &service);

        std::vector<std::string> shards;
        data_set data;
        std::map<std::string, std::vector<data_hit>> expected; ///< Cache keyed by snapshot, limit, text and missing shards.
    };

    /// Precondition: missing is sorted.
    const std::vector<data_hit> &expectedHits(service_model &service, const sent_query &query, data_snapshot snapshot, const std::vector<std::string> &missing);

    std::map<std::string, std::unique_ptr<service_model>, std::less<>> m_services;
};

} // namespace balsamhook
