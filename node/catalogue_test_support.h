#pragma once

#include <doctest/doctest.h>

#include "node/node_test_support.h"
#include "standins/metadata_service.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

inline nlohmann::json targetSpec(const std::string &service, std::int64_t sequence = 1, const std::string &state = "ready")
{
    return nlohmann::json{{"Service", service},
                          {"Address", "127.0.0.1:9"},
                          {"Zone", "dc1"},
                          {"Version", "v"},
                          {"Slots", 2},
                          {"State", state},
                          {"WarmupLeftMs", 0},
                          {"Sequence", sequence},
                          {"born", 100}};
}

inline nlohmann::json configurationSpec(std::uint64_t version)
{
    return nlohmann::json{{"Version", version},
                          {"Routes",
                           nlohmann::json::array({nlohmann::json{{"Name", "r"},
                                                                 {"Host", "h"},
                                                                 {"PathPrefix", "/a/"},
                                                                 {"RouteType", "idempotent"},
                                                                 {"TimeoutMs", 800},
                                                                 {"SloMs", 50},
                                                                 {"Priority", 1},
                                                                 {"Gather", nlohmann::json::array({"s0", "s1"})},
                                                                 {"MaxAttempts", 2},
                                                                 {"TopK", 5},
                                                                 {"MinCoverage", 0.75}}})},
                          {"Services", nlohmann::json::array({nlohmann::json{{"Name", "s0"}, {"HealthPath", "/health"}, {"MaxConns", 25}}})}};
}

/// What a peer hands over that has applied all changes up to the revision.
inline catalogue_snapshot peerCopy(std::uint64_t revision,
                                   const nlohmann::json &configuration,
                                   const std::map<std::string, nlohmann::json> &targets,
                                   const std::set<std::string> &evacuations)
{
    const copy_revisions revisions{revision, revision};
    catalogue_snapshot copy;
    copy.configuration = {revisions, configuration};
    copy.targets = {revisions, targets};
    copy.evacuations = {revisions, evacuations};
    return copy;
}

/// A catalogue_sync on a stand-in store, and the state from its callbacks.
struct sync_fixture : node_fixture
{
    sync_fixture()
        : standin(io, timers)
    {
        REQUIRE(standin.listen({"127.0.0.1", 0}).has_value());
        store = std::make_unique<metadata_store>(standin.address(), metrics);
        sync = makeSync(*store);
    }

    std::unique_ptr<catalogue_sync> makeSync(metadata_store &usedStore)
    {
        catalogue_sync::handlers handlers;
        handlers.onConfiguration = [this](std::shared_ptr<const routing_configuration> applied) {
            configuration = std::move(applied);
            versions.push_back(configuration ? configuration->version() : 0);
        };
        handlers.onTarget = [this](const target_catalogue::record &known, bool) { targets[known.target.id] = known; };
        handlers.onTargetRemoved = [this](const std::string &id) { targets.erase(id); };
        handlers.onEvacuations = [this](std::set<std::string> names) { evacuated = std::move(names); };
        handlers.onTargetListRecovered = [] {};
        handlers.onStoreRestored = [this] { ++restorations; };
        handlers.peers = [this] { return peers; };
        return std::make_unique<catalogue_sync>(context, usedStore, std::move(handlers));
    }

    /// Limits the store's responses as on the smallest machine.
    void limitMemory()
    {
        store = std::make_unique<metadata_store>(standin.address(), metrics, &context.storeResponses);
        sync = makeSync(*store);
    }

    void start()
    {
        sync->setActive(true);
        sync->start();
    }

    metadata_service standin;
    std::unique_ptr<metadata_store> store;
    std::unique_ptr<catalogue_sync> sync;
    std::shared_ptr<const routing_configuration> configuration;
    std::vector<std::uint64_t> versions;
    std::map<std::string, target_catalogue::record> targets;
    std::set<std::string> evacuated;
    std::vector<endpoint> peers;
    int restorations = 0; ///< Calls of onStoreRestored.
};

/// Hands out one text to peers that can't reach the store.
struct peer_server
{
    peer_server(sync_fixture &fixture, std::uint16_t port, std::string body)
        : server(fixture.io, {}, fixture.metrics, [this, body = std::move(body)](http_request) -> boost::asio::awaitable<http_response> {
            ++requests;
            co_return jsonResponse(200, body);
        })
    {
        REQUIRE(server.listen({"127.0.0.1", port}).has_value());
        fixture.peers.push_back({"127.0.0.1", port});
    }

    int requests = 0;
    http_server server;
};

/// A running catalogue_sync that knows of an evacuation and of the end of a target; the store has become unreachable since.
struct outage_fixture : sync_fixture
{
    outage_fixture()
    {
        standin.put("config", "main", configurationSpec(4));
        standin.put("servers", "t0", targetSpec("s0"));
        standin.put("servers", "ended", targetSpec("s0"));
        start();
        REQUIRE(runUntil([this] { return sync->isReady() && targets.size() == 2; }));
        before = sync->snapshot({}).value();
        standin.put("evacuations", "dc3", nlohmann::json::object());
        standin.erase("servers", "ended");
        REQUIRE(runUntil([this] { return evacuated.count("dc3") == 1 && targets.count("ended") == 0; }));
        newest = sync->snapshot({}).value();
        standin.setCondition(store_condition::Silent);
    }

    catalogue_snapshot before; ///< As an instance that was frozen holds it.
    catalogue_snapshot newest;
};

} // namespace balsamhook
