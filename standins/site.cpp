#include "standins/site.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace balsamhook
{

namespace
{

using nlohmann::json;

/// Fields of a behaviour. Other names are rejected to catch spelling errors.
const std::vector<std::string> BehaviourFields{"service_time_ms",
                                               "spread_ms",
                                               "straggler_share",
                                               "straggler_factor",
                                               "opening_ms",
                                               "cold_start_ms",
                                               "down_time_ms",
                                               "poison_word",
                                               "vocabulary",
                                               "seed",
                                               "documents_per_shard"};

std::chrono::microseconds parseMilliseconds(const json &object, const char *name, std::chrono::microseconds defaultValue)
{
    if (!object.contains(name)) {
        return defaultValue;
    }
    const double value = object.at(name).get<double>();
    if (value < 0 || value > 600000) {
        throw std::runtime_error(std::string(name) + " is " + std::to_string(value) + ", allowed range is 0 to 600000");
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(value * 1000));
}

service_behaviour parseBehaviour(const std::string &service, const json &object)
{
    for (const auto &[name, value] : object.items()) {
        if (std::find(BehaviourFields.begin(), BehaviourFields.end(), name) == BehaviourFields.end()) {
            throw std::runtime_error("behaviour of " + service + ": unknown field " + name);
        }
    }
    service_behaviour behaviour;
    behaviour.serviceTime = parseMilliseconds(object, "service_time_ms", behaviour.serviceTime);
    behaviour.serviceTimeDeviation = parseMilliseconds(object, "spread_ms", behaviour.serviceTimeDeviation);
    behaviour.stragglerShare = object.value("straggler_share", behaviour.stragglerShare);
    behaviour.stragglerFactor = object.value("straggler_factor", behaviour.stragglerFactor);
    behaviour.connectionSetup = parseMilliseconds(object, "opening_ms", behaviour.connectionSetup);
    behaviour.coldStart = std::chrono::duration_cast<std::chrono::milliseconds>(parseMilliseconds(object, "cold_start_ms", behaviour.coldStart));
    behaviour.downTime = std::chrono::duration_cast<std::chrono::milliseconds>(parseMilliseconds(object, "down_time_ms", behaviour.downTime));
    behaviour.poisonWord = object.value("poison_word", behaviour.poisonWord);
    behaviour.data.service = service;
    behaviour.data.vocabulary = object.value("vocabulary", behaviour.data.vocabulary);
    behaviour.data.seed = object.value("seed", behaviour.data.seed);
    behaviour.data.documentsPerShard = object.value("documents_per_shard", behaviour.data.documentsPerShard);
    return behaviour;
}

site_service parseService(const json &object, const json &behaviours)
{
    site_service service;
    service.name = object.at("name").get<std::string>();
    service.isCommand = object.value("kind", "query") == "command";
    service.deadline = std::chrono::milliseconds(object.value("deadline_ms", service.deadline.count()));
    service.layoutEpoch = object.value("layout_epoch", service.layoutEpoch);
    for (const json &shard : object.at("shards")) {
        service.shards.push_back({shard.at("shard").get<std::string>(), shard.at("targets").get<std::vector<std::string>>()});
    }
    service.behaviour = parseBehaviour(service.name, behaviours.value(service.name, json::object()));
    return service;
}

site_target parseTarget(const json &object)
{
    site_target target;
    target.name = object.at("name").get<std::string>();
    target.dataCentre = object.at("data_centre").get<std::string>();
    const auto address = parseEndpoint(object.at("address").get<std::string>());
    if (!address) {
        throw std::runtime_error("address of " + target.name + ": " + address.error().message);
    }
    target.address = address.value();
    target.slots = object.value("slots", target.slots);
    target.connections = object.value("connections", target.connections);
    target.coldSlots = object.value("cold_slots", target.coldSlots);
    return target;
}

void assignShards(site_description &site)
{
    for (site_target &target : site.targets) {
        for (const site_service &service : site.services) {
            for (const site_shard &shard : service.shards) {
                if (std::find(shard.targets.begin(), shard.targets.end(), target.name) == shard.targets.end()) {
                    continue;
                }
                if (!target.service.empty() && target.service != service.name) {
                    throw std::runtime_error("target " + target.name + " is assigned to two services");
                }
                target.service = service.name;
                target.shards.push_back(shard.shard);
            }
        }
        if (target.service.empty()) {
            throw std::runtime_error("target " + target.name + " is assigned to no service");
        }
    }
}

template<class Entries>
auto findByName(const Entries &entries, std::string_view name) -> decltype(entries.data())
{
    for (const auto &entry : entries) {
        if (entry.name == name) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

std::vector<std::string> site_service::shardNames() const
{
    std::vector<std::string> names;
    names.reserve(shards.size());
    for (const site_shard &shard : shards) {
        names.push_back(shard.shard);
    }
    return names;
}

const site_service *site_description::findService(std::string_view name) const
{
    return findByName(services, name);
}

const site_target *site_description::findTarget(std::string_view name) const
{
    return findByName(targets, name);
}

result<site_description> parseSite(std::string_view text)
{
    try {
        const json document = json::parse(text);
        const json &configuration = document.at("configuration");
        const json behaviours = document.value("behaviour", json::object());
        site_description site;
        for (const json &service : configuration.at("services")) {
            site.services.push_back(parseService(service, behaviours));
        }
        for (const json &target : configuration.at("targets")) {
            site.targets.push_back(parseTarget(target));
        }
        assignShards(site);
        return site;
    } catch (const std::exception &invalid) {
        return failure(error_code::Invalid, error_step::Validate, "", std::string("site file: ") + invalid.what());
    }
}

result<site_description> readSite(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(error_code::NotFound, error_step::Settings, "", "site file " + path + " can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSite(text.str());
}

} // namespace balsamhook
