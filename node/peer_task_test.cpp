#include <doctest/doctest.h>

#include "node/node_test_support.h"
#include "node/peer_task.h"
#include "standins/metadata_service.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t PeerPort = 27391;

/// What a task uses; calls to the store that a task has begun may end after it.
struct instance_environment
{
    instance_environment(boost::asio::io_context &io, timer_queue &timers, const endpoint &store)
        : log(node_fixture::logFile(), "test")
        , context{io, timers, log, metrics, settings, retry_budget({1.0, 100, 10s}, std::chrono::steady_clock::now())}
        , storeClient(store, metrics)
    {
    }

    event_log log;
    counters metrics;
    platform_settings settings;
    node_context context;
    metadata_store storeClient;
};

/// An instance on its own loopback address. Precondition: the environment outlives the event loop's last run.
struct simulated_instance
{
    simulated_instance(instance_environment &environment, int number, const std::vector<int> &seeds, peer_timings timings = {})
        : context(environment.context)
    {
        platform_settings &settings = environment.settings;
        settings.instance = "i" + std::to_string(number);
        settings.address = addressOf(number);
        settings.dataCentre = "dc1";
        settings.callers = {settings.address, 81};
        settings.peerPort = PeerPort;
        for (const int seed : seeds) {
            settings.seeds.push_back(addressOf(seed));
        }
        task = std::make_unique<peer_task>(context, environment.storeClient, timings);
        REQUIRE(task->start().has_value());
    }

    static std::string addressOf(int number)
    {
        return "127.0.0." + std::to_string(number);
    }

    std::size_t peersAlive() const
    {
        return task->peers().alive(std::chrono::steady_clock::now()).size();
    }

    node_context &context;
    std::unique_ptr<peer_task> task;
};

struct peers_fixture : node_fixture
{
    peers_fixture()
        : store(io, timers)
    {
        REQUIRE(store.listen({"127.0.0.1", 0}).has_value());
    }

    std::unique_ptr<simulated_instance> make(int number, const std::vector<int> &seeds, peer_timings timings = {}, double processorShare = 1)
    {
        environments.push_back(std::make_unique<instance_environment>(io, timers, store.address()));
        environments.back()->settings.processorShare = processorShare;
        return std::make_unique<simulated_instance>(*environments.back(), number, seeds, timings);
    }

    /// Starts a fleet whose first instances are strong, the others weak; the seeds are three weak ones.
    std::vector<std::unique_ptr<simulated_instance>> makeFleet(int strong, int weak)
    {
        std::vector<std::unique_ptr<simulated_instance>> fleet;
        for (int i = 0; i < strong + weak; ++i) {
            const std::vector<int> seeds{FirstOfFleet + strong, FirstOfFleet + strong + 1, FirstOfFleet + strong + 2};
            fleet.push_back(make(FirstOfFleet + i, seeds, {}, i < strong ? 1 : 0.25));
        }
        return fleet;
    }

    static constexpr int FirstOfFleet = 101;

    void registerMember(int number)
    {
        store.put("members", "i" + std::to_string(number), {{"address", simulated_instance::addressOf(number)}, {"data_centre", "dc1"}, {"incarnation", 1}});
    }

    metadata_service store;
    std::vector<std::unique_ptr<instance_environment>> environments;
};

outgoing_request makeRequest(const std::string &id)
{
    http_message message;
    message.method = "GET";
    message.target = "/a/b";
    message.fields = {{"Host", "h"}, {"Request-Id", id}};
    return outgoing_request(message);
}

/// Lets the instance see enough crashes to refuse makeRequest().
void crashTargets(simulated_instance &witness)
{
    const auto now = boot_clock::now();
    for (const std::string id : {"r1", "r2"}) {
        for (const std::string target : {"t1", "t2", "t3"}) {
            witness.context.crashes.onConnectionLost(target, makeRequest(id), now);
            witness.context.crashes.onTargetDown(target, now);
        }
    }
}

} // namespace

TEST_CASE("peer_task: instances with a common seed discover each other and detect a lost peer (guards against sending callers to dead instances)")
{
    peers_fixture fixture;
    auto first = fixture.make(11, {});
    auto second = fixture.make(12, {11});
    auto third = fixture.make(13, {11});
    CHECK(fixture.runUntil([&] { return first->peersAlive() == 2 && second->peersAlive() == 2 && third->peersAlive() == 2; }, 3s));
    CHECK(second->task->senders().size() == 3);
    third.reset();
    CHECK(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 4s));
    CHECK(fixture.runUntil([&] { return first->task->senders().size() == 2; }, 1s));
    CHECK_MESSAGE(first->task->recentSenders() == 3, "a target may still count the connections of the lost instance");
}

TEST_CASE("peer_task: what a standby instance sends at the start of a fleet doesn't grow with it (88 MB of addresses crossed when 195 instances restarted)")
{
    constexpr int Strong = 6;
    constexpr std::size_t Seeds = 3;
    const auto bytesAtStart = [](int weak) {
        peers_fixture fixture;
        const auto fleet = fixture.makeFleet(Strong, weak);
        const auto hasDiscovered = [](const auto &instance) { return instance->task->senders().size() == Strong; };
        bool hasFalseSender = false;
        const auto isSettled = [&] {
            for (std::size_t i = Strong; i < fleet.size(); ++i) {
                hasFalseSender = hasFalseSender || (fleet[i]->task->isSender() && fleet[i]->task->isDiscoveryComplete());
            }
            return std::all_of(fleet.begin(), fleet.end(), hasDiscovered);
        };
        CHECK(fixture.runUntil(isSettled, 3s));
        CHECK_FALSE_MESSAGE(hasFalseSender, "an instance that takes itself for a sender reads the whole catalogue");
        fixture.runUntil([] { return false; }, 2s);
        for (std::size_t i = 0; i < Strong; ++i) {
            CHECK(fleet[i]->peersAlive() == fleet.size() - 1);
        }
        std::int64_t most = 0;
        for (std::size_t i = Strong + Seeds; i < fleet.size(); ++i) {
            CHECK_FALSE(fleet[i]->task->isSender());
            most = std::max(most, fixture.environments[i]->metrics.value("peer_bytes_sent_total"));
        }
        return most;
    };
    const auto small = bytesAtStart(24);
    const auto large = bytesAtStart(104);
    MESSAGE("bytes sent by a standby instance: ", small, " among 30, ", large, " among 110");
    CHECK(large < small * 3 / 2);
}

TEST_CASE("peer_task: standby instances that lose all senders find each other through a seed (guards against a fleet in which each instance is alone)")
{
    constexpr int Strong = 6;
    peers_fixture fixture;
    auto fleet = fixture.makeFleet(Strong, 8);
    const auto knows = [&](std::size_t senders) {
        return std::all_of(fleet.begin(), fleet.end(), [&](const auto &instance) { return instance->task->senders().size() == senders; });
    };
    CHECK(fixture.runUntil([&] { return knows(Strong); }, 3s));
    fixture.runUntil([] { return false; }, 3s);
    fleet.erase(fleet.begin(), fleet.begin() + Strong);
    CHECK(fixture.runUntil([&] { return knows(8); }, 4s));
}

TEST_CASE("peer_task: a restarted sender completes discovery at once and counts the registered senders (0.4 s of service were lost after a power loss)")
{
    peers_fixture fixture;
    for (const int number : {21, 22, 23, 24}) {
        fixture.registerMember(number);
    }
    auto restarted = fixture.make(21, {});
    CHECK(fixture.runUntil([&] { return restarted->task->isDiscoveryComplete(); }, 120ms));
    CHECK(restarted->task->isSender());
    CHECK(restarted->task->recentSenders() == 4);
    auto fresh = fixture.make(25, {});
    fixture.runFor(120ms);
    CHECK_FALSE(fresh->task->isDiscoveryComplete());
}

TEST_CASE("peer_task: an instance whose seeds are all down discovers its peers through the store (guards against an instance that stays isolated)")
{
    peers_fixture fixture;
    auto first = fixture.make(31, {});
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds("members", "i31"); }, 4s));
    auto second = fixture.make(32, {39});
    CHECK(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 5s));
}

TEST_CASE("peer_task: store entries of dead instances are removed, and a live instance renews its own (guards against a member list that only grows)")
{
    peers_fixture fixture;
    fixture.registerMember(49);
    const peer_timings shortTimings{300ms, 800ms};
    auto first = fixture.make(41, {}, shortTimings);
    auto second = fixture.make(42, {41}, shortTimings);
    const auto names = [&] {
        std::set<std::string> found;
        for (const std::string name : {"i41", "i42", "i49"}) {
            if (fixture.store.holds("members", name)) {
                found.insert(name);
            }
        }
        return found;
    };
    CHECK(fixture.runUntil([&] { return names() == std::set<std::string>{"i41", "i42"}; }, 6s));
    fixture.store.erase("members", "i42");
    CHECK(fixture.runUntil([&] { return names().count("i42") == 1; }, 3s));
}

TEST_CASE("peer_task: instances register again when the store has lost their entries (none found another after a later loss of power)")
{
    peers_fixture fixture;
    fixture.store.takeCopy();
    const auto first = fixture.make(2, {2});
    const auto second = fixture.make(3, {2});
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds("members", "i2") && fixture.store.holds("members", "i3"); }));
    fixture.runFor(200ms);
    fixture.store.returnToCopy();
    REQUIRE_FALSE(fixture.store.holds("members", "i2"));
    const auto callsBefore = fixture.store.calls();
    first->task->onStoreRestored();
    second->task->onStoreRestored();
    CHECK(fixture.runUntil([&] { return fixture.store.holds("members", "i2") && fixture.store.holds("members", "i3"); }, 2500ms));
    CHECK(fixture.store.calls() - callsBefore <= 4);
}

TEST_CASE("peer_task: an entry written while the store came back from a copy is written again (it was taken for registered without one)")
{
    peers_fixture fixture;
    fixture.store.takeCopy();
    const auto first = fixture.make(2, {2});
    const auto second = fixture.make(3, {2});
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds("members", "i2") || fixture.store.holds("members", "i3"); }));
    // At least one response to a write is still on its way.
    first->task->onStoreRestored();
    second->task->onStoreRestored();
    fixture.store.returnToCopy(waiting_watches::Kept);
    CHECK(fixture.runUntil([&] { return fixture.store.holds("members", "i2") && fixture.store.holds("members", "i3"); }, 3s));
}

TEST_CASE("peer_task: an odd name at the end of a page of members hides no other, and its entry is removed (an instance stayed isolated)")
{
    for (const std::string oddName : {"h &#", "h%41/i?j"}) {
        CAPTURE(oddName);
        peers_fixture fixture;
        fixture.registerMember(43);
        for (std::size_t i = 0; i + 1 < metadata_service::PageSize; ++i) {
            fixture.store.put("members", "a" + std::to_string(i), "text");
        }
        fixture.store.put("members", oddName, "text");
        auto first = fixture.make(41, {}, {200ms, 1000ms});
        auto other = fixture.make(43, {}, {200ms, 1000ms});
        CHECK(fixture.runUntil([&] { return first->peersAlive() == 1; }, 3s));
        CHECK(fixture.runUntil([&] { return !fixture.store.holds("members", oddName); }, 5s));
    }
}

TEST_CASE("peer_task: unreadable entries are skipped, and the instance's own one is rewritten (guards against malformed entries of other writers)")
{
    peers_fixture fixture;
    fixture.store.put("members", "i61", "text");
    fixture.store.put("members", "i62", {{"address", 7}});
    fixture.registerMember(63);
    auto first = fixture.make(61, {});
    auto other = fixture.make(63, {});
    CHECK(fixture.runUntil([&] { return first->peersAlive() == 1; }, 2s));
    CHECK(first->task->isSender());
    const auto calls = fixture.store.calls();
    CHECK_MESSAGE(fixture.runUntil([&] { return fixture.store.calls() >= calls + 2; }, 3s), "the registration of the instance was not rewritten");
}

TEST_CASE("peer_task: a crash seen by one instance is announced to its peers (guards against a request that crashes more targets through each instance)")
{
    peers_fixture fixture;
    auto first = fixture.make(51, {});
    auto second = fixture.make(52, {51});
    REQUIRE(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 3s));
    crashTargets(*first);
    CHECK(fixture.runUntil([&] { return second->context.crashes.refusedFor(makeRequest("r3"), boot_clock::now()).count() > 0; }, 2s));
}

TEST_CASE("peer_task: an instance that starts later learns which requests are refused (guards against a crashing request that reaches targets after a restart)")
{
    peers_fixture fixture;
    const outgoing_request request = makeRequest("r1");
    auto first = fixture.make(71, {});
    first->context.crashes.merge(std::vector<peer_refusal>{{request.fingerprint(), 30000}}, boot_clock::now());
    auto second = fixture.make(72, {71});
    CHECK(fixture.runUntil([&] { return second->context.crashes.refusedFor(request, boot_clock::now()) > 20s; }, 3s));
}

TEST_CASE("peer_task: refusals survive a restart of all instances (guards against a crashing request that reaches targets after a loss of power)")
{
    peers_fixture fixture;
    const outgoing_request request = makeRequest("r1");
    auto first = fixture.make(81, {});
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds("members", "i81"); }, 4s));
    crashTargets(*first);
    const auto calls = fixture.store.calls();
    REQUIRE(fixture.runUntil([&] { return fixture.store.calls() >= calls + 2; }, 3s));
    fixture.runFor(100ms);
    first.reset();
    auto restarted = fixture.make(81, {});
    CHECK(fixture.runUntil([&] { return restarted->context.crashes.refusedFor(request, boot_clock::now()) > 30s; }, 1s));
}

TEST_CASE("peer_task: many and long names of data centres in odd entries don't silence an instance (its heartbeats outgrew the receivers' buffer)")
{
    peers_fixture fixture;
    auto first = fixture.make(55, {});
    auto second = fixture.make(56, {55});
    REQUIRE(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 3s));
    instance_status status;
    status.isServing = true;
    status.targetDataCentres = {"dc1", "dc2"};
    for (int i = 0; i < 300; ++i) {
        status.targetDataCentres.push_back(std::to_string(i) + std::string(250, 'x'));
    }
    first->task->setStatus(status);
    REQUIRE(
        fixture.runUntil([&] { return second->peersAlive() == 1 && second->task->peers().alive(std::chrono::steady_clock::now())[0].status.isServing; }, 2s));
    fixture.runFor(2500ms);
    REQUIRE(second->peersAlive() == 1);
    const auto announced = second->task->peers().alive(std::chrono::steady_clock::now())[0].status.targetDataCentres;
    CHECK(announced.size() >= 2);
    CHECK(announced[0] == "dc1");

    // A caller's ids may be long as well.
    http_message message;
    message.method = "GET";
    message.target = "/a/b";
    message.fields = {{"Host", "h"}, {"Request-Id", std::string(20000, 'r')}};
    first->context.crashes.onConnectionLost("t1", outgoing_request(message), boot_clock::now());
    first->context.crashes.onTargetDown("t1", boot_clock::now());
    REQUIRE_FALSE(first->context.crashes.recentCrashes(boot_clock::now()).empty());
    fixture.runFor(2500ms);
    CHECK(second->peersAlive() == 1);
}

TEST_CASE("peer_task: malformed refusals in the store are skipped (guards against odd entries of other writers)")
{
    peers_fixture fixture;
    fixture.store.put("members", "i98", {{"address", "127.0.0.98"}, {"refusals", {7, {{"fingerprint", 1}}, {{"fingerprint", "2"}, {"until_ms", "x"}}}}});
    fixture.store.put("members", "i99", {{"address", "127.0.0.99"}, {"refusals", {{"fingerprint", "3"}}}});
    auto first = fixture.make(91, {});
    fixture.runFor(200ms);
    CHECK(first->context.crashes.currentRefusals(boot_clock::now()).empty());
}

TEST_CASE("peer_task: peers learn which limited targets an instance has requests for, and their limits (guards against each instance counting alone)")
{
    peers_fixture fixture;
    auto first = fixture.make(101, {});
    auto second = fixture.make(102, {101});
    REQUIRE(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 3s));
    const auto now = std::chrono::steady_clock::now();
    first->context.limits.onNamed("t0", 0.2, now);
    first->context.limits.onWanted("t0", now);
    std::vector<limit_peer> others(5);
    for (std::size_t i = 0; i < others.size(); ++i) {
        others[i].instance = "o" + std::to_string(i);
    }
    first->context.limits.update(others, now);
    const auto isDemandKnown = [&] {
        const auto known = second->task->peers().alive(std::chrono::steady_clock::now());
        return known.size() == 1 && demand_filter::decode(known[0].status.limitDemand).contains("t0");
    };
    CHECK(fixture.runUntil([&] { return isDemandKnown() && second->context.limits.isLimited("t0"); }, 2s));
}
