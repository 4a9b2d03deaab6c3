#include "load/response_checker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxCachedResponses = 20000;

auto mismatch(std::string difference)
{
    return failure(error_code::Invalid, error_step::Validate, "", std::move(difference));
}

std::string describeHit(const json &hit)
{
    return hit.value("id", std::string("?"));
}

/// Returns the first difference; empty when the hits are equal.
std::string findDifference(const json &hits, const std::vector<data_hit> &expected)
{
    if (hits.size() != expected.size()) {
        return std::to_string(hits.size()) + " hits, expected " + std::to_string(expected.size());
    }
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const data_hit &expectedHit = expected[i];
        const bool isEqual = hits[i].at("id") == expectedHit.id && hits[i].at("score").get<double>() == static_cast<double>(expectedHit.score)
            && hits[i].at("fields").get<std::map<std::string, std::string>>() == expectedHit.fields;
        if (!isEqual) {
            return "hit " + std::to_string(i) + " is " + describeHit(hits[i]) + ", expected " + expectedHit.id;
        }
    }
    return {};
}

} // namespace

response_checker::service_model::service_model(const site_service &service)
    : shards(service.shardNames())
    , data(service.behaviour.data)
{
}

response_checker::response_checker(const site_description &site)
{
    for (const site_service &service : site.services) {
        m_services[service.name] = std::make_unique<service_model>(service);
    }
}

std::string response_checker::sampleText(const std::string &service, std::uint64_t number) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::string() : found->second->data.sampleText(number);
}

const std::vector<data_hit> &
response_checker::expectedHits(service_model &service, const sent_query &query, data_snapshot snapshot, const std::vector<std::string> &missing)
{
    std::string cacheKey
        = std::to_string(snapshot.layoutEpoch) + " " + std::to_string(snapshot.indexVersion) + " " + std::to_string(query.limit) + " " + query.text;
    for (const std::string &shard : missing) {
        cacheKey += "\n" + shard;
    }
    const auto found = service.expected.find(cacheKey);
    if (found != service.expected.end()) {
        return found->second;
    }
    if (service.expected.size() >= MaxCachedResponses) {
        service.expected.clear();
    }
    std::vector<std::string> covered;
    for (const std::string &shard : service.shards) {
        if (!std::binary_search(missing.begin(), missing.end(), shard)) {
            covered.push_back(shard);
        }
    }
    return service.expected[cacheKey] = service.data.mergedHits(covered, snapshot, query.text, query.limit);
}

result<checked_response> response_checker::check(const sent_query &query, std::string_view body)
{
    const auto found = m_services.find(query.service);
    if (found == m_services.end()) {
        return mismatch("service " + query.service + " is not in the site file");
    }
    service_model &service = *found->second;
    try {
        const json response = json::parse(body);
        const json &coverage = response.at("coverage");
        const data_snapshot snapshot{response.at("snapshot").at("layout_epoch").get<std::uint64_t>(),
                                     response.at("snapshot").at("index_version").get<std::uint64_t>()};
        checked_response checked{coverage.at("answered").get<std::size_t>(), coverage.at("total").get<std::size_t>(), snapshot.indexVersion};
        std::vector<std::string> missing;
        for (const json &shard : coverage.at("missing")) {
            missing.push_back(shard.at("shard").get<std::string>());
        }
        std::sort(missing.begin(), missing.end());
        if (checked.totalShards != service.shards.size()) {
            return mismatch("coverage total is " + std::to_string(checked.totalShards) + ", the service has " + std::to_string(service.shards.size())
                            + " shards");
        }
        if (std::adjacent_find(missing.begin(), missing.end()) != missing.end() || checked.answeredShards + missing.size() != checked.totalShards) {
            return mismatch("the numbers of answered and missing shards don't add up to the total");
        }
        const std::string difference = findDifference(response.at("hits"), expectedHits(service, query, snapshot, missing));
        if (!difference.empty()) {
            return mismatch("index version " + std::to_string(snapshot.indexVersion) + ": " + difference);
        }
        return checked;
    } catch (const json::exception &exception) {
        return mismatch(std::string("malformed response: ") + exception.what());
    }
}

} // namespace balsamhook
