#include <doctest/doctest.h>

#include "node/node_test_support.h"
#include "node/peer_task.h"
#include "standins/metadata_service.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t PeerPort = 27391;

/// One instance on a loopback address of its own. Precondition: the store outlives it.
struct played_instance
{
    played_instance(boost::asio::io_context &io, timer_queue &timers, const endpoint &store, int number, const std::vector<int> &seeds, peer_times times = {})
        : log(node_fixture::logFile(), "test")
        , context{io, timers, log, numbers, settings, retry_budget({1.0, 100, 10s}, std::chrono::steady_clock::now())}
        , client(store, numbers)
    {
        settings.instance = "i" + std::to_string(number);
        settings.address = addressOf(number);
        settings.dataCentre = "dc1";
        settings.callers = {settings.address, 81};
        settings.peerPort = PeerPort;
        for (const int seed : seeds) {
            settings.seeds.push_back(addressOf(seed));
        }
        task = std::make_unique<peer_task>(context, client, times);
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

    event_log log;
    counters numbers;
    platform_settings settings;
    node_context context;
    metadata_store client;
    std::unique_ptr<peer_task> task;
};

struct peers_fixture : node_fixture
{
    peers_fixture()
        : store(io, timers)
    {
        REQUIRE(store.listen({"127.0.0.1", 0}).has_value());
    }

    std::unique_ptr<played_instance> make(int number, const std::vector<int> &seeds, peer_times times = {})
    {
        return std::make_unique<played_instance>(io, timers, store.address(), number, seeds, times);
    }

    void registerMember(int number)
    {
        store.put("members", "i" + std::to_string(number), {{"address", played_instance::addressOf(number)}, {"data_centre", "dc1"}, {"incarnation", 1}});
    }

    metadata_service store;
};

} // namespace

TEST_CASE("peer_task: instances that know one seed find each other and notice a loss (guards against callers sent to dead instances)")
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
    CHECK_MESSAGE(first->task->recentSenders() == 3, "a target may still count the connections of the lost one");
}

TEST_CASE("peer_task: a registered sender that restarts is settled at once and counts the others (0.4 s of service were lost after a loss of power)")
{
    peers_fixture fixture;
    for (const int number : {21, 22, 23, 24}) {
        fixture.registerMember(number);
    }
    auto restarted = fixture.make(21, {});
    CHECK(fixture.runUntil([&] { return restarted->task->isSettled(); }, 120ms));
    CHECK(restarted->task->isSender());
    CHECK(restarted->task->recentSenders() == 4);
    auto fresh = fixture.make(25, {});
    fixture.runFor(120ms);
    CHECK_FALSE(fresh->task->isSettled());
}

TEST_CASE("peer_task: an instance whose seeds are all gone finds the others through the store (guards against an instance that stays alone)")
{
    peers_fixture fixture;
    auto first = fixture.make(31, {});
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds("members", "i31"); }, 4s));
    auto second = fixture.make(32, {39});
    CHECK(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 5s));
}

TEST_CASE("peer_task: entries of instances that are gone are removed, a living one registers again (guards against a list of members that only grows)")
{
    peers_fixture fixture;
    fixture.registerMember(49);
    const peer_times quick{300ms, 800ms};
    auto first = fixture.make(41, {}, quick);
    auto second = fixture.make(42, {41}, quick);
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

TEST_CASE("peer_task: entries that can't be read are passed over, an own one is written anew (guards against entries of other writers)")
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
    CHECK_MESSAGE(fixture.runUntil([&] { return fixture.store.calls() >= calls + 2; }, 3s), "its registration was not written");
}

TEST_CASE("peer_task: a crash that one instance saw is known to the others (guards against a request that goes from instance to instance)")
{
    peers_fixture fixture;
    auto first = fixture.make(51, {});
    auto second = fixture.make(52, {51});
    REQUIRE(fixture.runUntil([&] { return first->peersAlive() == 1 && second->peersAlive() == 1; }, 3s));
    http_message made;
    made.method = "GET";
    made.target = "/a/b";
    const auto now = boot_clock::now();
    for (const std::string id : {"r1", "r2"}) {
        made.fields = {{"Host", "h"}, {"Request-Id", id}};
        for (const std::string target : {"t1", "t2", "t3"}) {
            first->context.crashes.onLost(target, outgoing_request(made), now);
            first->context.crashes.onTargetDown(target, now);
        }
    }
    CHECK(fixture.runUntil([&] { return second->context.crashes.refusedFor(outgoing_request(made), boot_clock::now()).count() > 0; }, 2s));
}
