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

void answerOnce(target_health &health, time_point sentAt, std::chrono::microseconds latency)
{
    health.onSent(sentAt);
    health.onAnswered(sentAt, sentAt + latency, Typical);
}

replica_view viewOf(const target_health &health, bool isLocal = true)
{
    replica_view view;
    view.health = &health;
    view.slots = 2;
    view.isLocal = isLocal;
    view.hasRoom = true;
    return view;
}

replica_decision choose(const std::vector<replica_view> &views, time_point now = Start)
{
    return chooseReplica(views, Typical, now, 0);
}

} // namespace

TEST_CASE("latency_window: median and percentile follow the newest answers (guards against hedges timed by old load)")
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

TEST_CASE("target_health: backs off after failures, for longer each time, and is back after an answer (guards against hammering a dead target)")
{
    target_health health;
    time_point now = Start;
    std::chrono::nanoseconds previous{0};
    for (int i = 0; i < 8; ++i) {
        health.onUnreachable(now);
        CHECK_FALSE(health.isAvailable(now));
        const auto pause = health.availableAt() - now;
        CHECK(pause >= previous);
        CHECK(pause <= 2s);
        previous = pause;
        now = health.availableAt();
        CHECK(health.isAvailable(now));
    }
    answerOnce(health, now, 10ms);
    health.onUnreachable(now + 1s);
    CHECK(health.availableAt() - (now + 1s) == 100ms);
}

TEST_CASE("target_health: failures of requests that were under way together count once (guards against long backoff after one reset)")
{
    target_health health;
    for (int i = 0; i < 5; ++i) {
        health.onSent(Start + std::chrono::microseconds(i));
    }
    for (int i = 0; i < 5; ++i) {
        health.onFailed(Start + std::chrono::microseconds(i), Start + 5ms);
    }
    CHECK(health.availableAt() - (Start + 5ms) == 100ms);
    CHECK(health.underWay() == 0);
}

TEST_CASE("target_health: a slow target is expected to be slow, and is tried again later (guards against avoiding it for ever)")
{
    target_health health;
    time_point now = Start;
    for (int i = 0; i < 12; ++i) {
        answerOnce(health, now, 100ms);
        now += 100ms;
    }
    CHECK(health.expectedLatency(Typical, 2, now) > 80ms);
    CHECK(health.expectedLatency(Typical, 2, now + 10s) < 12ms);
}

TEST_CASE("target_health: the requests of one pause don't make a target slow (shards were left out on calm days after each pause)")
{
    target_health health;
    for (int i = 0; i < 10; ++i) {
        answerOnce(health, Start, 10ms);
    }
    for (int i = 0; i < 3; ++i) {
        answerOnce(health, Start, 150ms);
    }
    CHECK(health.expectedLatency(Typical, 2, Start + 150ms) < 40ms);
}

TEST_CASE("target_health: a request that is far overdue makes the target look paused (guards against sending into a pause)")
{
    target_health health;
    health.onSent(Start);
    CHECK_FALSE(health.isStalled(Typical, Start + 20ms));
    CHECK(health.isStalled(Typical, Start + 60ms));
    const auto before = health.expectedLatency(Typical, 2, Start + 20ms);
    CHECK(health.expectedLatency(Typical, 2, Start + 60ms) > before + 30ms);
}

TEST_CASE("target_health: requests under way are limited while answers are slow (guards against keeping a target overloaded)")
{
    target_health health;
    for (int i = 0; i < 10; ++i) {
        answerOnce(health, Start, 80ms);
    }
    CHECK(health.hasCapacity());
    health.onSent(Start);
    CHECK_FALSE(health.hasCapacity());
    health.onAnswered(Start, Start + 8ms, Typical);
    for (int i = 0; i < 20; ++i) {
        answerOnce(health, Start, 8ms);
    }
    health.onSent(Start);
    health.onSent(Start);
    CHECK(health.hasCapacity());
}

TEST_CASE("chooseReplica: prefers the own data centre until the other is clearly faster (guards against needless bytes between data centres)")
{
    target_health local;
    target_health remote;
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 1);
    answerOnce(local, Start - 20ms, 15ms);
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 1);
    for (int i = 0; i < 10; ++i) {
        answerOnce(local, Start - 90ms, 80ms);
    }
    CHECK(choose({viewOf(remote, false), viewOf(local, true)}).chosen == 0);
}

TEST_CASE("chooseReplica: leaves out tried, full and failing replicas and says why none is left (guards against false refusals)")
{
    target_health healthy;
    target_health failing;
    failing.onUnreachable(Start);
    replica_view full = viewOf(healthy);
    full.hasRoom = false;
    replica_view tried = viewOf(healthy);
    tried.isTried = true;
    CHECK(choose({viewOf(failing), viewOf(healthy)}).chosen == 1);
    CHECK_FALSE(choose({}).chosen);
    CHECK(choose({}).reason == no_replica::None);
    CHECK(choose({tried}).reason == no_replica::None);
    CHECK(choose({full, tried}).reason == no_replica::AllFull);
    CHECK(choose({full, viewOf(failing)}).reason == no_replica::AllFull);
    const replica_decision unavailable = choose({viewOf(failing), tried});
    CHECK(unavailable.reason == no_replica::AllUnavailable);
    CHECK(unavailable.retryAt == failing.availableAt());
}

TEST_CASE("chooseReplica: a lapsed target is the last choice (guards against losing a shard whose entries vanished in an outage)")
{
    target_health first;
    target_health second;
    replica_view lapsed = viewOf(first);
    lapsed.isLapsed = true;
    CHECK(choose({lapsed, viewOf(second, false)}).chosen == 1);
    CHECK(choose({lapsed}).chosen == 0);
}

TEST_CASE("chooseReplica: a replica that refuses part of its requests gets few (7,093 of 120,527 sends were refused on a day when half of the targets did so)")
{
    constexpr int Requests = 2000;
    constexpr int RefusedPercent = 45;
    target_health refusing;
    target_health sound;
    int refused = 0;
    time_point now = Start;
    for (int i = 0; i < Requests; ++i) {
        now += 40ms;
        const auto decision = choose({viewOf(refusing), viewOf(sound, false)}, now);
        REQUIRE(decision.chosen.has_value());
        target_health &chosen = *decision.chosen == 0 ? refusing : sound;
        chosen.onSent(now);
        if (*decision.chosen == 0 && (i * 37) % 100 < RefusedPercent) {
            chosen.onRefused(now, now + 1ms);
            ++refused;
        } else {
            chosen.onAnswered(now, now + 10ms, Typical);
        }
    }
    CHECK(refused < Requests / 10);
    CHECK(refused > 0);
    // Once it has stopped refusing it is used again.
    now += 20s;
    CHECK(*choose({viewOf(refusing), viewOf(sound, false)}, now).chosen == 0);
}

TEST_CASE("chooseReplica: a target that refused this request is asked again only when no other is left (guards against giving up a shard that only sheds)")
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

TEST_CASE("connectionShare: two generations of senders stay within a target's limit (a target reset 825 connections after all instances lost power)")
{
    CHECK(rc::check("usual and young shares", [] {
        connection_demand demand;
        demand.connectionsOfTarget = *rc::gen::inRange(4U, 700U);
        demand.senders = *rc::gen::inRange(1U, 40U);
        demand.slots = *rc::gen::inRange(1U, 9U);
        const unsigned young = connectionShare(demand);
        demand.uptime = 1min;
        const unsigned usual = connectionShare(demand);
        RC_ASSERT(young >= 1 && young <= usual);
        // Below two connections for each sender there is no room for a second generation.
        RC_PRE(demand.connectionsOfTarget * 0.9 >= 2.0 * demand.senders);
        RC_ASSERT((young + usual) * demand.senders <= demand.connectionsOfTarget);
    }));
    CHECK_MESSAGE(connectionShare({26, 2, 7, 0s}) == 1, "one site of today");
    CHECK(connectionShare({26, 2, 7, 20s}) == 2);
    CHECK(connectionShare({25, 2, 6, 0s}) >= 1);
    CHECK_MESSAGE(connectionShare({0, 2, 7, 20s}) == 4, "limit not known");
}

TEST_CASE("retry_budget: all instances together stay within the ratio and the slack in every window (guards against retry storms)")
{
    rc::check([] {
        const unsigned instances = *rc::gen::inRange(1U, 12U);
        const retry_budget::limits limits{0.2, 52, 10s};
        std::vector<retry_budget> budgets(instances, retry_budget(limits, Start - 1min));
        for (retry_budget &budget : budgets) {
            budget.setInstances(instances);
        }
        std::vector<time_point> requests;
        std::vector<time_point> extras;
        time_point now = Start;
        for (int i = 0; i < 3000; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 20));
            retry_budget &budget = budgets[*rc::gen::inRange(0U, instances)];
            budget.onRequest("s", now);
            requests.push_back(now);
            if (budget.take("s", 0, now)) {
                extras.push_back(now);
            }
        }
        for (const time_point from : extras) {
            const auto within = [from](time_point at) { return at >= from && at < from + 10s; };
            const auto before = [from](time_point at) { return at >= from - 10s && at < from + 10s; };
            const auto used = std::count_if(extras.begin(), extras.end(), within);
            const auto asked = std::count_if(requests.begin(), requests.end(), before);
            RC_ASSERT(static_cast<double>(used) <= 0.2 * static_cast<double>(asked) + 52);
        }
    });
}

TEST_CASE("retry_budget: hedges leave a part to retries, and a new process uses half of the slack (guards against a fresh budget after each restart)")
{
    retry_budget budget({0, 100, 10s}, Start);
    int hedges = 0;
    while (budget.take("s", 0.5, Start + 11s)) {
        ++hedges;
    }
    CHECK(hedges == 40);
    CHECK(budget.take("s", 0, Start + 11s));
    retry_budget fresh({0, 100, 10s}, Start);
    int early = 0;
    while (fresh.take("s", 0, Start + 1s)) {
        ++early;
    }
    CHECK(early == 40);
}

TEST_CASE("decideGather: complete at once, partial when the objective is over, never below the minimum (guards against short answers that look whole)")
{
    gather_progress progress{20, 20, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_verdict::Answer);
    progress = {20, 19, 1, 0.89};
    CHECK(decideGather(progress, false) == gather_verdict::Wait);
    CHECK(decideGather(progress, true) == gather_verdict::Answer);
    progress = {20, 17, 3, 0.89};
    CHECK(decideGather(progress, true) == gather_verdict::Wait);
    progress = {20, 17, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_verdict::Fail);
    progress = {20, 18, 0, 0.89};
    CHECK(decideGather(progress, false) == gather_verdict::Answer);
    CHECK(partsNeeded(20, 0.75) == 15);
    CHECK(partsNeeded(20, 0) == 1);
    CHECK(partsNeeded(10, 1) == 10);
}

TEST_CASE("decideGather: an answer always covers the minimum (guards against breaking the operator's bound)")
{
    rc::check([] {
        gather_progress progress;
        progress.shards = *rc::gen::inRange<std::size_t>(1, 200);
        progress.parts = *rc::gen::inRange<std::size_t>(0, progress.shards + 1);
        progress.pending = *rc::gen::inRange<std::size_t>(0, progress.shards - progress.parts + 1);
        progress.minimumCoverage = *rc::gen::inRange(0, 1001) / 1000.0;
        const bool isOver = *rc::gen::arbitrary<bool>();
        if (decideGather(progress, isOver) == gather_verdict::Answer) {
            RC_ASSERT(progress.parts >= 1);
            RC_ASSERT(static_cast<double>(progress.parts) >= progress.minimumCoverage * static_cast<double>(progress.shards) - 1e-6);
        }
    });
}

TEST_CASE("isShardSkipped: only what would be late, and only half of what may be missing (guards against answers that are short without need)")
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

TEST_CASE("hedgeDelay: above the usual latency, at most the given share of the objective (guards against hedges that come too late to help)")
{
    latency_window window(10ms);
    CHECK(hedgeDelay(window, 100ms, 0.33) == 24ms);
    CHECK(hedgeDelay(window, 30ms, 0.33) == 9900us);
}

TEST_CASE("placeCallers: the callers' data centre when it holds targets, else those that do (guards against fan-out across data centres)")
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
    CHECK_MESSAGE(placeCallers(candidates, request).size() == 5, "one instance is too few, and no other data centre holds targets");
    request.targetsOfDataCentre = {};
    request.callerDataCentre = "b";
    CHECK(placeCallers(candidates, request).size() == 2);
    request.largestAnswer = 1;
    CHECK(placeCallers(candidates, request).size() == 1);
    CHECK(placeCallers({}, request).empty());
}

TEST_CASE(
    "placeCallers: instances that can serve every route first; from a data centre that is cut off also those elsewhere (a cut of 5 s took all its callers)")
{
    const auto made = [](const std::string &name, const std::string &dataCentre, bool isImpaired, bool isAlive) {
        return placement_candidate{name, dataCentre, {name, 1}, true, isImpaired, isAlive};
    };
    placement_request request;
    request.callerDataCentre = "a";
    request.ownDataCentre = "a";
    request.targetsOfDataCentre = {{"a", 10}, {"b", 10}};
    const auto names = [&](const std::vector<placement_candidate> &candidates) {
        std::set<std::string> chosen;
        for (const endpoint &address : placeCallers(candidates, request)) {
            chosen.insert(address.address);
        }
        return chosen;
    };
    using name_set = std::set<std::string>;
    CHECK(names({made("a1", "a", false, true), made("a2", "a", false, true), made("b1", "b", false, true)}) == name_set{"a1", "a2"});
    CHECK(names({made("a1", "a", true, true), made("a2", "a", true, true), made("b1", "b", false, true)}) == name_set{"b1"});
    const name_set bothImpaired = names({made("a1", "a", true, true), made("b1", "b", true, true)});
    CHECK(bothImpaired == name_set{"a1", "b1"});
    const std::vector<placement_candidate> cut{made("a1", "a", true, true), made("a2", "a", true, true), made("b1", "b", false, false)};
    const name_set withStore = names(cut);
    CHECK_MESSAGE(withStore == name_set({"a1", "a2"}), "the store is reached, so the others are gone");
    request.isStoreReached = false;
    CHECK(names(cut) == name_set{"a1", "a2", "b1"});
    const name_set unimpaired = names({made("a1", "a", false, true), made("a2", "a", false, true), made("b1", "b", false, false)});
    CHECK(unimpaired == name_set{"a1", "a2"});
}

TEST_CASE("data_centre_watch: silent when several targets are overdue without any sign, until the next sign (guards against waiting for each shard alone)")
{
    data_centre_watch watch;
    time_point now = Start;
    watch.onSign("a", now);
    now += 500ms;
    CHECK_FALSE(watch.review("a", 2, now));
    CHECK_FALSE(watch.review("a", 9, now));
    CHECK_FALSE_MESSAGE(watch.isSilent("a"), "one review may follow a standstill of this process");
    watch.onSign("a", now);
    CHECK_FALSE(watch.review("a", 9, now + 100ms));
    now += 500ms;
    CHECK_FALSE(watch.review("a", 9, now));
    CHECK(watch.review("a", 9, now + 100ms));
    CHECK(watch.silent() == std::vector<std::string>{"a"});
    CHECK_FALSE_MESSAGE(watch.review("a", 9, now + 200ms), "told once");
    target_health health;
    replica_view cut = viewOf(health);
    cut.isUnreachable = true;
    CHECK(*choose({cut, viewOf(health, false)}).chosen == 1);
    CHECK(choose({cut}).reason == no_replica::AllUnavailable);
    watch.onSign("a", now + 300ms);
    CHECK(watch.silent().empty());
}

TEST_CASE("chooseSenders: the strongest, spread over data centres, no more than allowed (guards against more senders than targets have connections)")
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
    CHECK(sendersFor(25) == 10);
    CHECK(sendersFor(4) == FewestSenders);
}

TEST_CASE("chooseSenders: an instance that is not chosen can tell so from the chosen ones alone (guards against instances that all think they are senders)")
{
    rc::check([] {
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
    });
}

TEST_CASE("cold_bound: all senders together stay below what a cold target bears (guards against crashing a target that has just started)")
{
    const std::set<std::string> senders{"i1", "i2", "i3", "i4", "i5", "i6"};
    int first = 0;
    for (const std::string &instance : senders) {
        first += isFirstSender(instance, senders, "t1") ? 1 : 0;
    }
    CHECK(first == 1);
    constexpr double Rate = 20;
    cold_bound one;
    cold_bound other; // Of a second sender that believes to be first.
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        const time_point now = Start + std::chrono::milliseconds(i);
        for (cold_bound *bound : {&one, &other}) {
            if (bound->allows(Rate, now)) {
                bound->onSent();
                ++sent;
            }
        }
    }
    CHECK(sent <= Rate * 1.5 + 5);
    CHECK(sent >= Rate);
}

TEST_CASE("peer_table: alive for a few of its intervals, then lost once, then forgotten (guards against sending callers to dead instances)")
{
    peer_table table("self");
    peer_status status;
    status.instance = "p";
    status.address = "10.0.0.2";
    status.incarnation = 7;
    status.interval = 400ms;
    CHECK(table.hear(status, Start));
    CHECK_FALSE(table.hear(status, Start + 400ms));
    CHECK(table.alive(Start + 1900ms).size() == 1);
    CHECK(table.expire(Start + 1900ms).empty());
    CHECK(table.alive(Start + 2100ms).empty());
    CHECK(table.expire(Start + 2100ms) == std::vector<std::string>{"p"});
    CHECK(table.expire(Start + 2200ms).empty());
    CHECK(table.recent(Start + 2200ms).size() == 1);
    CHECK_MESSAGE(table.hear(status, Start + 3s), "heard again after a silence");
    status.incarnation = 6;
    CHECK_FALSE_MESSAGE(table.hear(status, Start + 4s), "a datagram of an earlier process");
    table.expire(Start + 60s);
    CHECK(table.recent(Start + 60s).empty());
    CHECK(table.addresses().empty());
    CHECK(table.learnAddress("10.0.0.3", Start));
    CHECK_FALSE(table.learnAddress("10.0.0.3", Start));
    status.instance = "self";
    CHECK_FALSE(table.hear(status, Start));
}
