#include <doctest/doctest.h>

#include "node/crash_tracker.h"
#include "node/node_test_support.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

const boot_clock::time_point Start{1h};

outgoing_request makeRequest(const std::string &id, const std::string &target = "/a/b", const std::string &body = "")
{
    http_message message;
    message.method = "GET";
    message.target = target;
    message.fields = {{"Host", "h.example"}, {"Request-Id", id}};
    message.body = body;
    return outgoing_request(message);
}

struct tracker_fixture
{
    event_log log{node_fixture::logFile(), "test"};
    counters metrics;
    crash_tracker tracker{log, metrics};

    void crash(const std::string &target, const outgoing_request &request, boot_clock::time_point now)
    {
        tracker.onConnectionLost(target, request, now);
        tracker.onTargetDown(target, now + 100ms);
    }
};

} // namespace

TEST_CASE("crash_tracker: a fingerprint that crashed three targets with two requests is refused for a time (guards against one request crashing all targets)")
{
    tracker_fixture fixture;
    fixture.crash("t0", makeRequest("r1"), Start);
    fixture.crash("t1", makeRequest("r1"), Start);
    CHECK(fixture.tracker.refusedFor(makeRequest("r2"), Start + 1s).count() == 0);
    fixture.crash("t2", makeRequest("r2"), Start + 1s);
    CHECK(fixture.tracker.refusedFor(makeRequest("r3"), Start + 2s) > 50s);
    CHECK(fixture.tracker.refusedFor(makeRequest("r3"), Start + 2min).count() == 0);
    CHECK_MESSAGE(fixture.tracker.refusedFor(makeRequest("r3", "/a/c"), Start + 2s).count() == 0, "another path");
    CHECK_MESSAGE(fixture.tracker.refusedFor(makeRequest("r3", "/a/b", "body"), Start + 2s).count() == 0, "another body");
}

TEST_CASE("crash_tracker: a query in flight at many targets that crash together is not refused (guards against attributing an outage to a request)")
{
    tracker_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.crash("t" + std::to_string(i), makeRequest("r1"), Start);
    }
    CHECK(fixture.tracker.refusedFor(makeRequest("r2"), Start + 1s).count() == 0);
}

TEST_CASE("crash_tracker: a lost connection counts only when its target goes down soon afterwards (guards against treating connection resets as crashes)")
{
    tracker_fixture fixture;
    for (int i = 0; i < 6; ++i) {
        const std::string target = "t" + std::to_string(i);
        fixture.tracker.onConnectionLost(target, makeRequest("r" + std::to_string(i)), Start);
        fixture.tracker.onTargetDown(target, Start + 5s);
    }
    CHECK(fixture.tracker.refusedFor(makeRequest("r9"), Start + 5s).count() == 0);
    CHECK(fixture.tracker.recentCrashes(Start + 5s).empty());
}

TEST_CASE("crash_tracker: instances that each saw some of the crashes all refuse the request (guards against more crashes through each instance)")
{
    tracker_fixture first;
    tracker_fixture second;
    first.crash("t0", makeRequest("r1"), Start);
    first.crash("t1", makeRequest("r1"), Start);
    second.crash("t2", makeRequest("r2"), Start);
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        const auto now = Start + 1s + heartbeat * 400ms;
        first.tracker.merge(second.tracker.recentCrashes(now), now);
        second.tracker.merge(first.tracker.recentCrashes(now), now);
    }
    CHECK(first.tracker.refusedFor(makeRequest("r3"), Start + 3s).count() > 0);
    CHECK(second.tracker.refusedFor(makeRequest("r3"), Start + 3s).count() > 0);
    CHECK_MESSAGE(second.tracker.recentCrashes(Start + 3s).size() == 1, "only local crashes are announced, so that old ones don't circulate for ever");
    CHECK(second.tracker.recentCrashes(Start + 30s).empty());
}

TEST_CASE("crash_tracker: an instance that starts after the crashes refuses the request too (guards against a verdict that is lost at a restart)")
{
    tracker_fixture witness;
    tracker_fixture peer;
    tracker_fixture restarted;
    for (const std::string id : {"r1", "r2"}) {
        for (const std::string target : {"t0", "t1", "t2"}) {
            witness.crash(target, makeRequest(id), Start);
        }
    }
    peer.tracker.merge(witness.tracker.recentCrashes(Start + 1s), Start + 1s);
    restarted.tracker.merge(peer.tracker.recentCrashes(Start + 30s), Start + 30s);
    restarted.tracker.merge(peer.tracker.currentRefusals(Start + 30s), Start + 30s);
    CHECK(restarted.tracker.refusedFor(makeRequest("r3"), Start + 30s) > 25s);
    CHECK_MESSAGE(restarted.tracker.refusedFor(makeRequest("r3"), Start + 2min).count() == 0, "an announcement doesn't prolong the refusal");
}
