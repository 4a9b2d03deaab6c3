#pragma once

#include "base/base.h"
#include "standins/data_set.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Simulated behaviour of the targets of one service.
struct service_behaviour
{
    std::chrono::microseconds serviceTime{8000}; ///< Mean.
    std::chrono::microseconds serviceTimeDeviation{2000}; ///< Standard deviation of serviceTime.
    double stragglerShare = 0.0; ///< Fraction of the requests that take stragglerFactor times as long, 0 to 1.
    double stragglerFactor = 10.0;
    std::chrono::microseconds connectionSetup{6000}; ///< Delay before the first response on a connection.
    std::chrono::milliseconds coldStart{3000}; ///< Time from the start of an incarnation until the target is warm.
    std::chrono::milliseconds downTime{1500}; ///< Time for which a crashed target refuses connections.
    std::string poisonWord = "poisoned-request"; ///< A request whose text or payload contains this word crashes the target.
    data_settings data;
};

struct site_shard
{
    std::string shard;
    std::vector<std::string> targets;
};

struct site_service
{
    std::string name;
    bool isCommand = false;
    std::uint64_t layoutEpoch = 1;
    std::chrono::milliseconds deadline{260};
    std::vector<site_shard> shards;
    service_behaviour behaviour;

    std::vector<std::string> shardNames() const;
};

struct site_target
{
    std::string name;
    std::string dataCentre;
    std::string service;
    std::vector<std::string> shards;
    endpoint address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::uint32_t coldSlots = 1;
};

/// Services and targets of a site, parsed from {"configuration": DOCUMENT, "behaviour": {SERVICE: {...}}}.
struct site_description
{
    std::vector<site_service> services;
    std::vector<site_target> targets;

    /// Return the entry with the name, or nullptr when there is none.
    const site_service *findService(std::string_view name) const;
    const site_target *findTarget(std::string_view name) const;
};

/// Parses the text of a site file. Returns Invalid with a message that names the field or entry. Never throws.
result<site_description> parseSite(std::string_view json);

/// Reads and parses a site file. Returns NotFound when it can't be read; otherwise as parseSite().
result<site_description> readSite(const std::string &path);

} // namespace balsamhook
