#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "catalogue/catalogue.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

using change = target_catalogue::change;
const target_catalogue::clock::time_point Start{1h};

registered_target target(std::int64_t startedAt, std::int64_t heartbeat)
{
    registered_target registration;
    registration.id = "t1";
    registration.service = "shard-1";
    registration.address = {"10.0.0.1", 8080};
    registration.startedAt = startedAt;
    registration.heartbeat = heartbeat;
    return registration;
}

route routeFor(const std::string &host, const std::string &prefix)
{
    route result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    result.destination = forward_destination{{{"s", 1}}};
    return result;
}

} // namespace

TEST_CASE("routing_configuration: the longest prefix of the host wins (guards against requests at the wrong service)")
{
    const routing_configuration configuration(3, {routeFor("a.example", "/x/"), routeFor("a.example", "/x/y/"), routeFor("b.example", "/")}, {}, {});
    CHECK(configuration.findRoute("a.example", "/x/y/1")->pathPrefix == "/x/y/");
    CHECK(configuration.findRoute("a.example", "/x/z")->pathPrefix == "/x/");
    CHECK(configuration.findRoute("A.Example:80", "/x/z")->pathPrefix == "/x/");
    CHECK(configuration.findRoute("a.example", "/other/") == nullptr);
    CHECK(configuration.findRoute("c.example", "/x/") == nullptr);
    CHECK(configuration.findRoute("b.example", "/anything")->host == "b.example");
}

TEST_CASE("routing_configuration: minConnectionLimit() is the lowest limit that any service sets (guards against more connections than a target accepts)")
{
    service_settings few;
    few.maxConnections = 25;
    service_settings many;
    many.maxConnections = 96;
    CHECK(routing_configuration(1, {}, {{"a", few}, {"b", many}, {"c", {}}}, {}).minConnectionLimit() == 25);
    CHECK(routing_configuration(1, {}, {{"c", {}}}, {}).minConnectionLimit() == 0);
}

TEST_CASE("target_catalogue: a registration older than the known one is ignored (guards against late writes of a draining target)")
{
    target_catalogue catalogue;
    CHECK(catalogue.apply(target(100, 5), Start) == change::Added);
    registered_target draining = target(100, 6);
    draining.condition = target_condition::Draining;
    CHECK(catalogue.apply(draining, Start) == change::Updated);
    CHECK(catalogue.apply(target(100, 5), Start) == change::None);
    CHECK(catalogue.apply(target(90, 9), Start) == change::None);
    CHECK(catalogue.find("t1")->target.condition == target_condition::Draining);
}

TEST_CASE("target_catalogue: an identical registration is no change (guards against logging every target twice a second while the store is unreachable)")
{
    target_catalogue catalogue;
    catalogue.apply(target(100, 5), Start);
    CHECK(catalogue.apply(target(100, 5), Start + 1s) == change::None);
    CHECK(catalogue.find("t1")->updatedAt == Start);
}

TEST_CASE("target_catalogue: another process with the same id is a restart (guards against reuse of old connections and statistics)")
{
    target_catalogue catalogue;
    catalogue.apply(target(100, 5), Start);
    CHECK(catalogue.apply(target(200, 1), Start) == change::Restarted);
    registered_target moved = target(200, 2);
    moved.address.port = 9090;
    CHECK(catalogue.apply(moved, Start) == change::Restarted);
}

TEST_CASE("target_catalogue: a target whose registration disappears stays for the grace period unless it drains (guards against losing all targets in a store "
          "outage)")
{
    target_catalogue catalogue;
    catalogue.apply(target(100, 5), Start);
    CHECK(catalogue.markStale("t1", Start) == change::Updated);
    CHECK(catalogue.find("t1")->isStale);
    CHECK(catalogue.expire(Start + target_catalogue::StaleGracePeriod - 1ms).empty());
    CHECK(catalogue.expire(Start + target_catalogue::StaleGracePeriod) == std::vector<std::string>{"t1"});
    CHECK(catalogue.find("t1") == nullptr);

    registered_target draining = target(100, 6);
    draining.condition = target_condition::Draining;
    catalogue.apply(draining, Start);
    CHECK(catalogue.markStale("t1", Start) == change::Removed);
    CHECK(catalogue.markStale("unknown", Start) == change::None);
}

TEST_CASE(
    "target_catalogue: a registration that returns within the grace period ends the stale state (guards against dropping live targets after a store outage)")
{
    target_catalogue catalogue;
    catalogue.apply(target(100, 5), Start);
    CHECK(catalogue.markMissingStale({}, Start) == std::vector<std::string>{"t1"});
    CHECK(catalogue.apply(target(100, 5), Start + 1s) == change::Updated);
    CHECK_FALSE(catalogue.find("t1")->isStale);
    CHECK(catalogue.expire(Start + 10s).empty());
    CHECK(catalogue.clear().size() == 1);
}

TEST_CASE(
    "target_catalogue: in a new era a registration that had disappeared is in doubt until it is newer or outlives its lifetime (guards against ended targets)")
{
    constexpr std::chrono::milliseconds Lifetime{4000};
    target_catalogue catalogue;
    CHECK(catalogue.apply(target(10, 5), Start) == change::Added);
    catalogue.recordLast(target(10, 7));
    CHECK(catalogue.markStale("t1", Start) == change::Updated);
    catalogue.beginEra(Start, Lifetime);
    CHECK(catalogue.apply(target(10, 6), Start) == change::None);
    CHECK(catalogue.find("t1")->isStale);
    CHECK(catalogue.inDoubt().count("t1") == 1);

    CHECK(catalogue.expire(Start + target_catalogue::StaleGracePeriod) == std::vector<std::string>{"t1"});
    CHECK(catalogue.apply(target(10, 7), Start + 2s) == change::None);
    CHECK(catalogue.takeConfirmed(Start + Lifetime - 1ms).empty());
    const std::vector<registered_target> confirmed = catalogue.takeConfirmed(Start + Lifetime);
    REQUIRE(confirmed.size() == 1);
    CHECK(catalogue.apply(confirmed.front(), Start + Lifetime) == change::Added);

    catalogue.beginEra(Start + 10s, Lifetime);
    CHECK(catalogue.apply(target(10, 6), Start + 10s) == change::None);
    CHECK_MESSAGE(catalogue.inDoubt().empty(), "a target whose registration has not disappeared is not in doubt");
    CHECK(catalogue.markStale("t1", Start + 10s) == change::Updated);
    CHECK(catalogue.apply(target(10, 8), Start + 10s) == change::Updated);
    CHECK(catalogue.markStale("t1", Start + 10s) == change::Updated);
    CHECK(catalogue.apply(target(11, 1), Start + 10s) == change::Restarted);
    CHECK(catalogue.markStale("t1", Start + 11s) == change::Updated);
    CHECK(catalogue.apply(target(11, 1), Start + 11s) == change::None);
    CHECK(catalogue.markMissingStale({}, Start + 12s) == std::vector<std::string>{"t1"});
    CHECK(catalogue.inDoubt().empty());
}

TEST_CASE("target_catalogue: a process that drains doesn't become ready again with the same heartbeat (guards against an older copy of its registration)")
{
    target_catalogue catalogue;
    registered_target draining = target(10, 5);
    draining.condition = target_condition::Draining;
    CHECK(catalogue.apply(draining, Start) == change::Added);
    CHECK(catalogue.apply(target(10, 5), Start) == change::None);
    CHECK(catalogue.apply(target(10, 6), Start) == change::Updated);
}
