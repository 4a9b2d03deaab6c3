#include <doctest/doctest.h>

#include "node/crash_watch.h"
#include "node/node_test_support.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

const boot_clock::time_point Start{1h};

outgoing_request requestOf(const std::string &id, const std::string &target = "/a/b", const std::string &body = "")
{
    http_message made;
    made.method = "GET";
    made.target = target;
    made.fields = {{"Host", "h.example"}, {"Request-Id", id}};
    made.body = body;
    return outgoing_request(made);
}

struct watch_fixture
{
    event_log log{node_fixture::logFile(), "test"};
    counters numbers;
    crash_watch watch{log, numbers};

    void crash(const std::string &target, const outgoing_request &request, boot_clock::time_point now)
    {
        watch.onLost(target, request, now);
        watch.onTargetDown(target, now + 100ms);
    }
};

} // namespace

TEST_CASE("crash_watch: a request that crashed three targets in two tries is refused for a time (guards against one request taking down every target)")
{
    watch_fixture fixture;
    fixture.crash("t0", requestOf("r1"), Start);
    fixture.crash("t1", requestOf("r1"), Start);
    CHECK(fixture.watch.refusedFor(requestOf("r2"), Start + 1s).count() == 0);
    fixture.crash("t2", requestOf("r2"), Start + 1s);
    CHECK(fixture.watch.refusedFor(requestOf("r3"), Start + 2s) > 50s);
    CHECK(fixture.watch.refusedFor(requestOf("r3"), Start + 2min).count() == 0);
    CHECK_MESSAGE(fixture.watch.refusedFor(requestOf("r3", "/a/c"), Start + 2s).count() == 0, "another path");
    CHECK_MESSAGE(fixture.watch.refusedFor(requestOf("r3", "/a/b", "body"), Start + 2s).count() == 0, "another body");
}

TEST_CASE("crash_watch: a query that was under way at many targets when they crashed is not refused (guards against blaming callers for an outage)")
{
    watch_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.crash("t" + std::to_string(i), requestOf("r1"), Start);
    }
    CHECK(fixture.watch.refusedFor(requestOf("r2"), Start + 1s).count() == 0);
}

TEST_CASE("crash_watch: a lost answer counts only when its target went down soon after (guards against blaming resets of connections)")
{
    watch_fixture fixture;
    for (int i = 0; i < 6; ++i) {
        const std::string target = "t" + std::to_string(i);
        fixture.watch.onLost(target, requestOf("r" + std::to_string(i)), Start);
        fixture.watch.onTargetDown(target, Start + 5s);
    }
    CHECK(fixture.watch.refusedFor(requestOf("r9"), Start + 5s).count() == 0);
    CHECK(fixture.watch.recent(Start + 5s).empty());
}

TEST_CASE("crash_watch: instances that each saw a part of the crashes refuse alike (guards against a request that goes from instance to instance)")
{
    watch_fixture first;
    watch_fixture second;
    first.crash("t0", requestOf("r1"), Start);
    first.crash("t1", requestOf("r1"), Start);
    second.crash("t2", requestOf("r2"), Start);
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        const auto now = Start + 1s + heartbeat * 400ms;
        first.watch.merge(second.watch.recent(now), now);
        second.watch.merge(first.watch.recent(now), now);
    }
    CHECK(first.watch.refusedFor(requestOf("r3"), Start + 3s).count() > 0);
    CHECK(second.watch.refusedFor(requestOf("r3"), Start + 3s).count() > 0);
    CHECK_MESSAGE(second.watch.recent(Start + 3s).size() == 1, "only own findings are told, so that old ones don't go round for ever");
    CHECK(second.watch.recent(Start + 30s).empty());
}
