#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "node/forward_request.h"
#include "node/gather_request.h"
#include "node/node_test_support.h"
#include "node/target_reachability.h"

#include <fcntl.h>

using namespace balsamhook;
using namespace std::chrono_literals;

int node_fixture::logFile()
{
    static const int file = open("/dev/null", O_WRONLY);
    return file;
}

namespace
{

using steady = std::chrono::steady_clock;

http_message requestMessage(const std::string &method = "GET", const std::string &id = "r1")
{
    http_message message;
    message.method = method;
    message.target = "/a/b?q=1";
    message.fields = {{"Host", "h.example"},
                      {"Request-Id", id},
                      {"Deadline-Ms", "9999"},
                      {"X-Own", "kept"},
                      {"Connection", "keep-alive, X-Hop"},
                      {"X-Hop", "dropped"},
                      {"Expected-Instance", "forged"}};
    return message;
}

/// Runs one request of a caller and keeps its response.
struct simulated_request
{
    simulated_request(node_fixture &fixture, route matched, http_message sent = requestMessage())
        : m_fixture(fixture)
        , m_statistics{latency_window(8ms), unqueued_latency(8ms), matched.objective}
    {
        m_request.configuration = std::make_shared<const routing_configuration>(
            5, std::vector<route>{std::move(matched)}, std::unordered_map<std::string, service_settings>{}, caller_limits{});
        m_request.matched = &m_request.configuration->routes().front();
        m_request.outgoing = std::make_shared<const outgoing_request>(sent);
        m_request.arrivedAt = steady::now();
        m_request.deadline = m_request.arrivedAt + m_request.matched->timeout;
        m_request.responseDeadline = m_request.deadline;
        m_request.objectiveDeadline = m_request.arrivedAt + m_request.matched->objective;
    }

    void start()
    {
        const response_handler done = [this](request_outcome ended, const caller_response &sent) {
            outcome = ended;
            response = sent;
            endedAfter = steady::now() - m_request.arrivedAt;
        };
        if (std::holds_alternative<gather_destination>(m_request.matched->destination)) {
            gather = std::make_shared<gather_request>(m_fixture.context, m_fixture.pool, m_statistics, m_request, done);
            gather->start();
        } else {
            forward = std::make_shared<forward_request>(m_fixture.context, m_fixture.pool, m_statistics, m_request, done);
            forward->start();
        }
    }

    void run()
    {
        start();
        REQUIRE(m_fixture.runUntil([this] { return response.has_value(); }));
    }

    std::string header(const std::string &name) const
    {
        for (const header_field &field : response->fields) {
            if (isSameName(field.name, name)) {
                return field.value;
            }
        }
        return "";
    }

    request_outcome outcome{};
    std::optional<caller_response> response;
    steady::duration endedAfter{};
    std::shared_ptr<gather_request> gather;
    std::shared_ptr<forward_request> forward;

private:
    node_fixture &m_fixture;
    route_statistics m_statistics;
    incoming_request m_request;
};

route gatherRoute(std::size_t shards, double minimumCoverage, std::chrono::milliseconds objective = 200ms)
{
    route created;
    created.name = "g";
    created.repeat = repeat_rule::Idempotent;
    created.timeout = 1500ms;
    created.objective = objective;
    created.maxAttempts = 2;
    gather_destination gather;
    for (std::size_t i = 0; i < shards; ++i) {
        gather.shards.push_back("s" + std::to_string(i));
    }
    gather.recordCount = 2;
    gather.minimumCoverage = minimumCoverage;
    created.destination = gather;
    return created;
}

route forwardRoute(repeat_rule repeat)
{
    route created;
    created.name = "f";
    created.repeat = repeat;
    created.timeout = 600ms;
    created.objective = 200ms;
    created.maxAttempts = 2;
    created.destination = forward_destination{{{"s0", 1}}};
    return created;
}

fake_target::handler respondWithRecords(const std::string &signature, const std::string &body)
{
    return [=](const fake_target::pointer &connection, const http_message &request) { respondSigned(connection, request, signature, body); };
}

fake_target::handler respondWithLimit(const std::string &limit)
{
    return [=](const fake_target::pointer &connection, const http_message &request) {
        caller_response response;
        response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Server-Stamp", "sig0"}, {"Server-Limit", limit}};
        connection->respond(response, false);
    };
}

void hang(const fake_target::pointer &, const http_message &)
{
}

void closeConnection(const fake_target::pointer &connection, const http_message &)
{
    connection->close();
}

const std::string Low(16, 'a');
const std::string Middle(16, 'm');
const std::string High(16, '\xf0');

} // namespace

TEST_CASE("gather_request: merges the greatest records of all parts and lists their signatures (guards against wrong or incomplete responses)")
{
    node_fixture fixture;
    fake_target first(fixture.io, fixture.timers, "t0", respondWithRecords("sig0", Low + High + "rest"));
    fake_target second(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Middle + Low));
    fixture.add(first.registration("s0"));
    fixture.add(second.registration("s1"));
    simulated_request simulated(fixture, gatherRoute(2, 1));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Complete);
    CHECK(simulated.response->body == High + Middle);
    CHECK(simulated.header("Missing-Parts") == "0");
    CHECK(simulated.header("Part-Stamps").find("sig0") != std::string::npos);
    CHECK(simulated.header("Part-Stamps").find("sig1") != std::string::npos);
    REQUIRE(first.received.size() == 1);
    const http_message &seen = first.received[0];
    CHECK(seen.target == "/a/b?q=1");
    CHECK(*seen.find("X-Own") == "kept");
    CHECK(seen.find("X-Hop") == nullptr);
    CHECK(*seen.find("Expected-Instance") == "t0");
    CHECK(*seen.find("Request-Id") == "r1");
    CHECK(std::stoi(*seen.find("Deadline-Ms")) <= 1500);
}

TEST_CASE("record_merge: the greatest of many records are the same as of all sorted, equal ones included (guards against dropping records too early)")
{
    for (const std::size_t count : {std::size_t(0), std::size_t(1), std::size_t(10), std::size_t(700), std::size_t(100000)}) {
        CAPTURE(count);
        std::mt19937 random(7);
        record_merge merge(count);
        std::vector<std::string> all;
        for (int part = 0; part < 50; ++part) {
            std::string body;
            for (int i = 0; i < 100; ++i) {
                std::string record(RecordBytes, static_cast<char>(random() % 256));
                record.back() = static_cast<char>(random() % 8);
                body += record;
                all.push_back(record);
            }
            merge.add(body + "rest");
        }
        std::sort(all.begin(), all.end(), std::greater<>());
        std::string expected;
        for (std::size_t i = 0; i < std::min(count, all.size()); ++i) {
            expected += all[i];
        }
        CHECK(merge.greatest() == expected);
    }
}

TEST_CASE("gather_request: hedges to the other replica when the first is late (guards against one paused target delaying the response)")
{
    node_fixture fixture;
    fake_target slow(fixture.io, fixture.timers, "t0", hang);
    fake_target quick(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Middle));
    fixture.add(slow.registration("s0"));
    registered_target remote = quick.registration("s0");
    remote.dataCentre = "dc2";
    fixture.add(remote);
    simulated_request simulated(fixture, gatherRoute(1, 1));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Complete);
    CHECK(slow.received.size() == 1);
    CHECK(quick.received.size() == 1);
    CHECK(simulated.endedAfter < 200ms);
}

TEST_CASE("gather_request: returns a partial response with the number of missing parts at the objective (guards against late and falsely complete responses)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fake_target quick(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Middle));
    fixture.add(stuck.registration("s0"));
    fixture.add(quick.registration("s1"));
    simulated_request simulated(fixture, gatherRoute(2, 0.5, 120ms));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Partial);
    CHECK(simulated.header("Missing-Parts") == "1");
    CHECK(simulated.endedAfter >= 110ms);
    CHECK(simulated.endedAfter < 400ms);
}

TEST_CASE("gather_request: a response without signature or with a content encoding is not a part (guards against merging invalid parts)")
{
    node_fixture fixture;
    fake_target withoutSignature(fixture.io, fixture.timers, "t0", [](const fake_target::pointer &connection, const http_message &request) {
        caller_response response;
        response.fields.push_back({"Request-Id", *request.find("Request-Id")});
        response.body = High;
        connection->respond(response, false);
    });
    fake_target encoded(fixture.io, fixture.timers, "t1", [](const fake_target::pointer &connection, const http_message &request) {
        caller_response response;
        response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Server-Stamp", "sig"}, {"Content-Encoding", "gzip"}};
        response.body = High;
        connection->respond(response, false);
    });
    fixture.add(withoutSignature.registration("s0"));
    fixture.add(encoded.registration("s0"));
    simulated_request simulated(fixture, gatherRoute(1, 1));
    simulated.run();
    CHECK(simulated.response->status == 502);
}

TEST_CASE("a response whose signature is no single word is not used (one with a comma spoiled the list of signatures of a whole query)")
{
    const std::vector<std::vector<std::string>> oddSignatures{{"sig0, sig9"},
                                                              {"sig0,"},
                                                              {""},
                                                              {"sig0 sig9"},
                                                              {"sig0\t"
                                                               "x"},
                                                              {"sig\xe9"},
                                                              {std::string(1000, 's')},
                                                              {"sig0", "sig0"},
                                                              {"sig0", "sig9"}};
    for (const std::vector<std::string> &signatures : oddSignatures) {
        CAPTURE(signatures.front());
        const auto respond = [&](const fake_target::pointer &connection, const http_message &request) {
            caller_response response;
            response.fields.push_back({"Request-Id", *request.find("Request-Id")});
            for (const std::string &signature : signatures) {
                response.fields.push_back({"Server-Stamp", signature});
            }
            response.body = High;
            connection->respond(response, false);
        };
        node_fixture fixture;
        fake_target odd(fixture.io, fixture.timers, "t0", respond);
        fake_target sound(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Middle));
        fixture.add(odd.registration("s0"));
        fixture.add(sound.registration("s1"));
        simulated_request query(fixture, gatherRoute(2, 0.5));
        query.run();
        CHECK(query.outcome == request_outcome::Partial);
        CHECK(query.header("Part-Stamps") == "sig1");
        node_fixture fixtureOfSingle;
        fake_target oddAlone(fixtureOfSingle.io, fixtureOfSingle.timers, "t0", respond);
        fixtureOfSingle.add(oddAlone.registration("s0"));
        simulated_request single(fixtureOfSingle, forwardRoute(repeat_rule::NonIdempotent));
        single.run();
        CHECK(single.response->status == 502);
    }
}

TEST_CASE(
    "gather_request: refuses immediately when too few shards are reachable, but not after a sub-query ran (guards against false refusals and useless waiting)")
{
    node_fixture fixture;
    fake_target quick(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Middle));
    fixture.add(quick.registration("s1"));
    simulated_request refused(fixture, gatherRoute(4, 0.9));
    refused.run();
    CHECK(refused.response->status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(quick.received.empty());
    CHECK(refused.endedAfter < 50ms);

    fake_target broken(fixture.io, fixture.timers, "t0", closeConnection);
    fixture.add(broken.registration("s0"));
    simulated_request failed(fixture, gatherRoute(2, 1));
    failed.run();
    CHECK_MESSAGE(failed.response->status == 502, "a sub-query may have run, so the query must not be refused");
}

TEST_CASE("gather_request: a query that loses its connection at every target gets few extra sends (guards against one query crashing all targets)")
{
    node_fixture fixture;
    constexpr std::size_t Shards = 8;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (std::size_t i = 0; i < 2 * Shards; ++i) {
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "t" + std::to_string(i), closeConnection));
        fixture.add(targets.back()->registration("s" + std::to_string(i / 2)));
    }
    simulated_request simulated(fixture, gatherRoute(Shards, 0.5));
    simulated.run();
    CHECK(simulated.response->status == 502);
    CHECK(simulated.endedAfter < 150ms);
    std::size_t sends = 0;
    for (const auto &target : targets) {
        sends += target->received.size();
    }
    CHECK(sends >= Shards);
    CHECK(sends <= Shards + 4);
}

TEST_CASE("gather_request: a query whose earlier request crashed targets is tried on one shard first (guards against a second crash in each shard)")
{
    for (const bool isCrashing : {true, false}) {
        node_fixture fixture;
        std::vector<std::unique_ptr<fake_target>> targets;
        for (int i = 0; i < 4; ++i) {
            const auto answer = isCrashing ? closeConnection : respondWithRecords("sig" + std::to_string(i), High);
            targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "t" + std::to_string(i), answer));
            fixture.add(targets.back()->registration("s" + std::to_string(i)));
        }
        const outgoing_request earlier(requestMessage("GET", "r0"));
        for (const std::string target : {"c0", "c1", "c2"}) {
            fixture.context.crashes.onConnectionLost(target, earlier, boot_clock::now());
            fixture.context.crashes.onTargetDown(target, boot_clock::now());
        }
        simulated_request query(fixture, gatherRoute(4, 1));
        query.run();
        std::size_t received = 0;
        for (const auto &target : targets) {
            received += target->received.size();
        }
        CAPTURE(isCrashing);
        CHECK(query.outcome == (isCrashing ? request_outcome::Lost : request_outcome::Complete));
        CHECK(received == (isCrashing ? 1 : 4));
    }
}

TEST_CASE("gather_request: replicas in other data centres run a query whose attempts in one data centre are all lost (guards against failing it too early)")
{
    node_fixture fixture;
    constexpr std::size_t Shards = 8;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (std::size_t i = 0; i < Shards; ++i) {
        const std::string service = "s" + std::to_string(i);
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "local" + std::to_string(i), closeConnection));
        fixture.add(targets.back()->registration(service));
        targets.push_back(
            std::make_unique<fake_target>(fixture.io, fixture.timers, "remote" + std::to_string(i), respondWithRecords("sig" + std::to_string(i), Middle)));
        registered_target remote = targets.back()->registration(service);
        remote.dataCentre = "dc2";
        fixture.add(remote);
    }
    simulated_request simulated(fixture, gatherRoute(Shards, 1));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Complete);
    CHECK(simulated.endedAfter < 150ms);
}

TEST_CASE("gather_request: a shard whose targets each refuse once still delivers its part (guards against partial responses while targets shed load)")
{
    node_fixture fixture;
    const auto refuseOnce = [](const std::string &signature) {
        return [signature, count = std::make_shared<int>(0)](const fake_target::pointer &connection, const http_message &request) {
            if ((*count)++ == 0) {
                respondNotRun(connection, 503);
            } else {
                respondSigned(connection, request, signature, Middle);
            }
        };
    };
    fake_target first(fixture.io, fixture.timers, "t0", refuseOnce("sig0"));
    fake_target second(fixture.io, fixture.timers, "t1", refuseOnce("sig1"));
    fixture.add(first.registration("s0"));
    fixture.add(second.registration("s0"));
    simulated_request simulated(fixture, gatherRoute(1, 1));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Complete);
    CHECK(first.received.size() + second.received.size() == 3);
}

TEST_CASE("Retry-After covers the expected time until targets are available (guards against early retries, of which 326 were refused again after an outage)")
{
    const auto secondsOf = [](const simulated_request &simulated) { return std::stod(simulated.header("Retry-After")); };
    node_fixture fixture;
    simulated_request unknown(fixture, gatherRoute(4, 0.9));
    unknown.run();
    CHECK(secondsOf(unknown) == doctest::Approx(1.0));
    fixture.pool.expectRegistrations(steady::now() + 400ms);
    simulated_request recovered(fixture, gatherRoute(4, 0.9));
    recovered.run();
    CHECK(secondsOf(recovered) > 0.3);
    CHECK(secondsOf(recovered) <= 0.4);
    simulated_request forwarded(fixture, forwardRoute(repeat_rule::Idempotent));
    forwarded.run();
    CHECK(forwarded.response->status == 503);
    CHECK(secondsOf(forwarded) > 0.2);
    CHECK(secondsOf(forwarded) <= 0.4);

    // Three of four shards are enough, so the shard with the longest wait doesn't count.
    fake_target target(fixture.io, fixture.timers, "t", respondWithRecords("sig", Middle));
    for (int i = 0; i < 3; ++i) {
        registered_target registration = target.registration("s" + std::to_string(i));
        registration.id = "t" + std::to_string(i);
        fixture.add(registration);
        for (int failures = 0; failures <= i; ++failures) {
            fixture.pool.usable(registration.service).front()->health.onUnreachable(steady::now() + failures * 1ms);
        }
    }
    fixture.pool.expectRegistrations(steady::now() + 5s);
    simulated_request backedOff(fixture, gatherRoute(4, 0.75, 50ms));
    backedOff.run();
    CHECK(backedOff.response->status == 503);
    CHECK(secondsOf(backedOff) < 0.5);
}

TEST_CASE("gather_request: cancels all attempts when the caller leaves (guards against useless load on targets)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fixture.add(stuck.registration("s0"));
    simulated_request simulated(fixture, gatherRoute(1, 1));
    simulated.start();
    REQUIRE(fixture.runUntil([&] { return stuck.received.size() == 1; }));
    simulated.gather->cancel();
    CHECK(fixture.runUntil([&] { return stuck.disconnects == 1; }));
    CHECK_FALSE(simulated.response.has_value());
}

TEST_CASE("forward_request: retries after a lost response only if the request is idempotent (guards against running a request twice)")
{
    for (const repeat_rule repeat : {repeat_rule::Idempotent, repeat_rule::NonIdempotent}) {
        node_fixture fixture;
        fake_target broken(fixture.io, fixture.timers, "t0", closeConnection);
        fake_target healthy(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", "body"));
        fixture.add(broken.registration("s0"));
        registered_target remote = healthy.registration("s0");
        remote.dataCentre = "dc2";
        fixture.add(remote);
        simulated_request simulated(fixture, forwardRoute(repeat), requestMessage("POST"));
        simulated.run();
        const bool isIdempotent = repeat == repeat_rule::Idempotent;
        CHECK(broken.received.size() == 1);
        CHECK(healthy.received.size() == (isIdempotent ? 1 : 0));
        CHECK(simulated.response->status == (isIdempotent ? 200 : 502));
    }
}

TEST_CASE("forward_request: a target that crashes is noticed without further requests to it (guards against passing a crashing request on again and again)")
{
    node_fixture fixture;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (int i = 0; i < 4; ++i) {
        const auto number = static_cast<std::size_t>(i);
        targets.push_back(std::make_unique<fake_target>(
            fixture.io, fixture.timers, "t" + std::to_string(i), [&targets, number](const fake_target::pointer &, const http_message &) {
                targets[number]->crash();
            }));
        fixture.add(targets.back()->registration("s0"));
    }
    for (const std::string id : {"r1", "r2"}) {
        simulated_request request(fixture, forwardRoute(repeat_rule::Idempotent), requestMessage("GET", id));
        request.run();
        CHECK(request.outcome == request_outcome::Lost);
    }
    const outgoing_request again(requestMessage());
    CHECK(fixture.runUntil([&] { return fixture.context.crashes.refusedFor(again, boot_clock::now()).count() > 0; }, 2s));
}

TEST_CASE("forward_request: a target that only resets connections is not taken for a crashed one (guards against refusing requests after resets)")
{
    node_fixture fixture;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (int i = 0; i < 4; ++i) {
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "t" + std::to_string(i), closeConnection));
        fixture.add(targets.back()->registration("s0"));
    }
    for (const std::string id : {"r1", "r2"}) {
        simulated_request request(fixture, forwardRoute(repeat_rule::Idempotent), requestMessage("GET", id));
        request.run();
    }
    fixture.runFor(300ms);
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(fixture.context.crashes.hasLosses("t" + std::to_string(i)));
    }
    CHECK(fixture.context.crashes.recentCrashes(boot_clock::now()).empty());
}

TEST_CASE("forward_request: hedges leave a place for the next request (short requests were refused as full while hedges of long ones held the last places)")
{
    node_fixture fixture;
    const auto respondUnlessLong = [](const fake_target::pointer &connection, const http_message &request) {
        if (request.find("Request-Id")->substr(0, 4) != "long") {
            respondSigned(connection, request, "sig", "body");
        }
    };
    fake_target first(fixture.io, fixture.timers, "t0", respondUnlessLong);
    fake_target second(fixture.io, fixture.timers, "t1", respondUnlessLong);
    fixture.add(first.registration("s0"));
    fixture.add(second.registration("s0"));
    // Each target gets four connections at most.
    constexpr int LongRequests = 5;
    std::vector<std::unique_ptr<simulated_request>> running;
    running.reserve(LongRequests);
    for (int i = 0; i < LongRequests; ++i) {
        running.push_back(
            std::make_unique<simulated_request>(fixture, forwardRoute(repeat_rule::Idempotent), requestMessage("GET", "long" + std::to_string(i))));
        running.back()->start();
    }
    fixture.runFor(250ms);
    CHECK(first.received.size() + second.received.size() > LongRequests);
    simulated_request next(fixture, forwardRoute(repeat_rule::Idempotent));
    next.run();
    CHECK(next.outcome == request_outcome::Complete);
}

TEST_CASE("forward_request: retries on another target when one did not run the request (guards against refusals while other targets are free)")
{
    for (const unsigned status : {503U, 421U, 429U}) {
        node_fixture fixture;
        fake_target full(
            fixture.io, fixture.timers, "t0", [status](const fake_target::pointer &connection, const http_message &) { respondNotRun(connection, status); });
        fake_target healthy(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", "body"));
        fixture.add(full.registration("s0"));
        registered_target remote = healthy.registration("s0");
        remote.dataCentre = "dc2";
        fixture.add(remote);
        simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent), requestMessage("POST"));
        simulated.run();
        CHECK(simulated.response->status == 200);
        CHECK(simulated.response->body == "body");
        CHECK(simulated.header("Server-Stamp") == "sig1");
    }
}

TEST_CASE("forward_request: a late copy of a refusal is not the answer to the next send (review/1: a request that must not be repeated ran twice)")
{
    node_fixture fixture;
    int sends = 0;
    int runs = 0;
    fake_target::pointer refused;
    // Refuses the first send and, where the response to the second is expected on that connection, writes the refusal once more before running it.
    fake_target faulty(fixture.io, fixture.timers, "t0", [&](const fake_target::pointer &connection, const http_message &request) {
        ++sends;
        caller_response refusal;
        refusal.status = 503;
        refusal.fields = {{"Request-Id", *request.find("Request-Id")}, {"Not-Executed", "1"}};
        if (sends == 1) {
            refused = connection;
            connection->respond(refusal, false);
            return;
        }
        ++runs;
        if (connection == refused) {
            connection->respond(refusal, false);
            return;
        }
        respondSigned(connection, request, "sig0", "done");
    });
    fixture.add(faulty.registration("s0"));
    simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent));
    simulated.run();
    CHECK(simulated.response->status == 200);
    CHECK(runs == 1);
}

TEST_CASE("forward_request: refuses when no target ran the request (guards against false refusals and useless waiting)")
{
    node_fixture fixture;
    simulated_request none(fixture, forwardRoute(repeat_rule::NonIdempotent));
    none.run();
    CHECK(none.response->status == 503);
    CHECK_FALSE(none.header("Retry-After").empty());
    CHECK(none.endedAfter < 200ms);

    fake_target full(fixture.io, fixture.timers, "t0", [](const fake_target::pointer &connection, const http_message &) { respondNotRun(connection, 503); });
    fixture.add(full.registration("s0"));
    simulated_request refused(fixture, forwardRoute(repeat_rule::NonIdempotent));
    refused.run();
    CHECK(refused.response->status == 503);
}

TEST_CASE("forward_request: forwards a target's failure response unchanged (guards against hiding the cause of a failure)")
{
    node_fixture fixture;
    fake_target failing(fixture.io, fixture.timers, "t0", [](const fake_target::pointer &connection, const http_message &request) {
        caller_response response;
        response.status = 500;
        response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Server-Stamp", "sig0"}};
        response.body = "why";
        connection->respond(response, false);
    });
    fixture.add(failing.registration("s0"));
    simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent));
    simulated.run();
    CHECK(simulated.response->status == 500);
    CHECK(simulated.response->body == "why");
    CHECK(simulated.header("Server-Stamp") == "sig0");
}

TEST_CASE("forward_request: ends at the route's timeout, which the target gets as deadline (guards against abandoned requests occupying a target's slots)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fixture.add(stuck.registration("s0"));
    simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent));
    simulated.run();
    CHECK(simulated.response->status == 504);
    CHECK(simulated.endedAfter >= 590ms);
    CHECK(simulated.endedAfter < 850ms);
    REQUIRE(stuck.received.size() == 1);
    CHECK(std::stoi(*stuck.received[0].find("Deadline-Ms")) <= 600);
}

TEST_CASE("target_pool: the registration of a target that expires after a loss is evidence of a crash (guards against evidence that is dropped at removal)")
{
    node_fixture fixture;
    const auto loseAndRemove = [&](const std::string &id, target_condition condition) {
        registered_target target;
        target.id = id;
        target.service = "s0";
        target.condition = condition;
        fixture.add(target);
        fixture.context.crashes.onConnectionLost(id, outgoing_request(requestMessage()), boot_clock::now() - 4s);
        fixture.pool.remove(id);
    };
    loseAndRemove("t0", target_condition::Draining);
    CHECK_MESSAGE(fixture.context.crashes.recentCrashes(boot_clock::now()).empty(), "a target that left as announced");
    loseAndRemove("t1", target_condition::Ready);
    const auto crashes = fixture.context.crashes.recentCrashes(boot_clock::now());
    REQUIRE(crashes.size() == 1);
    CHECK(crashes[0].target == "t1");
}

TEST_CASE("forward_request: a request above a target's limit goes to another target (guards against more requests than a target in need can take)")
{
    node_fixture fixture;
    fake_target limited(fixture.io, fixture.timers, "t0", respondWithLimit("2"));
    fake_target other(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", "other"));
    fixture.add(limited.registration("s0"));
    fixture.add(other.registration("s0"));
    fixture.context.limits.onNamed("t0", 2, steady::now());
    for (int i = 0; i < 10; ++i) {
        simulated_request request(fixture, forwardRoute(repeat_rule::Idempotent));
        request.run();
        CHECK(request.outcome == request_outcome::Complete);
    }
    CHECK(limited.received.size() <= 1);
    CHECK(other.received.size() >= 9);
}

TEST_CASE("forward_request: a request above the limits of all targets is refused at once with the time until there is room (guards against false Retry-After)")
{
    node_fixture fixture;
    fake_target limited(fixture.io, fixture.timers, "t0", respondWithLimit("2"));
    fixture.add(limited.registration("s0"));
    simulated_request first(fixture, forwardRoute(repeat_rule::Idempotent));
    first.run();
    CHECK(first.outcome == request_outcome::Complete);
    CHECK_MESSAGE(fixture.context.limits.isLimited("t0"), "the response names the limit");
    double earlier = 0;
    for (int i = 0; i < 3; ++i) {
        simulated_request refused(fixture, forwardRoute(repeat_rule::Idempotent));
        refused.run();
        CHECK(refused.outcome == request_outcome::NotRunLimited);
        CHECK(refused.response->status == 503);
        CHECK(refused.endedAfter < 20ms);
        const double retryAfter = std::stod(refused.header("Retry-After"));
        CHECK(retryAfter > 0.3);
        CHECK_MESSAGE(retryAfter > earlier + 0.3, "each refused request gets a place of its own");
        earlier = retryAfter;
    }
    CHECK(limited.received.size() == 1);
}

TEST_CASE("a target that announces in a response that it leaves gets no further request (it got 1,848 while its registration stayed ready)")
{
    for (const unsigned status : {200U, 500U, 503U}) {
        CAPTURE(status);
        node_fixture fixture;
        fake_target leaving(fixture.io, fixture.timers, "t0", [status](const fake_target::pointer &connection, const http_message &request) {
            caller_response response;
            response.status = status;
            response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Server-Stamp", "sig0"}, {"Server-Leaving", "1"}};
            connection->respond(response, false);
        });
        fixture.add(leaving.registration("s0"));
        for (int i = 0; i < 3; ++i) {
            simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent));
            simulated.run();
        }
        CHECK(leaving.received.size() == 1);
        fixture.pool.remove("t0");
        fixture.add(leaving.registration("s0"));
        simulated_request afterLapse(fixture, forwardRoute(repeat_rule::NonIdempotent));
        afterLapse.run();
        CHECK(afterLapse.response->status == 503);
        CHECK(leaving.received.size() == 1);
        registered_target restarted = leaving.registration("s0");
        restarted.startedAt = 1;
        target_catalogue::record record;
        record.target = restarted;
        fixture.pool.update(record, true);
        simulated_request afterRestart(fixture, forwardRoute(repeat_rule::NonIdempotent));
        afterRestart.run();
        CHECK(leaving.received.size() == 2);
    }
}

TEST_CASE("a target that refuses with Retry-After gets no request for that time (one that asked for 3 s got 1,253 too many)")
{
    node_fixture fixture;
    bool isPausing = true;
    fake_target pausing(fixture.io, fixture.timers, "t0", [&](const fake_target::pointer &connection, const http_message &request) {
        if (!isPausing) {
            respondSigned(connection, request, "sig0", "done");
            return;
        }
        caller_response response;
        response.status = 503;
        response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Not-Executed", "1"}, {"Retry-After", "0.5"}};
        connection->respond(response, false);
    });
    fixture.add(pausing.registration("s0"));
    const auto pausedAt = steady::now();
    for (int i = 0; i < 5; ++i) {
        simulated_request simulated(fixture, forwardRoute(i % 2 == 0 ? repeat_rule::Idempotent : repeat_rule::NonIdempotent));
        simulated.run();
        CHECK(simulated.response->status == 503);
        CHECK(simulated.endedAfter < 100ms);
        CHECK(std::stod(simulated.header("Retry-After")) > 0.1);
    }
    CHECK(pausing.received.size() == 1);
    isPausing = false;
    fixture.runFor(std::chrono::duration_cast<std::chrono::milliseconds>(pausedAt + 550ms - steady::now()));
    simulated_request later(fixture, forwardRoute(repeat_rule::NonIdempotent));
    later.run();
    CHECK(later.response->status == 200);
}

TEST_CASE("gather_request: shards whose targets leave or pause use their other targets (guards against partial responses while others are free)")
{
    node_fixture fixture;
    const auto respondWith = [](const char *name, const char *value, unsigned status) {
        return [=](const fake_target::pointer &connection, const http_message &request) {
            caller_response response;
            response.status = status;
            response.fields = {{"Request-Id", *request.find("Request-Id")}, {"Server-Stamp", "sig"}, {name, value}};
            if (status != 200) {
                response.fields.push_back({"Not-Executed", "1"});
            }
            response.body = Low;
            connection->respond(response, false);
        };
    };
    fake_target leaving(fixture.io, fixture.timers, "a0", respondWith("Server-Leaving", "1", 200));
    fake_target other0(fixture.io, fixture.timers, "a1", respondWithRecords("sig1", Low));
    fake_target pausing(fixture.io, fixture.timers, "b0", respondWith("Retry-After", "30", 503));
    fake_target other1(fixture.io, fixture.timers, "b1", respondWithRecords("sig2", Low));
    fixture.add(leaving.registration("s0"));
    fixture.add(other0.registration("s0"));
    fixture.add(pausing.registration("s1"));
    fixture.add(other1.registration("s1"));
    for (int i = 0; i < 20; ++i) {
        simulated_request simulated(fixture, gatherRoute(2, 1.0));
        simulated.run();
        CHECK(simulated.response->status == 200);
        CHECK(simulated.header("Missing-Parts") == "0");
    }
    CHECK(leaving.received.size() <= 1);
    CHECK(pausing.received.size() <= 1);
}

TEST_CASE("gather_request: a query is refused at once when too few shards are within their limits (guards against queries that use up limits in vain)")
{
    node_fixture fixture;
    fake_target free(fixture.io, fixture.timers, "t0", respondWithRecords("sig0", High));
    fake_target limited(fixture.io, fixture.timers, "t1", respondWithRecords("sig1", Low));
    fixture.add(free.registration("s0"));
    fixture.add(limited.registration("s1"));
    fixture.context.limits.onNamed("t1", 0.5, steady::now());
    simulated_request refused(fixture, gatherRoute(2, 1));
    refused.run();
    CHECK(refused.outcome == request_outcome::NotRunCoverage);
    CHECK(std::stod(refused.header("Retry-After")) > 1.5);
    CHECK(free.received.empty());
    simulated_request partial(fixture, gatherRoute(2, 0.5));
    partial.run();
    CHECK(partial.outcome == request_outcome::Partial);
    CHECK(limited.received.empty());
}

TEST_CASE("target_pool: excludes draining targets and evacuated data centres (guards against new requests to targets that shut down)")
{
    node_fixture fixture;
    fake_target leaving(fixture.io, fixture.timers, "t0", respondWithRecords("sig0", "body"));
    registered_target draining = leaving.registration("s0");
    draining.condition = target_condition::Draining;
    fixture.add(draining);
    CHECK(fixture.pool.usable("s0").empty());
    fixture.add(leaving.registration("s0"));
    CHECK(fixture.pool.usable("s0").size() == 1);
    fixture.pool.setEvacuated({"dc1"});
    CHECK(fixture.pool.usable("s0").empty());
    fixture.pool.setEvacuated({});
    fixture.pool.remove("t0");
    CHECK(fixture.pool.usable("s0").empty());
    CHECK(fixture.pool.size() == 0);
}

TEST_CASE("target_pool: a cold target gets requests from its first sender only, at a limited rate (guards against crashing a target that has just started)")
{
    node_fixture fixture;
    fake_target target(fixture.io, fixture.timers, "t0", respondWithRecords("sig0", Middle));
    registered_target cold = target.registration("s0");
    cold.warmupLeft = 3000ms;
    target_catalogue::record record;
    record.target = cold;
    record.updatedAt = steady::now();
    fixture.pool.update(record, false);
    service_settings rateLimited;
    rateLimited.warmupRequestsPerSecond = 10;
    const auto configuration = std::make_shared<const routing_configuration>(
        1, std::vector<route>{}, std::unordered_map<std::string, service_settings>{{"s0", rateLimited}}, caller_limits{});
    fixture.pool.setLimits(configuration, 2);
    const auto link = fixture.pool.usable("s0").front();
    fixture.pool.setSenders({"i1"}, true);
    CHECK_FALSE(fixture.pool.view(*link, steady::now()).hasCapacity);
    fixture.pool.setSenders({"i1"}, false);
    CHECK(fixture.pool.view(*link, steady::now()).hasCapacity);
    simulated_request simulated(fixture, gatherRoute(1, 1));
    simulated.run();
    CHECK(simulated.outcome == request_outcome::Complete);
    CHECK_FALSE(fixture.pool.view(*link, steady::now()).hasCapacity);
    CHECK(fixture.pool.view(*link, steady::now() + 200ms).hasCapacity);
    CHECK_MESSAGE(fixture.pool.view(*link, steady::now() + 4s).hasCapacity, "warm");
    std::set<std::string> many;
    for (int i = 0; i < 40; ++i) {
        many.insert("s" + std::to_string(i));
    }
    fixture.pool.setSenders(many, false);
    CHECK(fixture.pool.view(*link, steady::now() + 200ms).hasCapacity == isFirstSender("i1", many, "t0"));
}

TEST_CASE(
    "target_reachability: an unreachable data centre gets no requests until one of its targets accepts a connection (guards against requests waiting for it)")
{
    node_fixture fixture;
    // A full accept queue makes further connects hang, like those across a network partition.
    boost::asio::ip::tcp::acceptor full(fixture.io);
    full.open(boost::asio::ip::tcp::v4());
    full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.emplace_back(fixture.io);
        waiting.back().async_connect(full.local_endpoint(), [](const boost::system::error_code &) {});
    }
    fixture.runFor(50ms);
    fake_target healthy(fixture.io, fixture.timers, "t0", respondWithRecords("sig", Middle));
    const route served = gatherRoute(3, 1);
    const routing_configuration configuration(1, {served}, {}, {});
    for (int i = 0; i < 3; ++i) {
        registered_target target = healthy.registration("s" + std::to_string(i));
        target.id = "t" + std::to_string(i);
        target.dataCentre = "dc2";
        target.address.port = full.local_endpoint().port();
        fixture.add(target);
        fixture.pool.usable(target.service).front()->health.onSent(steady::now() - 500ms);
    }
    target_reachability reachability(fixture.context, fixture.pool);
    reachability.update(&configuration, steady::now());
    CHECK_FALSE(reachability.isImpaired());
    reachability.update(&configuration, steady::now());
    CHECK(reachability.isImpaired());
    simulated_request refused(fixture, gatherRoute(3, 1));
    refused.run();
    CHECK(refused.response->status == 503);
    CHECK(refused.endedAfter < 50ms);
    fixture.runFor(300ms);
    CHECK(reachability.isImpaired());

    // The network partition ends: the targets get the address of a listener that responds.
    for (int i = 0; i < 3; ++i) {
        registered_target target = healthy.registration("s" + std::to_string(i));
        target.id = "t" + std::to_string(i);
        target.dataCentre = "dc2";
        fixture.add(target);
    }
    const bool hasRecovered = fixture.runUntil([&] {
        reachability.update(&configuration, steady::now());
        return !reachability.isImpaired();
    });
    CHECK(hasRecovered);
    simulated_request succeeded(fixture, gatherRoute(3, 1));
    succeeded.run();
    CHECK(succeeded.response->status == 200);
}

TEST_CASE("target_reachability: only a response shows that a data centre is reachable, not a connection end (guards against detecting a false recovery)")
{
    for (const bool hasResponse : {false, true}) {
        node_fixture fixture;
        fake_target::pointer waiting;
        http_message received;
        fake_target target(fixture.io, fixture.timers, "t0", [&](const fake_target::pointer &connection, const http_message &request) {
            waiting = connection;
            received = request;
        });
        fixture.add(target.registration("s0"));
        simulated_request simulated(fixture, forwardRoute(repeat_rule::NonIdempotent));
        simulated.start();
        REQUIRE(fixture.runUntil([&] { return waiting != nullptr; }));
        for (int i = 0; i < 2; ++i) {
            fixture.context.dataCentres.update("dc1", data_centre_monitor::MinOverdueTargets, steady::now() + 1s);
        }
        REQUIRE(fixture.context.dataCentres.isUnreachable("dc1"));
        if (hasResponse) {
            respondSigned(waiting, received, "sig", "body");
        } else {
            waiting->close();
        }
        REQUIRE(fixture.runUntil([&] { return simulated.response.has_value(); }));
        CHECK(fixture.context.dataCentres.isUnreachable("dc1") == !hasResponse);
    }
}

TEST_CASE("target_pool: reuses connections and shares the configured limit among the senders (guards against resets at the target's connection limit)")
{
    node_fixture fixture;
    fake_target target(fixture.io, fixture.timers, "t0", respondWithRecords("sig0", Middle));
    fixture.add(target.registration("s0"));
    service_settings limited;
    limited.maxConnections = 30;
    const auto configuration = std::make_shared<const routing_configuration>(
        1, std::vector<route>{}, std::unordered_map<std::string, service_settings>{{"s0", limited}}, caller_limits{});
    fixture.pool.setLimits(configuration, 6);
    for (int i = 0; i < 5; ++i) {
        simulated_request simulated(fixture, gatherRoute(1, 1));
        simulated.run();
        CHECK(simulated.outcome == request_outcome::Complete);
    }
    CHECK(fixture.metrics.value("target_connections_opened_total") == 1);
    const auto link = fixture.pool.usable("s0").front();
    link->connections = 2;
    link->idle.clear();
    CHECK_FALSE(fixture.pool.view(*link, steady::now()).hasCapacity);
    link->connections = 1;
    CHECK(fixture.pool.view(*link, steady::now()).hasCapacity);
}
