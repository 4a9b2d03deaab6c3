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

/// One hit whose id names the text of the query, the shard and the snapshot.
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

sub_response answerOf(const sent_attempt &attempt)
{
    sub_response answer;
    answer.attemptId = attempt.id;
    answer.ended = outcome::Answered;
    answer.readFrom = attempt.pinned;
    answer.hits = hitsJson(attempt.text, attempt.shard, attempt.pinned);
    return answer;
}

sub_response refusalOf(const sent_attempt &attempt, refusal_reason reason)
{
    sub_response answer;
    answer.attemptId = attempt.id;
    answer.ended = outcome::NotRun;
    answer.reason = reason;
    return answer;
}

/// An engine with one service; collects what the actions say.
class engine_fixture
{
public:
    explicit engine_fixture(std::shared_ptr<service_layout> service = makeLayout(2, 2), std::size_t instances = 2, engine_settings settings = {"dc1"})
        : layout(std::move(service))
        , engine(std::move(settings), numbers)
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

    void report(const target_report &known)
    {
        for (const target_owner &item : ownerList) {
            if (item.target == known.target) {
                engine.receive(item.instance, target_reports{{known}});
            }
        }
    }

    void reportAll(const std::vector<snapshot> &held)
    {
        for (const target_owner &item : ownerList) {
            engine.receive(item.instance, target_reports{{reportOf(item.target, held)}});
        }
    }

    void take(const query_actions &actions)
    {
        for (const query_action &action : actions) {
            if (const auto *sent = std::get_if<send_message>(&action)) {
                takeMessage(*sent);
            } else if (const auto *finished = std::get_if<finish_query>(&action)) {
                results[finished->request].push_back(finished->result);
            } else if (const auto *ended = std::get_if<finish_command>(&action)) {
                commandResults[ended->request].push_back(ended->result);
            } else if (std::holds_alternative<record_attempt>(action)) {
                ++recorded;
            }
        }
    }

    void start(std::uint64_t request, query_request wanted, milliseconds time)
    {
        take(engine.startQuery(request, "id" + std::to_string(request), trace_context::start(), std::move(wanted), at(time)));
    }

    const query_result &resultOf(std::uint64_t request)
    {
        REQUIRE(results[request].size() == 1);
        return results[request].front();
    }

    std::shared_ptr<service_layout> layout;
    std::vector<target_owner> ownerList;
    counters numbers;
    query_engine engine;
    std::vector<sent_attempt> attempts; ///< All that were ever sent, in order.
    std::vector<std::uint64_t> cancelled;
    std::vector<std::pair<std::string, command_request>> commands;
    std::map<std::uint64_t, std::vector<query_result>> results;
    std::map<std::uint64_t, std::vector<command_result>> commandResults;
    std::size_t recorded = 0;
    std::vector<send_message> batches;

private:
    void takeMessage(const send_message &sent)
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

constexpr snapshot Old{1, 7};
constexpr snapshot New{1, 8};

/// Fills the latency windows of all shards with answers after 10 ms, so that hedges become possible.
void warmUp(engine_fixture &fixture, std::uint64_t firstRequest = 1000)
{
    for (std::uint64_t round = 0; round < 40; ++round) {
        const std::size_t before = fixture.attempts.size();
        const milliseconds time(static_cast<std::int64_t>(round) * 1000);
        fixture.start(firstRequest + round, makeRequest(), time);
        const std::vector<sent_attempt> sent(fixture.attempts.begin() + static_cast<std::ptrdiff_t>(before), fixture.attempts.end());
        for (const sent_attempt &attempt : sent) {
            fixture.take(fixture.engine.receive(attempt.instance, answerOf(attempt), at(time + milliseconds(10))));
        }
        REQUIRE(fixture.results[firstRequest + round].size() == 1);
    }
}

} // namespace

TEST_CASE("the snapshot is the newest one that every shard has on a usable replica")
{
    engine_fixture fixture;
    target_view view;
    view.setOwners(fixture.ownerList);
    const auto report = [&](const char *target, std::vector<snapshot> held, bool usable = true) {
        target_report known = reportOf(target, std::move(held));
        known.usable = usable;
        for (const target_owner &item : fixture.ownerList) {
            if (item.target == target) {
                view.update(item.instance, known);
            }
        }
    };
    CHECK_FALSE(chooseSnapshot(*fixture.layout, view).has_value());
    report("t0-0", {Old, New});
    report("t0-1", {Old});
    report("t1-0", {Old});
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Old);
    report("t1-1", {New}, false);
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Old);
    report("t1-1", {New});
    CHECK(chooseSnapshot(*fixture.layout, view)->chosen == New);

    SUBCASE("a snapshot of another layout is never chosen")
    {
        report("t0-0", {Old, {2, 9}});
        report("t1-0", {Old, {2, 9}});
        CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Old);
    }
    SUBCASE("without full coverage the snapshot with the most shards is chosen, the newest of these")
    {
        report("t0-0", {New});
        report("t0-1", {New});
        report("t1-0", {Old});
        report("t1-1", {Old});
        const auto choice = chooseSnapshot(*fixture.layout, view);
        CHECK(choice->chosen == New);
        CHECK(choice->shards == 1);
    }
    SUBCASE("a target that the configuration takes out does not count")
    {
        fixture.layout->shards[1].replicas[1].usable = false;
        CHECK(chooseSnapshot(*fixture.layout, view)->chosen == Old);
    }
}

TEST_CASE("a report counts only from the target's owner, and none is left after the connection was lost")
{
    target_view view;
    view.setOwners({{"t", "i0"}});
    view.update("i1", reportOf("t", {Old}));
    CHECK_FALSE(view.isUsable("t"));
    view.update("i0", reportOf("t", {Old}));
    CHECK(view.holds("t", Old));
    view.setOwners({{"t", "i1"}});
    CHECK(view.isUsable("t"));
    view.forget("i1");
    CHECK_FALSE(view.isUsable("t"));
}

TEST_CASE("a report that comes before the control state lists its target counts afterwards")
{
    target_view view;
    view.setOwners({{"t", "i0"}});
    view.update("i0", reportOf("new", {Old}));
    CHECK(view.report("new") == nullptr);
    view.setOwners({{"t", "i0"}, {"new", "i0"}});
    CHECK(view.holds("new", Old));
    view.setOwners({});
    CHECK(view.owner("new") == nullptr);
    // A dispatcher that reports endless names must not fill the memory.
    for (int number = 0; number < 10000; ++number) {
        view.update("i0", reportOf("u" + std::to_string(number), {}));
    }
    view.setOwners({{"u9999", "i0"}});
    CHECK_FALSE(view.isUsable("u9999"));
}

TEST_CASE("a target whose owner refuses it as not its own is passed over while there is a replica")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    int refused = 0;
    for (std::uint64_t request = 1; request <= 50; ++request) {
        const milliseconds begin(static_cast<std::int64_t>(request) * 5);
        std::size_t next = fixture.attempts.size();
        fixture.start(request, makeRequest(), begin);
        for (; next < fixture.attempts.size(); ++next) {
            const sent_attempt attempt = fixture.attempts[next];
            const bool refuse = attempt.target == "t0-0";
            refused += refuse ? 1 : 0;
            const sub_response answer = refuse ? refusalOf(attempt, refusal_reason::NotOwner) : answerOf(attempt);
            fixture.take(fixture.engine.receive(attempt.instance, answer, at(begin + milliseconds(2))));
        }
        CHECK(fixture.resultOf(request).ended == outcome::Answered);
    }
    CHECK(refused <= 1);
}

TEST_CASE("a query is one batch for each owner and ends when all shards have answered")
{
    engine_fixture fixture(makeLayout(4, 1));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.batches.size() == 2);
    REQUIRE(fixture.attempts.size() == 4);
    for (const sent_attempt &attempt : fixture.attempts) {
        CHECK(fixture.results.empty());
        fixture.take(fixture.engine.receive(attempt.instance, answerOf(attempt), at(milliseconds(5))));
    }
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::Answered);
    CHECK(result.readFrom == Old);
    CHECK(result.coverage.answered == 4);
    CHECK(result.coverage.missing.empty());
    CHECK(result.hits.size() == 4);
    CHECK(fixture.engine.inFlight() == 0);
    CHECK(fixture.recorded == 4);
}

TEST_CASE("merging sorts by score and id, removes duplicate ids and cuts to the limit")
{
    const std::vector<query_part> parts{{Old, {{"b", 1, "{}"}, {"c", 3, "{}"}}}, {Old, {{"a", 1, "{}"}, {"c", 2, "{}"}, {"d", 0, "{}"}}}};
    const auto merged = mergeParts(Old, parts, 3);
    REQUIRE(merged.size() == 3);
    CHECK(merged[0].id == "c");
    CHECK(merged[0].score == 3);
    CHECK(merged[1].id == "a");
    CHECK(merged[2].id == "b");
}

TEST_CASE("malformed hits are refused")
{
    for (const char *text : {"", "{}", "[1]", R"([{"id":1,"score":1}])", R"([{"id":"a","score":"1"}])", R"([{"id":"a","score":1,"fields":[]}])", "[[[["}) {
        CAPTURE(text);
        CHECK(parseHits(text).has_error());
    }
    CHECK(parseHits(R"([{"id":"a","score":1}])").value().front().fields == "{}");
}

TEST_CASE("a part from another snapshot or with malformed hits is never merged")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    sub_response wrong = answerOf(fixture.attempts[0]);
    wrong.readFrom = New;
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, wrong, at(milliseconds(1))));
    sub_response malformed = answerOf(fixture.attempts[1]);
    malformed.hits = "[{]";
    fixture.take(fixture.engine.receive(fixture.attempts[1].instance, malformed, at(milliseconds(1))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::Unknown);
    CHECK(result.coverage.answered == 0);
    CHECK(fixture.numbers.value("wrong_snapshot_answers_total") == 1);
    CHECK(fixture.numbers.value("malformed_hits_total") == 1);
}

TEST_CASE("a refused sub-query is retried on the other replica")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    REQUIRE(fixture.attempts.size() == 1);
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, refusalOf(fixture.attempts[0], refusal_reason::TargetShedding), at(milliseconds(2))));
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempts[0].target != fixture.attempts[1].target);
    fixture.take(fixture.engine.receive(fixture.attempts[1].instance, answerOf(fixture.attempts[1]), at(milliseconds(5))));
    CHECK(fixture.resultOf(1).ended == outcome::Answered);
}

TEST_CASE("a query whose targets all refused before starting is not run, with the reason for each shard")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, refusalOf(fixture.attempts[0], refusal_reason::QueueFull), at(milliseconds(2))));
    fixture.take(fixture.engine.receive(fixture.attempts[1].instance, refusalOf(fixture.attempts[1], refusal_reason::TargetShedding), at(milliseconds(3))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == outcome::NotRun);
    REQUIRE(result.coverage.missing.size() == 1);
    CHECK(result.coverage.missing[0].reason == "target_shedding");
}

TEST_CASE("a request that may have crashed two targets gets no third attempt")
{
    engine_fixture fixture(makeLayout(1, 3));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    for (std::size_t number = 0; number < 2; ++number) {
        sub_response crashed = refusalOf(fixture.attempts.at(number), refusal_reason::TargetFailed);
        crashed.ended = outcome::Unknown;
        fixture.take(fixture.engine.receive(fixture.attempts[number].instance, crashed, at(milliseconds(2))));
    }
    CHECK(fixture.attempts.size() == 2);
    CHECK(fixture.resultOf(1).ended == outcome::Unknown);
}

TEST_CASE("a request that crashed targets of two owners is refused at each front end that heard of it")
{
    engine_fixture fixture(makeLayout(1, 3));
    fixture.reportAll({Old});
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

TEST_CASE("a quarantined request is not retried")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, refusalOf(fixture.attempts[0], refusal_reason::Quarantined), at(milliseconds(2))));
    CHECK(fixture.attempts.size() == 1);
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
}

TEST_CASE("a slow sub-query is hedged after the shard's high percentile and the loser is cancelled")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    warmUp(fixture);
    const milliseconds begin(100000);
    const std::size_t before = fixture.attempts.size();
    fixture.start(1, makeRequest(), begin);
    REQUIRE(fixture.attempts.size() == before + 1);
    fixture.take(fixture.engine.tick(at(begin + milliseconds(9))));
    CHECK(fixture.attempts.size() == before + 1);
    CHECK(fixture.engine.nextWake() == at(begin + milliseconds(10)));

    SUBCASE("the hedge wins")
    {
        fixture.take(fixture.engine.tick(at(begin + milliseconds(10))));
        REQUIRE(fixture.attempts.size() == before + 2);
        const sent_attempt first = fixture.attempts[before];
        const sent_attempt hedge = fixture.attempts[before + 1];
        CHECK(first.target != hedge.target);
        fixture.take(fixture.engine.receive(hedge.instance, answerOf(hedge), at(begin + milliseconds(15))));
        CHECK(fixture.resultOf(1).ended == outcome::Answered);
        CHECK(fixture.cancelled == std::vector<std::uint64_t>{first.id});
        fixture.take(fixture.engine.receive(first.instance, answerOf(first), at(begin + milliseconds(40))));
        CHECK(fixture.numbers.value("late_answers_dropped_total") == 1);
        CHECK(fixture.numbers.value("hedges_won_total") == 1);
    }
    SUBCASE("a cold target gets no hedge")
    {
        for (const target_owner &item : fixture.ownerList) {
            if (item.target != fixture.attempts[before].target) {
                target_report cold = reportOf(item.target, {Old});
                cold.cold = true;
                fixture.report(cold);
            }
        }
        fixture.take(fixture.engine.tick(at(begin + milliseconds(20))));
        CHECK(fixture.attempts.size() == before + 1);
    }
}

TEST_CASE("hedging stops when half of the in-flight limit is used, and queries beyond the limit are not run")
{
    engine_settings settings{"dc1"};
    settings.inFlightLimit = 4;
    engine_fixture fixture(makeLayout(1, 2), 2, settings);
    fixture.reportAll({Old});
    warmUp(fixture);
    const milliseconds begin(100000);
    const std::size_t before = fixture.attempts.size();
    for (std::uint64_t request = 1; request <= 5; ++request) {
        fixture.start(request, makeRequest(), begin);
    }
    CHECK(fixture.resultOf(5).ended == outcome::NotRun);
    CHECK(fixture.resultOf(5).reason == "overloaded");
    fixture.take(fixture.engine.tick(at(begin + milliseconds(50))));
    CHECK(fixture.attempts.size() == before + 4);
}

TEST_CASE("a query that can't start within its deadline is refused at once")
{
    engine_fixture fixture(makeLayout(1, 1));
    target_report busy = reportOf("t0-0", {Old});
    busy.queueLength = 100;
    fixture.report(busy);
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
    CHECK(fixture.resultOf(1).reason == "deadline_too_short");
    CHECK(fixture.attempts.empty());
}

TEST_CASE("at the deadline the query answers with what there is")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Old});
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
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, answerOf(fixture.attempts[0]), at(milliseconds(2))));
    fixture.take(fixture.engine.tick(at(milliseconds(99))));
    CHECK(fixture.results.empty());
    fixture.take(fixture.engine.tick(at(milliseconds(100))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.ended == expected);
    CHECK(result.coverage.answered == 1);
    REQUIRE(result.coverage.missing.size() == 1);
    CHECK(result.coverage.missing[0].shard == fixture.attempts[1].shard);
    CHECK(result.coverage.missing[0].reason == "timeout");
    CHECK(fixture.cancelled == std::vector<std::uint64_t>{fixture.attempts[1].id});
}

TEST_CASE("a partial answer is given at the answer time when the coverage suffices, else at the deadline")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Old});
    query_request request = makeRequest();
    request.answerAfter = milliseconds(20);
    fixture.start(1, request, milliseconds(0));
    fixture.take(fixture.engine.tick(at(milliseconds(20))));
    CHECK(fixture.results.empty());
    fixture.take(fixture.engine.tick(at(milliseconds(100))));
    CHECK(fixture.resultOf(1).ended == outcome::Unknown);

    fixture.start(2, request, milliseconds(200));
    const sent_attempt first = fixture.attempts[2];
    fixture.take(fixture.engine.receive(first.instance, answerOf(first), at(milliseconds(202))));
    fixture.take(fixture.engine.tick(at(milliseconds(220))));
    CHECK(fixture.resultOf(2).ended == outcome::Answered);
    CHECK(fixture.resultOf(2).coverage.answered == 1);
}

TEST_CASE("a query restarts once on a newer snapshot when its own disappears")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, answerOf(fixture.attempts[0]), at(milliseconds(1))));
    const sent_attempt second = fixture.attempts[1];
    for (std::size_t shard = 0; shard < 2; ++shard) {
        fixture.report(reportOf(targetName(shard, 0), {New}));
    }
    sub_response missing = refusalOf(second, refusal_reason::SnapshotMissing);
    missing.report = reportOf(second.target, {New});
    fixture.take(fixture.engine.receive(second.instance, missing, at(milliseconds(2))));
    REQUIRE(fixture.attempts.size() == 4);
    CHECK(fixture.attempts[2].pinned == New);
    for (std::size_t number = 2; number < 4; ++number) {
        fixture.take(fixture.engine.receive(fixture.attempts[number].instance, answerOf(fixture.attempts[number]), at(milliseconds(5))));
    }
    const query_result &result = fixture.resultOf(1);
    CHECK(result.readFrom == New);
    CHECK(result.coverage.answered == 2);
    CHECK(result.hits.size() == 2);
    for (const hit &item : result.hits) {
        CHECK(item.id.ends_with("/8"));
    }
}

TEST_CASE("without a newer snapshot the shard is missing with the reason")
{
    engine_fixture fixture(makeLayout(2, 1));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    fixture.take(fixture.engine.receive(fixture.attempts[0].instance, refusalOf(fixture.attempts[0], refusal_reason::SnapshotMissing), at(milliseconds(1))));
    fixture.take(fixture.engine.receive(fixture.attempts[1].instance, answerOf(fixture.attempts[1]), at(milliseconds(1))));
    const query_result &result = fixture.resultOf(1);
    CHECK(result.coverage.answered == 1);
    CHECK(result.coverage.missing.at(0).reason == "snapshot_missing");
}

TEST_CASE("a lost connection fails over to the replica, and the answer counts once")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    fixture.start(1, makeRequest(), milliseconds(0));
    const sent_attempt first = fixture.attempts[0];
    fixture.take(fixture.engine.connectionLost(first.instance, at(milliseconds(1))));
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempts[1].instance != first.instance);
    fixture.take(fixture.engine.receive(first.instance, answerOf(first), at(milliseconds(2))));
    CHECK(fixture.results.empty());
    fixture.take(fixture.engine.receive(fixture.attempts[1].instance, answerOf(fixture.attempts[1]), at(milliseconds(3))));
    CHECK(fixture.resultOf(1).hits.size() == 1);
}

TEST_CASE("a query without any snapshot is not run")
{
    engine_fixture fixture;
    fixture.start(1, makeRequest(), milliseconds(0));
    CHECK(fixture.resultOf(1).ended == outcome::NotRun);
    CHECK(fixture.resultOf(1).reason == "no_snapshot");
    CHECK(fixture.resultOf(1).coverage.total == 2);
}

TEST_CASE("a slow replica gets no attempts while a fast one is idle")
{
    engine_fixture fixture(makeLayout(1, 2));
    fixture.reportAll({Old});
    std::map<std::string, int> sent;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        const milliseconds begin(static_cast<std::int64_t>(request) * 50);
        const std::size_t before = fixture.attempts.size();
        fixture.start(request, makeRequest(), begin);
        const sent_attempt first = fixture.attempts[before];
        ++sent[first.target];
        const milliseconds latency(first.target == "t0-0" ? 90 : 5);
        fixture.take(fixture.engine.receive(first.instance, answerOf(first), at(begin + latency)));
    }
    // Both start unknown; the estimate of the slow one decays to 5 ms after about 40 s, later than this run.
    CHECK(sent["t0-0"] <= 4);
}

TEST_CASE("hedges and retries never exceed the budget")
{
    token_budget budget(5, 10);
    std::size_t extra = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.earn(1);
        extra += budget.takeForHedge() ? 1 : 0;
        extra += budget.takeForRetry() ? 1 : 0;
    }
    CHECK(extra <= 10 + 50);
    CHECK(extra >= 50);
    token_budget none(0, 10);
    none.earn(1000);
    CHECK_FALSE(none.takeForRetry());
}

TEST_CASE("hedging stops before retries when the budget runs low")
{
    token_budget budget(5, 4);
    int hedges = 0;
    while (budget.takeForHedge()) {
        ++hedges;
    }
    CHECK(hedges == 3);
    CHECK(budget.takeForRetry());
    CHECK_FALSE(budget.takeForRetry());
}

TEST_CASE("the high percentile needs enough samples and follows recent ones")
{
    latency_window window;
    for (int i = 1; i <= 19; ++i) {
        window.add(std::chrono::microseconds(i));
    }
    CHECK_FALSE(window.highPercentile().has_value());
    // Two whole cycles: the window of 128 samples holds each value once.
    for (int i = 0; i < 256; ++i) {
        window.add(std::chrono::microseconds(i % 128 + 1));
    }
    CHECK(window.highPercentile() == std::chrono::microseconds(122));
}

TEST_CASE("commands of one key go to one target, and its owner's answer is the result")
{
    auto layout = makeLayout(1, 4);
    layout->kind = service_kind::Command;
    engine_fixture fixture(layout);
    fixture.reportAll({});
    caller_command command{"s", "key-1", 1000, "{}", std::nullopt};
    for (std::uint64_t request = 1; request <= 4; ++request) {
        fixture.take(fixture.engine.startCommand(request, trace_context::start(), command, at(milliseconds(0))));
    }
    REQUIRE(fixture.commands.size() == 4);
    CHECK(fixture.commands[0].second.target == fixture.commands[3].second.target);
    // The owner's refusal at the end of its time must arrive before the caller's deadline of 100 ms.
    CHECK(fixture.commands[0].second.remainingMicroseconds == 90000);
    const std::string instance = fixture.commands[0].first;
    const auto idOf = [&](std::size_t number) { return fixture.commands[number].second.attemptId; };

    SUBCASE("answered, not run and lost")
    {
        fixture.take(fixture.engine.receive(instance, command_response{idOf(0), outcome::Answered, refusal_reason::None, "7"}, at(milliseconds(1))));
        fixture.take(fixture.engine.receive(instance, command_response{idOf(0), outcome::Answered, refusal_reason::None, "8"}, at(milliseconds(1))));
        fixture.take(fixture.engine.receive(instance, command_response{idOf(1), outcome::NotRun, refusal_reason::KeyExpired, ""}, at(milliseconds(1))));
        fixture.take(fixture.engine.receive("i9", command_response{idOf(2), outcome::Answered, refusal_reason::None, "9"}, at(milliseconds(1))));
        fixture.take(fixture.engine.connectionLost(instance, at(milliseconds(2))));
        CHECK(fixture.commandResults[1].size() == 1);
        CHECK(fixture.commandResults[1][0].result == "7");
        CHECK(fixture.commandResults[2][0].ended == outcome::NotRun);
        CHECK(fixture.commandResults[2][0].reason == "key_expired");
        CHECK(fixture.commandResults[3][0].ended == outcome::Unknown);
        CHECK(fixture.commandResults[4][0].reason == "connection_lost");
        CHECK(fixture.numbers.value("late_answers_dropped_total") == 1);
        CHECK(fixture.numbers.value("crossed_answers_dropped_total") == 1);
    }
    SUBCASE("no answer before the deadline is unknown")
    {
        fixture.take(fixture.engine.tick(at(milliseconds(100))));
        CHECK(fixture.commandResults[1][0].ended == outcome::Unknown);
        CHECK(fixture.commandResults[1][0].reason == "timeout");
    }
    SUBCASE("a message that was never handed to the connection is not run")
    {
        fixture.take(fixture.engine.sendFailed({instance, fixture.commands[0].second}, at(milliseconds(1))));
        CHECK(fixture.commandResults[1][0].ended == outcome::NotRun);
    }
    CHECK(fixture.engine.waitingAttempts() == fixture.engine.inFlight());
}

TEST_CASE("a command without a usable target is not run")
{
    auto layout = makeLayout(1, 2);
    layout->kind = service_kind::Command;
    engine_fixture fixture(layout);
    fixture.take(fixture.engine.startCommand(1, trace_context::start(), {"s", "k", 1, "{}", std::nullopt}, at(milliseconds(0))));
    CHECK(fixture.commandResults[1].at(0).ended == outcome::NotRun);
}

TEST_CASE("few keys move when a command target leaves")
{
    auto layout = makeLayout(1, 5);
    engine_fixture fixture(layout);
    target_view view;
    view.setOwners(fixture.ownerList);
    for (const target_owner &item : fixture.ownerList) {
        view.update(item.instance, reportOf(item.target, {}));
    }
    std::map<std::string, std::string> before;
    std::map<std::string, int> keysOf;
    for (int key = 0; key < 500; ++key) {
        const std::string name = std::to_string(key);
        before[name] = routeCommand(*layout, view, name)->target;
        ++keysOf[before[name]];
    }
    CHECK(keysOf.size() == 5);
    layout->shards[0].replicas[2].usable = false;
    for (const auto &[key, target] : before) {
        const std::string after = routeCommand(*layout, view, key)->target;
        CHECK(after != targetName(0, 2));
        CHECK((after == target || target == targetName(0, 2)));
    }
}

namespace
{

/// Dispatchers and targets of the randomised test: holds what was sent and ends attempts in random ways and random order.
class random_world
{
public:
    random_world()
        : m_shards(*rc::gen::inRange<std::size_t>(1, 5))
        , m_replicas(*rc::gen::inRange<std::size_t>(1, 4))
        , m_instances(*rc::gen::inRange<std::size_t>(1, 4))
        , m_fixture(makeLayout(m_shards, m_replicas), m_instances)
    {
        reportHeld();
    }

    void run()
    {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(400, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
        for (const std::uint32_t step : steps) {
            m_now += milliseconds((step >> 8) % 4);
            act(step % 24, step >> 10);
            learn();
        }
        m_now += milliseconds(1000);
        m_fixture.take(m_fixture.engine.tick(at(m_now)));
        learn();
    }

    void check()
    {
        RC_ASSERT(m_fixture.engine.inFlight() == 0U);
        RC_ASSERT(m_fixture.engine.waitingAttempts() == 0U);
        RC_ASSERT(m_fixture.results.size() == m_started);
        for (const auto &[request, ended] : m_fixture.results) {
            RC_ASSERT(ended.size() == 1U);
            checkResult(request, ended.front());
        }
        checkBudget();
    }

    void addTo(std::map<std::string, std::int64_t> &seen) const
    {
        for (const char *kind : {"retry", "hedge", "restart"}) {
            seen[kind] += m_fixture.numbers.value("attempts_total{kind=\"" + std::string(kind) + "\"}");
        }
        seen["late"] += m_fixture.numbers.value("late_answers_dropped_total");
        seen["crossed"] += m_fixture.numbers.value("crossed_answers_dropped_total");
        seen["denied"] += m_fixture.numbers.value(R"(budget_denied_total{kind="retry"})");
    }

private:
    void act(std::uint32_t kind, std::uint32_t choice)
    {
        switch (kind) {
        case 0:
        case 1:
        case 2:
            ++m_started;
            m_fixture.start(m_started, makeRequest("q" + std::to_string(m_started)), m_now);
            return;
        case 3:
            m_fixture.take(m_fixture.engine.tick(at(m_now)));
            return;
        case 4:
            loseConnection(instanceName(choice % m_instances));
            return;
        case 5:
            failSend(choice);
            return;
        case 6:
            m_newest.indexVersion += choice % 4 == 0 ? 1 : 0;
            reportHeld();
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
        // Mostly recent attempts; old ones give late and duplicate answers.
        const std::size_t recent = std::min<std::size_t>(m_fixture.attempts.size(), kind == 15 ? m_fixture.attempts.size() : 12);
        const sent_attempt attempt = m_fixture.attempts[m_fixture.attempts.size() - 1 - choice % recent];
        if (kind == 7) {
            sub_response crossed = answerOf(attempt);
            crossed.attemptId += choice % 2;
            m_fixture.take(m_fixture.engine.receive("stranger", crossed, at(m_now)));
            return;
        }
        if (kind == 8) {
            refuse(attempt, choice);
            return;
        }
        if (kind == 9) {
            sub_response wrong = answerOf(attempt);
            wrong.readFrom = snapshot{1, 99};
            markStarted(attempt);
            m_fixture.take(m_fixture.engine.receive(attempt.instance, wrong, at(m_now)));
            return;
        }
        markStarted(attempt);
        m_fixture.take(m_fixture.engine.receive(attempt.instance, answerOf(attempt), at(m_now)));
    }

    /// The first event of an attempt decides whether a target may have started it; later ones are duplicates.
    void markStarted(const sent_attempt &attempt)
    {
        if (m_settled.insert(attempt.id).second) {
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
        sub_response refusal = refusalOf(attempt, Reasons[choice % std::size(Reasons)]);
        if (refusal.reason == refusal_reason::TargetFailed || refusal.reason == refusal_reason::Timeout) {
            refusal.ended = outcome::Unknown;
            markStarted(attempt);
        }
        m_settled.insert(attempt.id);
        if (refusal.reason == refusal_reason::SnapshotMissing) {
            m_newest.indexVersion += 2;
            reportHeld();
        }
        m_fixture.take(m_fixture.engine.receive(attempt.instance, refusal, at(m_now)));
    }

    void loseConnection(const std::string &instance)
    {
        for (const sent_attempt &attempt : m_fixture.attempts) {
            if (attempt.instance == instance) {
                markStarted(attempt);
            }
        }
        m_fixture.take(m_fixture.engine.connectionLost(instance, at(m_now)));
        for (const target_owner &item : m_fixture.ownerList) {
            if (item.instance == instance) {
                m_fixture.report(reportOf(item.target, held()));
            }
        }
    }

    /// Targets hold the newest two versions, as during the roll-out of an index.
    std::vector<snapshot> held() const
    {
        return {{m_newest.layoutEpoch, m_newest.indexVersion - 1}, m_newest};
    }

    void reportHeld()
    {
        m_fixture.reportAll(held());
    }

    void failSend(std::uint32_t choice)
    {
        if (!m_fixture.batches.empty()) {
            const send_message unsent = m_fixture.batches[m_fixture.batches.size() - 1 - choice % std::min<std::size_t>(m_fixture.batches.size(), 4)];
            for (const sub_query_item &item : std::get<sub_query_batch>(unsent.content).items) {
                m_settled.insert(item.attemptId);
            }
            m_fixture.take(m_fixture.engine.sendFailed(unsent, at(m_now)));
        }
    }

    /// A query that ends while attempts wait may have run.
    void learn()
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
        const auto count = [&](const char *kind) { return m_fixture.numbers.value("attempts_total{kind=\"" + std::string(kind) + "\"}"); };
        const std::int64_t extra = count("retry") + count("hedge") + m_fixture.numbers.value("restarts_total");
        const double allowed = engine_settings().budgetBurst + static_cast<double>(count("first")) * 0.05;
        RC_ASSERT(static_cast<double>(extra) <= allowed);
    }

    std::size_t m_shards;
    std::size_t m_replicas;
    std::size_t m_instances;
    engine_fixture m_fixture;
    milliseconds m_now{0};
    snapshot m_newest = New;
    std::uint64_t m_started = 0;
    std::set<std::uint64_t> m_settled; ///< Attempts whose first event was seen.
    std::set<std::string> m_mayHaveRun; ///< Texts of queries of which a target may have started an attempt.
};

} // namespace

TEST_CASE("invariants under random orders, losses, duplicates and crossed answers")
{
    std::map<std::string, std::int64_t> seen;
    CHECK(rc::check("each query ends exactly once, its hits are the covered shards of its own text and snapshot, extra attempts stay in the budget", [&] {
        random_world world;
        world.run();
        world.check();
        world.addTo(seen);
    }));
    // Guards against a generator that no longer reaches these cases.
    for (const char *name : {"retry", "hedge", "restart", "late", "crossed", "denied"}) {
        CAPTURE(name);
        CHECK(seen[name] > 0);
    }
}
