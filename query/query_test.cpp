#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "query/query.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace balsamhook;
using std::chrono::milliseconds;

namespace
{

boot_clock::time_point at(milliseconds time)
{
    return boot_clock::time_point(std::chrono::hours(1)) + time;
}

std::string targetName(std::size_t shard, std::size_t replicaNumber)
{
    return "t" + std::to_string(shard) + "-" + std::to_string(replicaNumber);
}

std::string instanceName(std::size_t number)
{
    return "i" + std::to_string(number);
}

target_report reportOf(const std::string &target, std::vector<snapshot> held)
{
    target_report report;
    report.target = target;
    report.snapshots = std::move(held);
    report.usable = true;
    report.cold = false;
    report.slotLimit = 2;
    report.serviceTimeMicroseconds = 5000;
    return report;
}

std::shared_ptr<service_layout> makeLayout(std::size_t shards, std::size_t replicas)
{
    auto layout = std::make_shared<service_layout>();
    layout->name = "s";
    layout->deadline = milliseconds(100);
    layout->hedgePercent = 5;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        shard_layout item{std::to_string(shard), {}};
        for (std::size_t number = 0; number < replicas; ++number) {
            item.replicas.push_back({targetName(shard, number), "dc1", true});
        }
        layout->shards.push_back(std::move(item));
    }
    return layout;
}

query_request makeRequest(std::string text = "q")
{
    query_request request;
    request.service = "s";
    request.text = std::move(text);
    request.limit = 1000;
    return request;
}

/// Hit id made of the text of the query, the shard and the snapshot.
std::string hitId(std::string_view text, std::string_view shard, const snapshot &from)
{
    return std::string(text) + "/" + std::string(shard) + "/" + std::to_string(from.indexVersion);
}

std::string hitsJson(std::string_view text, std::string_view shard, const snapshot &from)
{
    return R"([{"id":")" + hitId(text, shard, from) + R"(","score":1.0,"fields":{"a":1}}])";
}

struct sent_attempt
{
    std::uint64_t id = 0;
    std::string instance;
    std::string target;
    std::string shard;
    std::string text;
    snapshot pinned;
};

sub_response responseTo(const sent_attempt &attempt)
{
    sub_response response;
    response.attemptId = attempt.id;
    response.ended = outcome::Answered;
    response.readFrom = attempt.pinned;
    response.hits = hitsJson(attempt.text, attempt.shard, attempt.pinned);
    return response;
}

sub_response refusalTo(const sent_attempt &attempt, refusal_reason reason)
{
    sub_response response;
    response.attemptId = attempt.id;
    response.ended = outcome::NotRun;
    response.reason = reason;
    return response;
}

/// An engine with one service; collects the returned actions.
class engine_fixture
{
public:
    explicit engine_fixture(std::shared_ptr<service_layout> service = makeLayout(2, 2), std::size_t instances = 2, engine_settings settings = {"dc1"})
        : layout(std::move(service))
        , engine(std::move(settings), metrics)
    {
        engine.setLayouts({{"s", layout}});
        std::vector<target_owner> owners;
        for (std::size_t shard = 0; shard < layout->shards.size(); ++shard) {
            for (std::size_t number = 0; number < layout->shards[shard].replicas.size(); ++number) {
                owners.push_back({targetName(shard, number), instanceName((shard + number) % instances)});
            }
        }
        engine.setOwners(owners);
        ownerList = owners;
    }

    void report(const target_report &targetReport)
    {
        for (const target_owner &item : ownerList) {
            if (item.target == targetReport.target) {
                engine.receive(item.instance, target_reports{{targetReport}});
            }
        }
    }

    void reportAll(const std::vector<snapshot> &held)
    {
        for (const target_owner &item : ownerList) {
            engine.receive(item.instance, target_reports{{reportOf(item.target, held)}});
        }
    }

    void collect(const query_actions &actions)
    {
        for (const query_action &action : actions) {
            if (const auto *sent = std::get_if<send_message>(&action)) {
                collectMessage(*sent);
            } else if (const auto *finished = std::get_if<finish_query>(&action)) {
                results[finished->requestNumber].push_back(finished->result);
            } else if (const auto *ended = std::get_if<finish_command>(&action)) {
                commandResults[ended->requestNumber].push_back(ended->result);
            } else if (std::holds_alternative<record_attempt>(action)) {
                ++recordedAttempts;
            }
        }
    }

    void start(std::uint64_t request, query_request query, milliseconds time)
    {
        collect(engine.startQuery(request, "id" + std::to_string(request), trace_context::start(), std::move(query), at(time)));
    }

    const query_result &resultOf(std::uint64_t request)
    {
        REQUIRE(results[request].size() == 1);
        return results[request].front();
    }

    std::shared_ptr<service_layout> layout;
    std::vector<target_owner> ownerList;
    counters metrics;
    query_engine engine;
    std::vector<sent_attempt> attempts; ///< All attempts sent, in order.
    std::vector<std::uint64_t> cancelled;
    std::vector<std::pair<std::string, command_request>> commands;
    std::map<std::uint64_t, std::vector<query_result>> results;
    std::map<std::uint64_t, std::vector<command_result>> commandResults;
    std::size_t recordedAttempts = 0;
    std::vector<send_message> batches;

private:
    void collectMessage(const send_message &sent)
    {
        if (const auto *batch = std::get_if<sub_query_batch>(&sent.content)) {
            batches.push_back(sent);
            for (const sub_query_item &item : batch->items) {
                attempts.push_back({item.attemptId, sent.instance, item.target, item.shard, batch->text, batch->pinned});
            }
        } else if (const auto *cancel = std::get_if<cancel_attempts>(&sent.content)) {
            cancelled.insert(cancelled.end(), cancel->attemptIds.begin(), cancel->attemptIds.end());
        } else if (const auto *command = std::get_if<command_request>(&sent.content)) {
            commands.emplace_back(sent.instance, *command);
        }
    }
};

constexpr snapshot Older{1, 7};
constexpr snapshot Newer{1, 8};

/// Fills the latency windows of all shards with latencies of 10 ms, so that hedges become possible.
void fillLatencyWindows(engine_fixture &fixture, std::uint64_t firstRequest = 1000)
{
    for (std::uint64_t round = 0; round < 40; ++round) {
        const std::size_t before = fixture.attempts.size();
        const milliseconds time(static_cast<std::int64_t>(round) * 1000);
        fixture.start(firstRequest + round, makeRequest(), time);
        const std::vector<sent_attempt> sent(fixture.attempts.begin() + static_cast<std::ptrdiff_t>(before), fixture.attempts.end());
        for (const sent_attempt &attempt : sent) {
            fixture.collect(fixture.engine.receive(attempt.instance, responseTo(attempt), at(time + milliseconds(10))));
        }
        REQUIRE(fixture.results[firstRequest + round].size() == 1);
    }
}

} // namespace

TEST_CASE("chooseSnapshot: picks the newest snapshot that a usable replica of every shard holds")
{
    engine_fixture fixture;
    target_view view;
    view.setOwners(fixture.ownerList);
    const auto report = [&](const char *target, std::vector<snapshot> held, bool usable = true) {
        target_report targetReport = reportOf(target, std::move(held));
        targetReport.usable = usable;
        for (const target_owner &item : fixture.ownerList) {
            if (item.target == target) {
                view.update(item.instance, targetReport);
            }
        }
    };
    CHECK_FALSE(chooseSnapshot(*fixture.layout, view).has_value());
    report("t0-0", {Older, Newer});
    report("t0-1", {Older});
    report("t1-0", {Older});
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Older);
    report("t1-1", {Newer}, false);
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Older);
    report("t1-1", {Newer});
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Newer);

    SUBCASE("a snapshot of another layout is never chosen")
    {
        report("t0-0", {Older, {2, 9}});
        report("t1-0", {Older, {2, 9}});
        CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Older);
    }
    SUBCASE("without full coverage, the snapshot with the most shards is chosen, the newest among equals")
    {
        report("t0-0", {Newer});
        report("t0-1", {Newer});
        report("t1-0", {Older});
        report("t1-1", {Older});
        const auto choice = chooseSnapshot(*fixture.layout, view);
        CHECK(choice->chosen == Newer);
        CHECK(choice->shards == 1);
    }
    SUBCASE("a target that is unusable by configuration does not count")
    {
        fixture.layout->shards[1].replicas[1].usable = false;
        CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Older);
    }
}

TEST_CASE("target_view: only the owner's report counts, and reports are removed when the connection is lost")
{
    target_view view;
    view.setOwners({{"t", "i0"}});
    view.update("i1", reportOf("t", {Older}));
    CHECK_FALSE(view.isUsable("t"));
    view.update("i0", reportOf("t", {Older}));
    CHECK(view.holds("t", Older));
    view.setOwners({{"t", "i1"}});
    CHECK(view.isUsable("t"));
    view.removeReports("i1");
    CHECK_FALSE(view.isUsable("t"));
}

TEST_CASE("target_view: a report received before the control state lists its target takes effect once it does, within a memory limit")
{
    target_view view;
    view.setOwners({{"t", "i0"}});
    view.update("i0", reportOf("new", {Older}));
    CHECK(view.report("new") == nullptr);
    view.setOwners({{"t", "i0"}, {"new", "i0"}});
    CHECK(view.holds("new", Older));
    view.setOwners({});
    CHECK(view.owner("new") == nullptr);
    // The limit bounds memory use when a faulty dispatcher keeps reporting new names.
    for (int number = 0; number < 10000; ++number) {
        view.update("i0", reportOf("u" + std::to_string(number), {}));
    }
    view.setOwners({{"u9999", "i0"}});
    CHECK_FALSE(view.isUsable("u9999"));
}

TEST_CASE("query_engine: a target that its owner refuses as not owned is avoided while there is another replica")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    int refused = 0;
    for (std::uint64_t request = 1; request <= 50; ++request) {
        const milliseconds begin(static_cast<std::int64_t>(request) * 5);
        std::size_t next = fixture.attempts.size();
        fixture.start(request, makeRequest(), begin);
        for (; next < fixture.attempts.size(); ++next) {
            const sent_attempt attempt = fixture.attempts[next];
            const bool refuse = attempt.target == "t0-0";
            refused += refuse ? 1 : 0;
            const sub_response response = refuse ? refusalTo(attempt, refusal_reason::NotOwner) : responseTo(attempt);
            fixture.collect(fixture.engine.receive(attempt.instance, response, at(begin + milliseconds(2))));
        }
        CHECK(fixture.resultOf(request).ended == outcome::Answered);
    }
    CHECK(refused <= 1);
}

TEST_CASE("query_engine: a query sends one batch to each owner and ends with the last shard's response")
{
    engine_fixture fixture(makeLayout(4, 1));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.batches.size() == 2);
    REQUIRE(fixture.attempts.size() == 4);
    for (const sent_attempt &attempt : fixture.attempts) {
        CHECK(fixture.results.empty());
        fixture.collect(fixture.engine.receive(attempt.instance, responseTo(attempt), at(milliseconds(5))));
    }
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::Answered);
    CHECK(result.readFrom == Older);
    CHECK(result.coverage.answered == 4);
    CHECK(result.coverage.missing.empty());
    CHECK(result.hits.size() == 4);
    CHECK(fixture.engine.inFlight() == 0);
    CHECK(fixture.recordedAttempts == 4);
}

TEST_CASE("mergeParts: sorts by score and id, removes duplicate ids and truncates to the limit")
{
    const std::vector<query_part> parts{{Older, {{"b", 1, "{}"}, {"c", 3, "{}"}}}, {Older, {{"a", 1, "{}"}, {"c", 2, "{}"}, {"d", 0, "{}"}}}};
    const auto merged = mergeParts(Older, parts, 3);
    REQUIRE(merged.size() == 3);
    CHECK(merged[0].id == "c");
    CHECK(merged[0].score == 3);
    CHECK(merged[1].id == "a");
    CHECK(merged[2].id == "b");
}

TEST_CASE("parseHits: rejects malformed hits")
{
    for (const char *text : {"", "{}", "[1]", R"([{"id":1,"score":1}])", R"([{"id":"a","score":"1"}])", R"([{"id":"a","score":1,"fields":[]}])", "[[[["}) {
        CAPTURE(text);
        CHECK(parseHits(text).has_error());
    }
    CHECK(parseHits(R"([{"id":"a","score":1}])").value().front().fields == "{}");
}

TEST_CASE("query_engine: a part from another snapshot or with malformed hits is never merged")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    sub_response wrong = responseTo(fixture.attempts[0]);
    wrong.readFrom = Newer;
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, wrong, at(milliseconds(1))));
    sub_response malformed = responseTo(fixture.attempts[1]);
    malformed.hits = "[{]";
    fixture.collect(fixture.engine.receive(fixture.attempts[1].instance, malformed, at(milliseconds(1))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::Unknown);
    CHECK(result.coverage.answered == 0);
    CHECK(fixture.metrics.value("wrong_snapshot_answers_total") == 1);
    CHECK(fixture.metrics.value("malformed_hits_total") == 1);
}

TEST_CASE("query_engine: a refused sub-query is retried on the other replica")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    REQUIRE(fixture.attempts.size() == 1);
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, refusalTo(fixture.attempts[0], refusal_reason::TargetShedding), at(milliseconds(2))));
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempts[0].target != fixture.attempts[1].target);
    fixture.collect(fixture.engine.receive(fixture.attempts[1].instance, responseTo(fixture.attempts[1]), at(milliseconds(5))));
    CHECK(fixture.resultOf(1).ended == outcome::Answered);
}

TEST_CASE("query_engine: a query that all targets refuse without starting it ends as not run, with a reason for each missing shard")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, refusalTo(fixture.attempts[0], refusal_reason::QueueFull), at(milliseconds(2))));
    fixture.collect(fixture.engine.receive(fixture.attempts[1].instance, refusalTo(fixture.attempts[1], refusal_reason::TargetShedding), at(milliseconds(3))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::NotRun);
    REQUIRE(result.coverage.missing.size() == 1);
    CHECK(result.coverage.missing[0].reason == "target_shedding");
}

TEST_CASE("query_engine: a request that may have crashed two targets gets no third attempt")
{
    engine_fixture fixture(makeLayout(1, 3));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    for (std::size_t number = 0; number < 2; ++number) {
        sub_response crashed = refusalTo(fixture.attempts.at(number), refusal_reason::TargetFailed);
        crashed.ended = outcome::Unknown;
        fixture.collect(fixture.engine.receive(fixture.attempts[number].instance, crashed, at(milliseconds(2))));
    }
    CHECK(fixture.attempts.size() == 2);
    CHECK(fixture.resultOf(1).ended == outcome::Unknown);
}

TEST_CASE("query_engine: crash notices from two owners quarantine a request before any attempt")
{
    engine_fixture fixture(makeLayout(1, 3));
    fixture.reportAll({Older});
    const query_request poisoned = makeRequest();
    const std::uint64_t fingerprint = queryFingerprint(poisoned.service, poisoned.text);
    fixture.engine.receive(crash_notice{{{fingerprint, targetName(0, 0)}}, {}}, at(milliseconds(0)));
    fixture.engine.receive(crash_notice{{{fingerprint, targetName(0, 1)}}, {}}, at(milliseconds(1)));
    fixture.start(1, poisoned, milliseconds(2));
    CHECK(fixture.attempts.empty());
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
    query_request other = makeRequest();
    other.text += " other";
    fixture.start(2, other, milliseconds(2));
    CHECK(fixture.attempts.size() == 1);
}

TEST_CASE("query_engine: a sub-query refused as quarantined is not retried")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, refusalTo(fixture.attempts[0], refusal_reason::Quarantined), at(milliseconds(2))));
    CHECK(fixture.attempts.size() == 1);
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
}

TEST_CASE("query_engine: a slow sub-query is hedged after the shard's 95th percentile, and the losing attempt is cancelled")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    fillLatencyWindows(fixture);
    const milliseconds begin(100000);
    const std::size_t before = fixture.attempts.size();
    fixture.start(1, makeRequest(), begin);
    REQUIRE(fixture.attempts.size() == before + 1);
    fixture.collect(fixture.engine.tick(at(begin + milliseconds(9))));
    CHECK(fixture.attempts.size() == before + 1);
    CHECK(fixture.engine.nextWake() == at(begin + milliseconds(10)));

    SUBCASE("the hedge wins")
    {
        fixture.collect(fixture.engine.tick(at(begin + milliseconds(10))));
        REQUIRE(fixture.attempts.size() == before + 2);
        const sent_attempt first = fixture.attempts[before];
        const sent_attempt hedge = fixture.attempts[before + 1];
        CHECK(first.target != hedge.target);
        fixture.collect(fixture.engine.receive(hedge.instance, responseTo(hedge), at(begin + milliseconds(15))));
        CHECK(fixture.resultOf(1).ended == outcome::Answered);
        CHECK(fixture.cancelled == std::vector<std::uint64_t>{first.id});
        fixture.collect(fixture.engine.receive(first.instance, responseTo(first), at(begin + milliseconds(40))));
        CHECK(fixture.metrics.value("late_answers_dropped_total") == 1);
        CHECK(fixture.metrics.value("hedges_won_total") == 1);
    }
    SUBCASE("a cold target gets no hedge")
    {
        for (const target_owner &item : fixture.ownerList) {
            if (item.target != fixture.attempts[before].target) {
                target_report cold = reportOf(item.target, {Older});
                cold.cold = true;
                fixture.report(cold);
            }
        }
        fixture.collect(fixture.engine.tick(at(begin + milliseconds(20))));
        CHECK(fixture.attempts.size() == before + 1);
    }
}

TEST_CASE("query_engine: hedging stops above half of the in-flight limit, and queries beyond the limit are refused")
{
    engine_settings settings{"dc1"};
    settings.inFlightLimit = 4;
    engine_fixture fixture(makeLayout(1, 2), 2, settings);
    fixture.reportAll({Older});
    fillLatencyWindows(fixture);
    const milliseconds begin(100000);
    const std::size_t before = fixture.attempts.size();
    for (std::uint64_t request = 1; request <= 5; ++request) {
        fixture.start(request, makeRequest(), begin);
    }
    CHECK(fixture.resultOf(5).ended == outcome::NotRun);
    CHECK(fixture.resultOf(5).reason == "overloaded");
    fixture.collect(fixture.engine.tick(at(begin + milliseconds(50))));
    CHECK(fixture.attempts.size() == before + 4);
}

TEST_CASE("query_engine: a query that can't start within its deadline is refused at once")
{
    engine_fixture fixture(makeLayout(1, 1));
    target_report busy = reportOf("t0-0", {Older});
    busy.queueLength = 100;
    fixture.report(busy);
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
    CHECK(fixture.resultOf(1).reason == "deadline_too_short");
    CHECK(fixture.attempts.empty());
}

TEST_CASE("query_engine: at the deadline a query ends with the parts received so far")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Older});
    query_request request = makeRequest();
    outcome expected = outcome::Answered;
    SUBCASE("enough coverage")
    {
        request.minimumCoverage = 0.5;
    }
    SUBCASE("too little coverage")
    {
        request.minimumCoverage = 0.6;
        expected = outcome::Unknown;
    }
    fixture.start(1, request, milliseconds(0));
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, responseTo(fixture.attempts[0]), at(milliseconds(2))));
    fixture.collect(fixture.engine.tick(at(milliseconds(99))));
    CHECK(fixture.results.empty());
    fixture.collect(fixture.engine.tick(at(milliseconds(100))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == expected);
    CHECK(result.coverage.answered == 1);
    REQUIRE(result.coverage.missing.size() == 1);
    CHECK(result.coverage.missing[0].shard == fixture.attempts[1].shard);
    CHECK(result.coverage.missing[0].reason == "timeout");
    CHECK(fixture.cancelled == std::vector<std::uint64_t>{fixture.attempts[1].id});
}

TEST_CASE("query_engine: a partial response is sent at the requested time when the coverage suffices, otherwise at the deadline")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Older});
    query_request request = makeRequest();
    request.answerAfter = milliseconds(20);
    fixture.start(1, request, milliseconds(0));
    fixture.collect(fixture.engine.tick(at(milliseconds(20))));
    CHECK(fixture.results.empty());
    fixture.collect(fixture.engine.tick(at(milliseconds(100))));
    CHECK(fixture.resultOf(1).ended == outcome::Unknown);

    fixture.start(2, request, milliseconds(200));
    const sent_attempt first = fixture.attempts[2];
    fixture.collect(fixture.engine.receive(first.instance, responseTo(first), at(milliseconds(202))));
    fixture.collect(fixture.engine.tick(at(milliseconds(220))));
    CHECK(fixture.resultOf(2).ended == outcome::Answered);
    CHECK(fixture.resultOf(2).coverage.answered == 1);
}

TEST_CASE("query_engine: a query whose snapshot has disappeared restarts once on a newer one")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, responseTo(fixture.attempts[0]), at(milliseconds(1))));
    const sent_attempt second = fixture.attempts[1];
    for (std::size_t shard = 0; shard < 2; ++shard) {
        fixture.report(reportOf(targetName(shard, 0), {Newer}));
    }
    sub_response missing = refusalTo(second, refusal_reason::SnapshotMissing);
    missing.report = reportOf(second.target, {Newer});
    fixture.collect(fixture.engine.receive(second.instance, missing, at(milliseconds(2))));
    REQUIRE(fixture.attempts.size() == 4);
    CHECK(fixture.attempts[2].pinned == Newer);
    for (std::size_t number = 2; number < 4; ++number) {
        fixture.collect(fixture.engine.receive(fixture.attempts[number].instance, responseTo(fixture.attempts[number]), at(milliseconds(5))));
    }
    const query_result &result = fixture.resultOf(1);
    CHECK(result.readFrom == Newer);
    CHECK(result.coverage.answered == 2);
    CHECK(result.hits.size() == 2);
    for (const hit &item : result.hits) {
        CHECK(item.id.ends_with("/8"));
    }
}

TEST_CASE("query_engine: without a newer snapshot, a shard that lost the snapshot is missing with the reason")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.collect(fixture.engine.receive(fixture.attempts[0].instance, refusalTo(fixture.attempts[0], refusal_reason::SnapshotMissing), at(milliseconds(1))));
    fixture.collect(fixture.engine.receive(fixture.attempts[1].instance, responseTo(fixture.attempts[1]), at(milliseconds(1))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.coverage.answered == 1);
    CHECK(result.coverage.missing.at(0).reason == "snapshot_missing");
}

TEST_CASE("query_engine: a lost connection fails over to the other replica, and a late response to the lost attempt is dropped")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    fixture.start(1, makeRequest(), milliseconds(0));
    const sent_attempt first = fixture.attempts[0];
    fixture.collect(fixture.engine.onDisconnected(first.instance, at(milliseconds(1))));
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempts[1].instance != first.instance);
    fixture.collect(fixture.engine.receive(first.instance, responseTo(first), at(milliseconds(2))));
    CHECK(fixture.results.empty());
    fixture.collect(fixture.engine.receive(fixture.attempts[1].instance, responseTo(fixture.attempts[1]), at(milliseconds(3))));
    CHECK(fixture.resultOf(1).hits.size() == 1);
}

TEST_CASE("query_engine: a query without any snapshot is not run")
{
    engine_fixture fixture;
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
    CHECK(fixture.resultOf(1).reason == "no_snapshot");
    CHECK(fixture.resultOf(1).coverage.total == 2);
}

TEST_CASE("query_engine: a slow replica gets almost no attempts while a fast one is idle")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Older});
    std::map<std::string, int> sent;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        const milliseconds begin(static_cast<std::int64_t>(request) * 50);
        const std::size_t before = fixture.attempts.size();
        fixture.start(request, makeRequest(), begin);
        const sent_attempt first = fixture.attempts[before];
        ++sent[first.target];
        const milliseconds latency(first.target == "t0-0" ? 90 : 5);
        fixture.collect(fixture.engine.receive(first.instance, responseTo(first), at(begin + latency)));
    }
    // Both replicas start without samples. The estimate of the slow one decays to 5 ms after about 40 s, longer than this test simulates.
    CHECK(sent["t0-0"] <= 4);
}

TEST_CASE("token_budget: hedges and retries never exceed the budget")
{
    token_budget budget(5, 10);
    std::size_t extraAttempts = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.deposit(1);
        extraAttempts += budget.tryAcquireForHedge() ? 1 : 0;
        extraAttempts += budget.tryAcquireForRetry() ? 1 : 0;
    }
    CHECK(extraAttempts <= 10 + 50);
    CHECK(extraAttempts >= 50);
    token_budget empty(0, 10);
    empty.deposit(1000);
    CHECK_FALSE(empty.tryAcquireForRetry());
}

TEST_CASE("token_budget: retries can use the reserve, hedges can't")
{
    token_budget budget(5, 4);
    int hedges = 0;
    while (budget.tryAcquireForHedge()) {
        ++hedges;
    }
    CHECK(hedges == 3);
    CHECK(budget.tryAcquireForRetry());
    CHECK_FALSE(budget.tryAcquireForRetry());
}

TEST_CASE("latency_window: the percentile needs a minimum of samples and follows the most recent ones")
{
    latency_window window;
    for (int i = 1; i <= 19; ++i) {
        window.add(std::chrono::microseconds(i));
    }
    CHECK_FALSE(window.percentile95().has_value());
    // Two full cycles of 128 values, so the window of 128 samples holds each value once.
    for (int i = 0; i < 256; ++i) {
        window.add(std::chrono::microseconds(i % 128 + 1));
    }
    CHECK(window.percentile95() == std::chrono::microseconds(122));
}

TEST_CASE("query_engine: commands of one key go to one target, and the first response of its owner is the result")
{
    auto layout = makeLayout(1, 4);
    layout->kind = service_kind::Command;
    engine_fixture fixture(layout);
    fixture.reportAll({});
    caller_command command{"s", "key-1", 1000, "{}", std::nullopt};
    for (std::uint64_t request = 1; request <= 4; ++request) {
        fixture.collect(fixture.engine.startCommand(request, trace_context::start(), command, at(milliseconds(0))));
    }
    REQUIRE(fixture.commands.size() == 4);
    CHECK(fixture.commands[0].second.target == fixture.commands[3].second.target);
    // The owner's deadline leaves time for its refusal to arrive before the caller's deadline of 100 ms.
    CHECK(fixture.commands[0].second.remainingMicroseconds == 90000);
    const std::string instance = fixture.commands[0].first;
    const auto attemptIdOf = [&](std::size_t number) { return fixture.commands[number].second.attemptId; };

    SUBCASE("answered, not run, and connection lost")
    {
        fixture.collect(fixture.engine.receive(instance, command_response{attemptIdOf(0), outcome::Answered, refusal_reason::None, "7"}, at(milliseconds(1))));
        fixture.collect(fixture.engine.receive(instance, command_response{attemptIdOf(0), outcome::Answered, refusal_reason::None, "8"}, at(milliseconds(1))));
        fixture.collect(
            fixture.engine.receive(instance, command_response{attemptIdOf(1), outcome::NotRun, refusal_reason::KeyExpired, ""}, at(milliseconds(1))));
        fixture.collect(fixture.engine.receive("i9", command_response{attemptIdOf(2), outcome::Answered, refusal_reason::None, "9"}, at(milliseconds(1))));
        fixture.collect(fixture.engine.onDisconnected(instance, at(milliseconds(2))));
        CHECK(fixture.commandResults[1].size() == 1);
        CHECK(fixture.commandResults[1][0].result == "7");
        CHECK(fixture.commandResults[2][0].ended == outcome::NotRun);
        CHECK(fixture.commandResults[2][0].reason == "key_expired");
        CHECK(fixture.commandResults[3][0].ended == outcome::Unknown);
        CHECK(fixture.commandResults[4][0].reason == "connection_lost");
        CHECK(fixture.metrics.value("late_answers_dropped_total") == 1);
        CHECK(fixture.metrics.value("crossed_answers_dropped_total") == 1);
    }
    SUBCASE("a command without a response by the deadline ends as unknown")
    {
        fixture.collect(fixture.engine.tick(at(milliseconds(100))));
        CHECK(fixture.commandResults[1][0].ended == outcome::Unknown);
        CHECK(fixture.commandResults[1][0].reason == "timeout");
    }
    SUBCASE("a command that was never sent is not run")
    {
        fixture.collect(fixture.engine.onSendFailed({instance, fixture.commands[0].second}, at(milliseconds(1))));
        CHECK(fixture.commandResults[1][0].ended == outcome::NotRun);
    }
    CHECK(fixture.engine.attemptsInFlight() == fixture.engine.inFlight());
}

TEST_CASE("query_engine: a command without a usable target is not run")
{
    auto layout = makeLayout(1, 2);
    layout->kind = service_kind::Command;
    engine_fixture fixture(layout);
    fixture.collect(fixture.engine.startCommand(1, trace_context::start(), {"s", "k", 1, "{}", std::nullopt}, at(milliseconds(0))));
    CHECK(fixture.commandResults[1].at(0).ended == outcome::NotRun);
}

TEST_CASE("routeCommand: only the keys of a target that becomes unusable move to other targets")
{
    auto layout = makeLayout(1, 5);
    engine_fixture fixture(layout);
    target_view view;
    view.setOwners(fixture.ownerList);
    for (const target_owner &item : fixture.ownerList) {
        view.update(item.instance, reportOf(item.target, {}));
    }
    std::map<std::string, std::string> before;
    std::map<std::string, int> keysByTarget;
    for (int key = 0; key < 500; ++key) {
        const std::string name = std::to_string(key);
        before[name] = routeCommand(*layout, view, name)->target;
        ++keysByTarget[before[name]];
    }
    CHECK(keysByTarget.size() == 5);
    layout->shards[0].replicas[2].usable = false;
    for (const auto &[key, target] : before) {
        const std::string after = routeCommand(*layout, view, key)->target;
        CHECK(after != targetName(0, 2));
        CHECK((after == target || target == targetName(0, 2)));
    }
}

namespace
{

/// Simulates dispatchers and targets for the randomised test: ends the attempts of an engine with random outcomes in random order.
class random_simulation
{
public:
    random_simulation()
        : m_shards(*rc::gen::inRange<std::size_t>(1, 5))
        , m_replicas(*rc::gen::inRange<std::size_t>(1, 4))
        , m_instances(*rc::gen::inRange<std::size_t>(1, 4))
        , m_fixture(makeLayout(m_shards, m_replicas), m_instances)
    {
        reportSnapshots();
    }

    void run()
    {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(400, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
        for (const std::uint32_t step : steps) {
            m_now += milliseconds((step >> 8) % 4);
            runStep(step % 24, step >> 10);
            recordCancelled();
        }
        m_now += milliseconds(1000);
        m_fixture.collect(m_fixture.engine.tick(at(m_now)));
        recordCancelled();
    }

    void check()
    {
        RC_ASSERT(m_fixture.engine.inFlight() == 0U);
        RC_ASSERT(m_fixture.engine.attemptsInFlight() == 0U);
        RC_ASSERT(m_fixture.results.size() == m_startedQueries);
        for (const auto &[request, ended] : m_fixture.results) {
            RC_ASSERT(ended.size() == 1U);
            checkResult(request, ended.front());
        }
        checkBudget();
    }

    void addCountsTo(std::map<std::string, std::int64_t> &counts) const
    {
        for (const char *kind : {"retry", "hedge", "restart"}) {
            counts[kind] += m_fixture.metrics.value("attempts_total{kind=\"" + std::string(kind) + "\"}");
        }
        counts["late"] += m_fixture.metrics.value("late_answers_dropped_total");
        counts["crossed"] += m_fixture.metrics.value("crossed_answers_dropped_total");
        counts["denied"] += m_fixture.metrics.value(R"(budget_denied_total{kind="retry"})");
    }

private:
    void runStep(std::uint32_t kind, std::uint32_t choice)
    {
        switch (kind) {
        case 0:
        case 1:
        case 2:
            ++m_startedQueries;
            m_fixture.start(m_startedQueries, makeRequest("q" + std::to_string(m_startedQueries)), m_now);
            return;
        case 3:
            m_fixture.collect(m_fixture.engine.tick(at(m_now)));
            return;
        case 4:
            loseConnection(instanceName(choice % m_instances));
            return;
        case 5:
            failSend(choice);
            return;
        case 6:
            m_newestSnapshot.indexVersion += choice % 4 == 0 ? 1 : 0;
            reportSnapshots();
            return;
        default:
            deliver(kind, choice);
        }
    }

    void deliver(std::uint32_t kind, std::uint32_t choice)
    {
        if (m_fixture.attempts.empty()) {
            return;
        }
        // Mostly recent attempts; older ones produce late and duplicate responses.
        const std::size_t recent = std::min<std::size_t>(m_fixture.attempts.size(), kind == 15 ? m_fixture.attempts.size() : 12);
        const sent_attempt attempt = m_fixture.attempts[m_fixture.attempts.size() - 1 - choice % recent];
        if (kind == 7) {
            sub_response crossed = responseTo(attempt);
            crossed.attemptId += choice % 2;
            m_fixture.collect(m_fixture.engine.receive("stranger", crossed, at(m_now)));
            return;
        }
        if (kind == 8) {
            refuse(attempt, choice);
            return;
        }
        if (kind == 9) {
            sub_response wrong = responseTo(attempt);
            wrong.readFrom = snapshot{1, 99};
            markStarted(attempt);
            m_fixture.collect(m_fixture.engine.receive(attempt.instance, wrong, at(m_now)));
            return;
        }
        markStarted(attempt);
        m_fixture.collect(m_fixture.engine.receive(attempt.instance, responseTo(attempt), at(m_now)));
    }

    /// Only the first event of an attempt decides whether a target may have started it; later ones are duplicates.
    void markStarted(const sent_attempt &attempt)
    {
        if (m_attemptsWithEvent.insert(attempt.id).second) {
            m_mayHaveRun.insert(attempt.text);
        }
    }

    void refuse(const sent_attempt &attempt, std::uint32_t choice)
    {
        static constexpr refusal_reason Reasons[] = {refusal_reason::NotOwner,
                                                     refusal_reason::QueueFull,
                                                     refusal_reason::SnapshotMissing,
                                                     refusal_reason::TargetFailed,
                                                     refusal_reason::Timeout,
                                                     refusal_reason::Quarantined};
        sub_response refusal = refusalTo(attempt, Reasons[choice % std::size(Reasons)]);
        if (refusal.reason == refusal_reason::TargetFailed || refusal.reason == refusal_reason::Timeout) {
            refusal.ended = outcome::Unknown;
            markStarted(attempt);
        }
        m_attemptsWithEvent.insert(attempt.id);
        if (refusal.reason == refusal_reason::SnapshotMissing) {
            m_newestSnapshot.indexVersion += 2;
            reportSnapshots();
        }
        m_fixture.collect(m_fixture.engine.receive(attempt.instance, refusal, at(m_now)));
    }

    void loseConnection(const std::string &instance)
    {
        for (const sent_attempt &attempt : m_fixture.attempts) {
            if (attempt.instance == instance) {
                markStarted(attempt);
            }
        }
        m_fixture.collect(m_fixture.engine.onDisconnected(instance, at(m_now)));
        for (const target_owner &item : m_fixture.ownerList) {
            if (item.instance == instance) {
                m_fixture.report(reportOf(item.target, held()));
            }
        }
    }

    /// The newest two index versions, as targets hold them during the roll-out of an index.
    std::vector<snapshot> held() const
    {
        return {{m_newestSnapshot.layoutEpoch, m_newestSnapshot.indexVersion - 1}, m_newestSnapshot};
    }

    void reportSnapshots()
    {
        m_fixture.reportAll(held());
    }

    void failSend(std::uint32_t choice)
    {
        if (!m_fixture.batches.empty()) {
            const send_message unsent = m_fixture.batches[m_fixture.batches.size() - 1 - choice % std::min<std::size_t>(m_fixture.batches.size(), 4)];
            for (const sub_query_item &item : std::get<sub_query_batch>(unsent.content).items) {
                m_attemptsWithEvent.insert(item.attemptId);
            }
            m_fixture.collect(m_fixture.engine.onSendFailed(unsent, at(m_now)));
        }
    }

    /// A target may have started an attempt that the engine cancelled.
    void recordCancelled()
    {
        for (const std::uint64_t id : m_fixture.cancelled) {
            const auto found = std::find_if(m_fixture.attempts.begin(), m_fixture.attempts.end(), [&](const sent_attempt &item) { return item.id == id; });
            RC_ASSERT(found != m_fixture.attempts.end());
            markStarted(*found);
        }
        m_fixture.cancelled.clear();
    }

    void checkResult(std::uint64_t request, const query_result &result)
    {
        RC_ASSERT(result.coverage.total == m_shards);
        RC_ASSERT(result.coverage.answered + result.coverage.missing.size() == m_shards);
        const std::string text = "q" + std::to_string(request);
        std::set<std::string> expected;
        for (const shard_layout &shard : m_fixture.layout->shards) {
            const bool missing = std::any_of(
                result.coverage.missing.begin(), result.coverage.missing.end(), [&](const missing_shard &item) { return item.shard == shard.shard; });
            if (!missing) {
                expected.insert(hitId(text, shard.shard, result.readFrom.value()));
            }
        }
        RC_ASSERT(expected.size() == result.coverage.answered);
        if (result.ended == outcome::Answered) {
            std::set<std::string> merged;
            for (const hit &item : result.hits) {
                merged.insert(item.id);
            }
            RC_ASSERT(merged == expected);
        } else {
            RC_ASSERT(result.coverage.answered == 0U);
        }
        RC_ASSERT(result.ended != outcome::NotRun || !m_mayHaveRun.contains(text));
    }

    void checkBudget()
    {
        const auto count = [&](const char *kind) { return m_fixture.metrics.value("attempts_total{kind=\"" + std::string(kind) + "\"}"); };
        const std::int64_t extraAttempts = count("retry") + count("hedge") + m_fixture.metrics.value("restarts_total");
        const double allowed = engine_settings().budgetBurst + static_cast<double>(count("first")) * 0.05;
        RC_ASSERT(static_cast<double>(extraAttempts) <= allowed);
    }

    std::size_t m_shards;
    std::size_t m_replicas;
    std::size_t m_instances;
    engine_fixture m_fixture;
    milliseconds m_now{0};
    snapshot m_newestSnapshot = Newer;
    std::uint64_t m_startedQueries = 0;
    std::set<std::uint64_t> m_attemptsWithEvent; ///< Ids of attempts that had an event.
    std::set<std::string> m_mayHaveRun; ///< Texts of queries with an attempt that a target may have started.
};

} // namespace

TEST_CASE("query_engine: invariants hold under random order, losses, duplicates and responses from the wrong instance")
{
    std::map<std::string, std::int64_t> counts;
    CHECK(rc::check("each query ends exactly once, with the hits of exactly its covered shards, text and snapshot, and extra attempts stay within the budget",
                    [&] {
                        random_simulation simulation;
                        simulation.run();
                        simulation.check();
                        simulation.addCountsTo(counts);
                    }));
    // Guards against a generator that no longer produces these cases.
    for (const char *name : {"retry", "hedge", "restart", "late", "crossed", "denied"}) {
        CAPTURE(name);
        CHECK(counts[name] > 0);
    }
}
