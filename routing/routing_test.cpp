#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "routing/routing.h"

#include <rapidcheck.h>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

using time_point = target_health::clock::time_point;
const time_point Start{1h};
constexpr std::chrono::microseconds Typical{10000};
constexpr latency_profile Usual{Typical, Typical * 3, 0.01};

void respondOnce(target_health &health, time_point sentAt, std::chrono::microseconds latency)
{
    health.onSent(sentAt);
    health.onResponse(sentAt, sentAt + latency, Usual);
}

replica_view viewOf(const target_health &health, bool isLocal = true)
{
    replica_view view;
    view.health = &health;
    view.slots = 2;
    view.isLocal = isLocal;
    view.hasCapacity = true;
    return view;
}

replica_decision choose(const std::vector<replica_view> &views, time_point now = Start)
{
    return chooseReplica(views, Typical, now, 0);
}

} // namespace

TEST_CASE("latency_window: median and percentile follow the newest samples (guards against hedge delays from an earlier load)")
{
    latency_window window(5ms);
    CHECK(window.median() == 5ms);
    for (int i = 0; i < 256; ++i) {
        window.add(10ms);
    }
    CHECK(window.median() == 10ms);
    for (int i = 0; i < 256; ++i) {
        window.add(i % 5 == 0 ? 90ms : 20ms);
    }
    CHECK(window.median() == 20ms);
    CHECK(window.percentile90() == 90ms);
}

TEST_CASE("target_health: the backoff grows with consecutive failures and a response resets it (guards against continuous attempts at a dead target)")
{
    target_health health;
    time_point now = Start;
    std::chrono::nanoseconds previous{0};
    for (int i = 0; i < 8; ++i) {
        health.onUnreachable(now);
        CHECK_FALSE(health.isAvailable(now));
        const auto backoff = health.availableAt() - now;
        CHECK(backoff >= previous);
        CHECK(backoff <= 2s);
        previous = backoff;
        now = health.availableAt();
        CHECK(health.isAvailable(now));
    }
    respondOnce(health, now, 10ms);
    health.onUnreachable(now + 1s);
    CHECK(health.availableAt() - (now + 1s) == 100ms);
}

TEST_CASE("target_health: failures of requests that were in flight together count once (guards against long backoff after one reset)")
{
    target_health health;
    for (int i = 0; i < 5; ++i) {
        health.onSent(Start + std::chrono::microseconds(i));
    }
    for (int i = 0; i < 5; ++i) {
        health.onFailed(Start + std::chrono::microseconds(i), Start + 5ms);
    }
    CHECK(health.availableAt() - (Start + 5ms) == 100ms);
    CHECK(health.inFlight() == 0);
}

TEST_CASE("target_health: the expected latency of a slow target rises and decays without requests (guards against never using it again)")
{
    target_health health;
    time_point now = Start;
    for (int i = 0; i < 12; ++i) {
        respondOnce(health, now, 100ms);
        now += 100ms;
    }
    CHECK(health.expectedLatency(Typical, 2, now) > 80ms);
    CHECK(health.expectedLatency(Typical, 2, now + 10s) < 12ms);
}

TEST_CASE("target_health: late responses of one pause don't make a target slow (guards against skipped shards after each pause of a target)")
{
    target_health health;
    for (int i = 0; i < 10; ++i) {
        respondOnce(health, Start, 10ms);
    }
    for (int i = 0; i < 3; ++i) {
        respondOnce(health, Start, 150ms);
    }
    CHECK(health.expectedLatency(Typical, 2, Start + 150ms) < 40ms);
}

TEST_CASE("target_health: a request that is far overdue marks the target as stalled (guards against requests to a paused target)")
{
    target_health health;
    health.onSent(Start);
    CHECK_FALSE(health.isStalled(Typical, Start + 20ms));
    CHECK(health.isStalled(Typical, Start + 60ms));
    const auto before = health.expectedLatency(Typical, 2, Start + 20ms);
    CHECK(health.expectedLatency(Typical, 2, Start + 60ms) > before + 30ms);
}

TEST_CASE("target_health: requests in flight are limited while responses are slow (guards against keeping a target overloaded)")
{
    target_health health;
    time_point now = Start;
    for (int i = 0; i < 10; ++i) {
        respondOnce(health, now, 80ms);
        now += 80ms;
    }
    CHECK(health.hasCapacity(now));
    health.onSent(now);
    CHECK_FALSE(health.hasCapacity(now));
    health.onResponse(now, now + 8ms, Usual);
    for (int i = 0; i < 20; ++i) {
        now += 80ms;
        respondOnce(health, now, 8ms);
    }
    health.onSent(now);
    health.onSent(now);
    CHECK(health.hasCapacity(now));
}

TEST_CASE("in_flight_limit: long requests among short ones are no queue (guards against refusals with free slots where the work of requests differs)")
{
    in_flight_limit limit;
    limit.setRoom({30, 2});
    constexpr latency_profile Mixed{120ms, 220ms, 0.4};
    time_point now = Start;
    for (int i = 0; i < 300; ++i) {
        limit.onLatency(now, now + (i % 5 < 2 ? 2000ms : 100ms), Mixed, 10);
        now += 20ms;
    }
    CHECK(limit.permits(50, now));
}

TEST_CASE("in_flight_limit: a run of slow responses shrinks the limit to the instance's share of the slots, a refusal to one (guards against a full queue)")
{
    in_flight_limit limit;
    limit.setRoom({30, 2});
    time_point now = Start;
    for (int i = 0; i < 40; ++i) {
        limit.onLatency(now, now + 300ms, Usual, 40);
        now += 300ms;
    }
    CHECK(limit.at(now) >= 15);
    CHECK(limit.at(now) < 20);
    for (int i = 0; i < 10; ++i) {
        limit.onRefused(now, now, 20);
    }
    CHECK(limit.at(now) == 1);
}

TEST_CASE("in_flight_limit: recovers in 6 s without any response (guards against a target without requests that stays limited)")
{
    in_flight_limit limit;
    limit.setRoom({2, 6});
    for (int i = 0; i < 5; ++i) {
        limit.onRefused(Start, Start, 4);
    }
    CHECK_FALSE(limit.permits(1, Start));
    CHECK(limit.permits(1, Start + 1s));
    CHECK(limit.permits(7, Start + 6s));
}

TEST_CASE("unqueued_latency: a queue doesn't raise what counts as slow within a minute, a lasting change of the work does (guards against a limit that follows "
          "the queue it should prevent)")
{
    unqueued_latency unqueued(50ms);
    latency_window latency(50ms);
    const auto observe = [&](std::chrono::microseconds sample, time_point now) {
        for (int i = 0; i < 256; ++i) {
            latency.add(sample);
        }
        unqueued.observe(latency, 300ms, now);
    };
    CHECK(unqueued.profile(latency, 300ms).slowAfter == 150ms);
    observe(100ms, Start);
    observe(600ms, Start + 20s);
    CHECK(unqueued.profile(latency, 300ms).slowAfter == 200ms);
    CHECK(unqueued.profile(latency, 300ms).slowShare == 0);
    observe(600ms, Start + 31s);
    observe(600ms, Start + 62s);
    CHECK(unqueued.profile(latency, 300ms).slowAfter == 700ms);
}

TEST_CASE("chooseReplica: prefers the local data centre until the other is clearly faster (guards against unnecessary traffic between data centres)")
{
    target_health local;
    target_health remote;
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 1);
    respondOnce(local, Start - 20ms, 15ms);
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 1);
    for (int i = 0; i < 10; ++i) {
        respondOnce(local, Start - 90ms, 80ms);
    }
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 0);
}

TEST_CASE("chooseReplica: excludes tried, full and failing replicas and returns the reason when none remains (guards against refusals with a wrong reason)")
{
    target_health healthy;
    target_health failing;
    failing.onUnreachable(Start);
    replica_view full = viewOf(healthy);
    full.hasCapacity = false;
    replica_view tried = viewOf(healthy);
    tried.isTried = true;
    CHECK(choose({viewOf(failing), viewOf(healthy)}).chosen == 1);
    CHECK_FALSE(choose({}).chosen);
    CHECK(choose({}).reason == no_replica::NoneLeft);
    CHECK(choose({tried}).reason == no_replica::NoneLeft);
    CHECK(choose({full, tried}).reason == no_replica::AllFull);
    CHECK(choose({full, viewOf(failing)}).reason == no_replica::AllFull);
    const replica_decision unavailable = choose({viewOf(failing), tried});
    CHECK(unavailable.reason == no_replica::AllUnavailable);
    CHECK(unavailable.retryAt == failing.availableAt());
}

TEST_CASE("chooseReplica: a replica whose request limit is used up is not chosen (guards against more requests than a target in need can take)")
{
    const target_health health;
    replica_view limited = viewOf(health);
    limited.limitedUntil = Start + 300ms;
    replica_view other = viewOf(health, false);
    CHECK(choose({limited, other}).chosen == 1);
    replica_view longer = limited;
    longer.limitedUntil = Start + 500ms;
    const replica_decision refused = choose({longer, limited});
    CHECK_FALSE(refused.chosen);
    CHECK(refused.reason == no_replica::AllLimited);
    CHECK(refused.retryAt == Start + 300ms);
    replica_view saving = viewOf(health);
    saving.isSavingLimit = true;
    CHECK_MESSAGE(choose({saving, viewOf(health)}).chosen == 1, "what a limit saves is kept for when the other replica is late");
    CHECK(choose({saving}).chosen == 0);
}

TEST_CASE("chooseReplica: a stale target is the last choice (guards against losing a shard whose registrations disappeared in a store outage)")
{
    target_health first;
    target_health second;
    replica_view stale = viewOf(first);
    stale.isStale = true;
    CHECK(choose({stale, viewOf(second, false)}).chosen == 1);
    CHECK(choose({stale}).chosen == 0);
}

TEST_CASE("chooseReplica: a replica that refuses part of its requests gets few (guards against wasted sends: 7,093 of 120,527 were refused when half of the "
          "targets did so)")
{
    constexpr int Requests = 2000;
    constexpr int RefusedPercent = 45;
    target_health refusing;
    target_health healthy;
    int refused = 0;
    time_point now = Start;
    for (int i = 0; i < Requests; ++i) {
        now += 40ms;
        const auto decision = choose({viewOf(refusing), viewOf(healthy, false)}, now);
        REQUIRE(decision.chosen.has_value());
        target_health &chosen = *decision.chosen == 0 ? refusing : healthy;
        chosen.onSent(now);
        if (*decision.chosen == 0 && (i * 37) % 100 < RefusedPercent) {
            chosen.onRefused(now, now + 1ms);
            ++refused;
        } else {
            chosen.onResponse(now, now + 10ms, Usual);
        }
    }
    CHECK(refused < Requests / 10);
    CHECK(refused > 0);
    // The refused share decays, so that the replica is used again.
    now += 20s;
    CHECK(*choose({viewOf(refusing), viewOf(healthy, false)}, now).chosen == 0);
}

TEST_CASE(
    "chooseReplica: a target that refused this request is retried only when no other is left (guards against giving up a shard whose targets only shed load)")
{
    target_health first;
    target_health second;
    replica_view refused = viewOf(first);
    refused.hasRefused = true;
    CHECK(*choose({refused, viewOf(second, false)}).chosen == 1);
    replica_view tried = viewOf(second, false);
    tried.isTried = true;
    CHECK(*choose({refused, tried}).chosen == 0);
}

TEST_CASE("connectionShare: two generations of senders stay within a target's limit (guards against resets: a target reset 825 connections after a power loss "
          "of all instances)")
{
    CHECK(rc::check("shares of running and new processes", [] {
        connection_demand demand;
        demand.targetConnectionLimit = *rc::gen::inRange(4U, 700U);
        demand.senders = *rc::gen::inRange(1U, 40U);
        demand.slots = *rc::gen::inRange(1U, 9U);
        const unsigned fresh = connectionShare(demand);
        demand.uptime = 1min;
        const unsigned regular = connectionShare(demand);
        RC_ASSERT(fresh >= 1 && fresh <= regular);
        // With fewer than two connections for each sender, a second generation doesn't fit.
        RC_PRE(demand.targetConnectionLimit * 0.9 >= 2.0 * demand.senders);
        RC_ASSERT((fresh + regular) * demand.senders <= demand.targetConnectionLimit);
    }));
    CHECK_MESSAGE(connectionShare({26, 2, 7, 0s}) == 1, "limits of a deployed site");
    CHECK(connectionShare({26, 2, 7, 20s}) == 2);
    CHECK(connectionShare({25, 2, 6, 0s}) >= 1);
    CHECK_MESSAGE(connectionShare({0, 2, 7, 20s}) == 4, "limit unknown");
}

TEST_CASE("retry_budget: all instances together stay within the ratio and the slack in every window (guards against retry storms)")
{
    CHECK(rc::check([] {
        const unsigned instances = *rc::gen::inRange(1U, 12U);
        const retry_budget::limits limits{0.2, 52, 10s};
        std::vector<retry_budget> budgets(instances, retry_budget(limits, Start - 1min));
        for (retry_budget &budget : budgets) {
            budget.setInstances(instances);
        }
        std::vector<time_point> requests;
        std::vector<time_point> extraSends;
        time_point now = Start;
        for (int i = 0; i < 3000; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 20));
            retry_budget &budget = budgets[*rc::gen::inRange(0U, instances)];
            budget.onRequest("s", now);
            requests.push_back(now);
            if (budget.tryAcquire("s", 0, now)) {
                extraSends.push_back(now);
            }
        }
        for (const time_point from : extraSends) {
            const auto within = [from](time_point at) { return at >= from && at < from + 10s; };
            const auto before = [from](time_point at) { return at >= from - 10s && at < from + 10s; };
            const auto used = std::count_if(extraSends.begin(), extraSends.end(), within);
            const auto counted = std::count_if(requests.begin(), requests.end(), before);
            RC_ASSERT(static_cast<double>(used) <= 0.2 * static_cast<double>(counted) + 52);
        }
    }));
}

TEST_CASE("retry_budget: hedges leave the reserve for retries, and a new process uses half of the slack (guards against spending the full slack again after "
          "each restart)")
{
    retry_budget budget({0, 100, 10s}, Start);
    int hedges = 0;
    while (budget.tryAcquire("s", 0.5, Start + 11s)) {
        ++hedges;
    }
    CHECK(hedges == 40);
    CHECK(budget.tryAcquire("s", 0, Start + 11s));
    retry_budget fresh({0, 100, 10s}, Start);
    int early = 0;
    while (fresh.tryAcquire("s", 0, Start + 1s)) {
        ++early;
    }
    CHECK(early == 40);
}

TEST_CASE(
    "decideGather: responds at once when complete, partially when the objective is over, never below the minimum (guards against responses with too few parts)")
{
    gather_progress progress{20, 20, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_decision::Respond);
    progress = {20, 19, 1, 0.89};
    CHECK(decideGather(progress, false) == gather_decision::Wait);
    CHECK(decideGather(progress, true) == gather_decision::Respond);
    progress = {20, 17, 3, 0.89};
    CHECK(decideGather(progress, true) == gather_decision::Wait);
    progress = {20, 17, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_decision::Fail);
    progress = {20, 18, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_decision::Respond);
    CHECK(partsNeeded(20, 0.75) == 15);
    CHECK(partsNeeded(20, 0) == 1);
    CHECK(partsNeeded(10, 1) == 10);
}

TEST_CASE("decideGather: a response always reaches the minimum coverage (guards against violating the operator's setting)")
{
    CHECK(rc::check([] {
        gather_progress progress;
        progress.shards = *rc::gen::inRange<std::size_t>(1, 200);
        progress.parts = *rc::gen::inRange<std::size_t>(0, progress.shards + 1);
        progress.pending = *rc::gen::inRange<std::size_t>(0, progress.shards - progress.parts + 1);
        progress.minimumCoverage = *rc::gen::inRange(0, 1001) / 1000.0;
        const bool isOver = *rc::gen::arbitrary<bool>();
        if (decideGather(progress, isOver) == gather_decision::Respond) {
            RC_ASSERT(progress.parts >= 1);
            RC_ASSERT(static_cast<double>(progress.parts) >= progress.minimumCoverage * static_cast<double>(progress.shards) - 1e-6);
        }
    }));
}

TEST_CASE("isShardSkipped: skips only late shards, and only half of those that may be missing (guards against unnecessarily partial responses)")
{
    shard_load load{50ms, 90ms, 0, 20, 0.89};
    CHECK_FALSE(isShardSkipped(load));
    load.expected = 120ms;
    CHECK(isShardSkipped(load));
    load.skipped = 1;
    CHECK_FALSE(isShardSkipped(load));
    load = {120ms, 90ms, 0, 20, 1.0};
    CHECK_FALSE(isShardSkipped(load));
    load = {120ms, -1ms, 0, 20, 0.5};
    CHECK_FALSE(isShardSkipped(load));
}

TEST_CASE("hedgeDelay: above the 90th percentile, at most the given share of the objective (guards against hedges that come too late to help)")
{
    latency_window window(10ms);
    CHECK(hedgeDelay(window, 100ms, 0.33) == 24ms);
    CHECK(hedgeDelay(window, 30ms, 0.33) == 9900us);
}

TEST_CASE("placeCallers: the callers' data centre when it has targets, else the data centres that do (guards against fan-out across data centres)")
{
    const std::vector<placement_candidate> candidates{{"a1", "a", {"10.1.0.1", 80}},
                                                      {"a2", "a", {"10.1.0.2", 80}},
                                                      {"b1", "b", {"10.2.0.1", 80}},
                                                      {"b2", "b", {"10.2.0.2", 80}},
                                                      {"c1", "c", {"10.3.0.1", 80}}};
    placement_request request{"a", {{"a", 20}, {"b", 20}}, 64};
    CHECK(placeCallers(candidates, request).size() == 2);
    CHECK(placeCallers(candidates, request)[0].address == "10.1.0.1");
    request.callerDataCentre = "c";
    CHECK(placeCallers(candidates, request).size() == 4);
    request.targetsOfDataCentre = {{"c", 20}};
    CHECK_MESSAGE(placeCallers(candidates, request).size() == 5, "one instance is below the minimum, and no other data centre has targets");
    request.targetsOfDataCentre = {};
    request.callerDataCentre = "b";
    CHECK(placeCallers(candidates, request).size() == 2);
    request.maxAddresses = 1;
    CHECK(placeCallers(candidates, request).size() == 1);
    CHECK(placeCallers({}, request).empty());
}

TEST_CASE("placeCallers: prefers unimpaired instances, and adds remote ones when the data centre is cut off (guards against losing all its callers during a "
          "network cut of 5 s)")
{
    const auto makeCandidate = [](const std::string &name, const std::string &dataCentre, bool isImpaired, bool isAlive) {
        return placement_candidate{name, dataCentre, {name, 1}, true, isImpaired, isAlive};
    };
    placement_request request;
    request.callerDataCentre = "a";
    request.localDataCentre = "a";
    request.targetsOfDataCentre = {{"a", 10}, {"b", 10}};
    const auto names = [&](const std::vector<placement_candidate> &candidates) {
        std::set<std::string> chosen;
        for (const endpoint &address : placeCallers(candidates, request)) {
            chosen.insert(address.address);
        }
        return chosen;
    };
    using name_set = std::set<std::string>;
    CHECK(names({makeCandidate("a1", "a", false, true), makeCandidate("a2", "a", false, true), makeCandidate("b1", "b", false, true)}) == name_set{"a1", "a2"});
    CHECK(names({makeCandidate("a1", "a", true, true), makeCandidate("a2", "a", true, true), makeCandidate("b1", "b", false, true)}) == name_set{"b1"});
    const name_set bothImpaired = names({makeCandidate("a1", "a", true, true), makeCandidate("b1", "b", true, true)});
    CHECK(bothImpaired == name_set{"a1", "b1"});
    const std::vector<placement_candidate> cut{
        makeCandidate("a1", "a", true, true), makeCandidate("a2", "a", true, true), makeCandidate("b1", "b", false, false)};
    const name_set withStore = names(cut);
    CHECK_MESSAGE(withStore == name_set({"a1", "a2"}), "the store is reachable, so the remote instance is down");
    request.isStoreReachable = false;
    CHECK(names(cut) == name_set{"a1", "a2", "b1"});
    const name_set unimpaired = names({makeCandidate("a1", "a", false, true), makeCandidate("a2", "a", false, true), makeCandidate("b1", "b", false, false)});
    CHECK(unimpaired == name_set{"a1", "a2"});
}

TEST_CASE("data_centre_monitor: unreachable when several targets are overdue without activity, until the next activity (guards against queries that wait for "
          "each unreachable shard)")
{
    data_centre_monitor monitor;
    time_point now = Start;
    monitor.onActivity("a", now);
    now += 500ms;
    CHECK_FALSE(monitor.update("a", 2, now));
    CHECK_FALSE(monitor.update("a", 9, now));
    CHECK_FALSE_MESSAGE(monitor.isUnreachable("a"), "the first update may follow a pause of this process");
    monitor.onActivity("a", now);
    CHECK_FALSE(monitor.update("a", 9, now + 100ms));
    now += 500ms;
    CHECK_FALSE(monitor.update("a", 9, now));
    CHECK(monitor.update("a", 9, now + 100ms));
    CHECK(monitor.unreachable() == std::vector<std::string>{"a"});
    CHECK_FALSE_MESSAGE(monitor.update("a", 9, now + 200ms), "reported only once");
    target_health health;
    replica_view cut = viewOf(health);
    cut.isUnreachable = true;
    CHECK(*choose({cut, viewOf(health, false)}).chosen == 1);
    CHECK(choose({cut}).reason == no_replica::AllUnavailable);
    monitor.onActivity("a", now + 300ms);
    CHECK(monitor.unreachable().empty());
}

TEST_CASE("chooseSenders: the strongest instances, spread over data centres, up to the limit (guards against more senders than targets have connections)")
{
    std::vector<sender_candidate> candidates;
    for (int i = 0; i < 60; ++i) {
        const std::string dataCentre(1, static_cast<char>('a' + i % 4));
        candidates.push_back({"i" + std::to_string(i), dataCentre, i < 8 ? 0.5 : 0.12});
    }
    const auto strong = chooseSenders(candidates, 16);
    CHECK(strong.size() == 8);
    CHECK(strong.count("i0") == 1);
    for (sender_candidate &candidate : candidates) {
        candidate.processorShare = 0.25;
    }
    const auto bounded = chooseSenders(candidates, 12);
    CHECK(bounded.size() == 12);
    std::map<std::string, int> perDataCentre;
    for (const sender_candidate &candidate : candidates) {
        perDataCentre[candidate.dataCentre] += bounded.count(candidate.instance) > 0 ? 1 : 0;
    }
    for (const auto &[dataCentre, count] : perDataCentre) {
        CHECK(count == 3);
    }
    CHECK(chooseSenders({{"one", "a", 0.1}}, 16).size() == 1);
    CHECK(chooseSenders({}, 16).empty());
    CHECK(maxSendersFor(25) == 10);
    CHECK(maxSendersFor(4) == MinSenders);
}

TEST_CASE("chooseSenders: an instance that isn't chosen gets the same result from only the chosen ones and itself (guards against too many senders)")
{
    CHECK(rc::check([] {
        std::vector<sender_candidate> candidates;
        const int count = *rc::gen::inRange(1, 40);
        for (int i = 0; i < count; ++i) {
            const std::string dataCentre(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
            candidates.push_back({"i" + std::to_string(i), dataCentre, *rc::gen::element(0.12, 0.25, 0.5)});
        }
        const auto chosen = chooseSenders(candidates, 8);
        RC_ASSERT(chosen.size() <= 8U);
        for (const sender_candidate &outsider : candidates) {
            if (chosen.count(outsider.instance) > 0) {
                continue;
            }
            std::vector<sender_candidate> known{outsider};
            for (const sender_candidate &candidate : candidates) {
                if (chosen.count(candidate.instance) > 0) {
                    known.push_back(candidate);
                }
            }
            RC_ASSERT(chooseSenders(known, 8).count(outsider.instance) == 0U);
        }
    }));
}

TEST_CASE("cold_start_limiter: all senders together stay below the rate that a cold target supports (guards against crashing a target that has just started)")
{
    const std::set<std::string> senders{"i1", "i2", "i3", "i4", "i5", "i6"};
    int first = 0;
    for (const std::string &instance : senders) {
        first += isFirstSender(instance, senders, "t1") ? 1 : 0;
    }
    CHECK(first == 1);
    constexpr double Rate = 20;
    cold_start_limiter one;
    cold_start_limiter other; // Of a second sender that also ranks itself first.
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        const time_point now = Start + std::chrono::milliseconds(i);
        for (cold_start_limiter *limiter : {&one, &other}) {
            if (limiter->allows(Rate, now)) {
                limiter->onSent();
                ++sent;
            }
        }
    }
    CHECK(sent <= Rate * 1.5 + 5);
    CHECK(sent >= Rate);
}

TEST_CASE("peer_table: a peer is alive for a few intervals, then reported as lost once, then removed (guards against sending callers to dead instances)")
{
    peer_table table("self");
    peer_status status;
    status.instance = "p";
    status.address = "10.0.0.2";
    status.incarnation = 7;
    status.interval = 400ms;
    CHECK(table.onHeartbeat(status, Start));
    CHECK_FALSE(table.onHeartbeat(status, Start + 400ms));
    CHECK(table.alive(Start + 1900ms).size() == 1);
    CHECK(table.expire(Start + 1900ms).empty());
    CHECK(table.alive(Start + 2100ms).empty());
    CHECK(table.expire(Start + 2100ms) == std::vector<std::string>{"p"});
    CHECK(table.expire(Start + 2200ms).empty());
    CHECK(table.recent(Start + 2200ms).size() == 1);
    CHECK_MESSAGE(table.onHeartbeat(status, Start + 3s), "a heartbeat after a period without any");
    status.incarnation = 6;
    CHECK_FALSE_MESSAGE(table.onHeartbeat(status, Start + 4s), "a late datagram of an earlier process");
    table.expire(Start + 60s);
    CHECK(table.recent(Start + 60s).empty());
    CHECK(table.addresses().empty());
    CHECK(table.addAddress("10.0.0.3", Start));
    CHECK_FALSE(table.addAddress("10.0.0.3", Start));
    status.instance = "self";
    CHECK_FALSE(table.onHeartbeat(status, Start));
}
