#include "load/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using nlohmann::json;

constexpr std::size_t RememberedAnswers = 20000;

auto wrong(std::string difference)
{
    return failure(error_code::Invalid, error_step::Validate, "", std::move(difference));
}

std::string describeHit(const json &hit)
{
    return hit.value("id", std::string("?"));
}

/// Empty when the hits are equal.
std::string findDifference(const json &hits, const std::vector<data_hit> &expected)
{
    if (hits.size() != expected.size()) {
        return std::to_string(hits.size()) + " hits, expected " + std::to_string(expected.size());
    }
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const data_hit &wanted = expected[i];
        const bool equal = hits[i].at("id") == wanted.id && hits[i].at("score").get<double>() == static_cast<double>(wanted.score)
            && hits[i].at("fields").get<std::map<std::string, std::string>>() == wanted.fields;
        if (!equal) {
            return "hit " + std::to_string(i) + " is " + describeHit(hits[i]) + ", expected " + wanted.id;
        }
    }
    return {};
}

} // namespace

answer_check::known_service::known_service(const site_service &from)
    : shards(from.shardNames())
    , data(from.behaviour.data)
{
}

answer_check::answer_check(const site_description &site)
{
    for (const site_service &service : site.services) {
        m_services[service.name] = std::make_unique<known_service>(service);
    }
}

std::string answer_check::sampleText(const std::string &service, std::uint64_t number) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::string() : found->second->data.sampleText(number);
}

const std::vector<data_hit> &
answer_check::expectedHits(known_service &service, const asked_query &asked, data_snapshot at, const std::vector<std::string> &missing)
{
    std::string name = std::to_string(at.layoutEpoch) + " " + std::to_string(at.indexVersion) + " " + std::to_string(asked.limit) + " " + asked.text;
    for (const std::string &shard : missing) {
        name += "\n" + shard;
    }
    const auto found = service.expected.find(name);
    if (found != service.expected.end()) {
        return found->second;
    }
    if (service.expected.size() >= RememberedAnswers) {
        service.expected.clear();
    }
    std::vector<std::string> covered;
    for (const std::string &shard : service.shards) {
        if (!std::binary_search(missing.begin(), missing.end(), shard)) {
            covered.push_back(shard);
        }
    }
    return service.expected[name] = service.data.mergedHits(covered, at, asked.text, asked.limit);
}

result<checked_answer> answer_check::check(const asked_query &asked, std::string_view body)
{
    const auto found = m_services.find(asked.service);
    if (found == m_services.end()) {
        return wrong("service " + asked.service + " is not in the site file");
    }
    known_service &service = *found->second;
    try {
        const json answer = json::parse(body);
        const json &coverage = answer.at("coverage");
        const data_snapshot at{answer.at("snapshot").at("layout_epoch").get<std::uint64_t>(), answer.at("snapshot").at("index_version").get<std::uint64_t>()};
        checked_answer seen{coverage.at("answered").get<std::size_t>(), coverage.at("total").get<std::size_t>(), at.indexVersion};
        std::vector<std::string> missing;
        for (const json &shard : coverage.at("missing")) {
            missing.push_back(shard.at("shard").get<std::string>());
        }
        std::sort(missing.begin(), missing.end());
        if (seen.totalShards != service.shards.size()) {
            return wrong("total is " + std::to_string(seen.totalShards) + ", the service has " + std::to_string(service.shards.size()) + " shards");
        }
        if (std::adjacent_find(missing.begin(), missing.end()) != missing.end() || seen.answeredShards + missing.size() != seen.totalShards) {
            return wrong("answered and missing shards don't add up to the total");
        }
        const std::string difference = findDifference(answer.at("hits"), expectedHits(service, asked, at, missing));
        if (!difference.empty()) {
            return wrong("index version " + std::to_string(at.indexVersion) + ": " + difference);
        }
        return seen;
    } catch (const json::exception &malformed) {
        return wrong(std::string("malformed answer: ") + malformed.what());
    }
}

} // namespace balsamhook
