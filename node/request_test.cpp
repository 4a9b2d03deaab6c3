#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "node/forward_request.h"
#include "node/gather_request.h"
#include "node/node_test_support.h"
#include "node/target_reach.h"

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

http_message requestMessage(const std::string &method = "GET")
{
    http_message made;
    made.method = method;
    made.target = "/a/b?q=1";
    made.fields = {{"Host", "h.example"},
                   {"Request-Id", "r1"},
                   {"Deadline-Ms", "9999"},
                   {"X-Own", "kept"},
                   {"Connection", "keep-alive, X-Hop"},
                   {"X-Hop", "dropped"},
                   {"Expected-Instance", "forged"}};
    return made;
}

/// One request with its answer.
struct played_request
{
    played_request(node_fixture &fixture, route matched, http_message sent = requestMessage())
        : m_fixture(fixture)
        , m_statistics{latency_window(8ms)}
    {
        m_request.configuration = std::make_shared<const routing_configuration>(
            5, std::vector<route>{std::move(matched)}, std::unordered_map<std::string, service_settings>{}, caller_limits{});
        m_request.matched = &m_request.configuration->routes().front();
        m_request.outgoing = std::make_shared<const outgoing_request>(sent);
        m_request.arrivedAt = steady::now();
        m_request.deadline = m_request.arrivedAt + m_request.matched->timeout;
        m_request.finalAt = m_request.deadline;
        m_request.objectiveAt = m_request.arrivedAt + m_request.matched->objective;
    }

    void start()
    {
        const answer_handler done = [this](request_outcome ended, const caller_response &response) {
            outcome = ended;
            answer = response;
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

    void play()
    {
        start();
        REQUIRE(m_fixture.runUntil([this] { return answer.has_value(); }));
    }

    std::string header(const std::string &name) const
    {
        for (const header_field &field : answer->fields) {
            if (isSameName(field.name, name)) {
                return field.value;
            }
        }
        return "";
    }

    request_outcome outcome{};
    std::optional<caller_response> answer;
    steady::duration endedAfter{};
    std::shared_ptr<gather_request> gather;
    std::shared_ptr<forward_request> forward;

private:
    node_fixture &m_fixture;
    route_statistics m_statistics;
    arrived_request m_request;
};

route gatherRoute(std::size_t shards, double minimumCoverage, std::chrono::milliseconds objective = 200ms)
{
    route made;
    made.name = "g";
    made.repeat = repeat_rule::Idempotent;
    made.timeout = 1500ms;
    made.objective = objective;
    made.maxAttempts = 2;
    gather_destination gather;
    for (std::size_t i = 0; i < shards; ++i) {
        gather.shards.push_back("s" + std::to_string(i));
    }
    gather.recordCount = 2;
    gather.minimumCoverage = minimumCoverage;
    made.destination = gather;
    return made;
}

route forwardRoute(repeat_rule repeat)
{
    route made;
    made.name = "f";
    made.repeat = repeat;
    made.timeout = 600ms;
    made.objective = 200ms;
    made.maxAttempts = 2;
    made.destination = forward_destination{{{"s0", 1}}};
    return made;
}

fake_target::handler records(const std::string &signature, const std::string &body)
{
    return [=](const fake_target::pointer &connection, const http_message &request) { answerSigned(connection, request, signature, body); };
}

void hang(const fake_target::pointer &, const http_message &)
{
}

void breakOff(const fake_target::pointer &connection, const http_message &)
{
    connection->close();
}

const std::string Low(16, 'a');
const std::string Middle(16, 'm');
const std::string High(16, '\xf0');

} // namespace

TEST_CASE("gather_request: merges the greatest records of all parts and names their signatures (guards against wrong or incomplete answers)")
{
    node_fixture fixture;
    fake_target first(fixture.io, fixture.timers, "t0", records("sig0", Low + High + "rest"));
    fake_target second(fixture.io, fixture.timers, "t1", records("sig1", Middle + Low));
    fixture.add(first.registration("s0"));
    fixture.add(second.registration("s1"));
    played_request played(fixture, gatherRoute(2, 1));
    played.play();
    CHECK(played.outcome == request_outcome::Complete);
    CHECK(played.answer->body == High + Middle);
    CHECK(played.header("Missing-Parts") == "0");
    CHECK(played.header("Part-Stamps").find("sig0") != std::string::npos);
    CHECK(played.header("Part-Stamps").find("sig1") != std::string::npos);
    REQUIRE(first.received.size() == 1);
    const http_message &seen = first.received[0];
    CHECK(seen.target == "/a/b?q=1");
    CHECK(*seen.find("X-Own") == "kept");
    CHECK(seen.find("X-Hop") == nullptr);
    CHECK(*seen.find("Expected-Instance") == "t0");
    CHECK(*seen.find("Request-Id") == "r1");
    CHECK(std::stoi(*seen.find("Deadline-Ms")) <= 1500);
}

TEST_CASE("gather_request: asks the other replica when the first is late (guards against one paused target delaying the answer)")
{
    node_fixture fixture;
    fake_target slow(fixture.io, fixture.timers, "t0", hang);
    fake_target quick(fixture.io, fixture.timers, "t1", records("sig1", Middle));
    fixture.add(slow.registration("s0"));
    registered_target remote = quick.registration("s0");
    remote.dataCentre = "dc2";
    fixture.add(remote);
    played_request played(fixture, gatherRoute(1, 1));
    played.play();
    CHECK(played.outcome == request_outcome::Complete);
    CHECK(slow.received.size() == 1);
    CHECK(quick.received.size() == 1);
    CHECK(played.endedAfter < 200ms);
}

TEST_CASE("gather_request: answers with what is in when the objective is over and says what is missing (guards against late and falsely complete answers)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fake_target quick(fixture.io, fixture.timers, "t1", records("sig1", Middle));
    fixture.add(stuck.registration("s0"));
    fixture.add(quick.registration("s1"));
    played_request played(fixture, gatherRoute(2, 0.5, 120ms));
    played.play();
    CHECK(played.outcome == request_outcome::Partial);
    CHECK(played.header("Missing-Parts") == "1");
    CHECK(played.endedAfter >= 110ms);
    CHECK(played.endedAfter < 400ms);
}

TEST_CASE("gather_request: an answer without signature, of another request, or encoded is no part (guards against foreign parts)")
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
    played_request played(fixture, gatherRoute(1, 1));
    played.play();
    CHECK(played.answer->status == 502);
}

TEST_CASE("gather_request: refuses at once when too few shards can be reached, and only then (guards against false refusals and useless waiting)")
{
    node_fixture fixture;
    fake_target quick(fixture.io, fixture.timers, "t1", records("sig1", Middle));
    fixture.add(quick.registration("s1"));
    played_request refused(fixture, gatherRoute(4, 0.9));
    refused.play();
    CHECK(refused.answer->status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(quick.received.empty());
    CHECK(refused.endedAfter < 50ms);

    fake_target broken(fixture.io, fixture.timers, "t0", breakOff);
    fixture.add(broken.registration("s0"));
    played_request failed(fixture, gatherRoute(2, 1));
    failed.play();
    CHECK_MESSAGE(failed.answer->status == 502, "a part ran, so a refusal would not be true");
}

TEST_CASE("gather_request: a query that every target breaks off reaches few second replicas (guards against one query that crashes all targets)")
{
    node_fixture fixture;
    constexpr std::size_t Shards = 8;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (std::size_t i = 0; i < 2 * Shards; ++i) {
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "t" + std::to_string(i), breakOff));
        fixture.add(targets.back()->registration("s" + std::to_string(i / 2)));
    }
    played_request played(fixture, gatherRoute(Shards, 0.5));
    played.play();
    CHECK(played.answer->status == 502);
    CHECK(played.endedAfter < 150ms);
    std::size_t reached = 0;
    for (const auto &target : targets) {
        reached += target->received.size();
    }
    CHECK(reached >= Shards);
    CHECK(reached <= Shards + 4);
}

TEST_CASE("gather_request: when all targets of one data centre crash under a query the others answer it (guards against giving up an answerable query)")
{
    node_fixture fixture;
    constexpr std::size_t Shards = 8;
    std::vector<std::unique_ptr<fake_target>> targets;
    for (std::size_t i = 0; i < Shards; ++i) {
        const std::string service = "s" + std::to_string(i);
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "local" + std::to_string(i), breakOff));
        fixture.add(targets.back()->registration(service));
        targets.push_back(std::make_unique<fake_target>(fixture.io, fixture.timers, "remote" + std::to_string(i), records("sig" + std::to_string(i), Middle)));
        registered_target remote = targets.back()->registration(service);
        remote.dataCentre = "dc2";
        fixture.add(remote);
    }
    played_request played(fixture, gatherRoute(Shards, 1));
    played.play();
    CHECK(played.outcome == request_outcome::Complete);
    CHECK(played.endedAfter < 150ms);
}

TEST_CASE("gather_request: a shard whose targets refuse now and then brings its part all the same (guards against short answers while targets shed)")
{
    node_fixture fixture;
    const auto refuseOnce = [](const std::string &signature) {
        return [signature, count = std::make_shared<int>(0)](const fake_target::pointer &connection, const http_message &request) {
            if ((*count)++ == 0) {
                answerNotRun(connection, 503);
            } else {
                answerSigned(connection, request, signature, Middle);
            }
        };
    };
    fake_target first(fixture.io, fixture.timers, "t0", refuseOnce("sig0"));
    fake_target second(fixture.io, fixture.timers, "t1", refuseOnce("sig1"));
    fixture.add(first.registration("s0"));
    fixture.add(second.registration("s0"));
    played_request played(fixture, gatherRoute(1, 1));
    played.play();
    CHECK(played.outcome == request_outcome::Complete);
    CHECK(first.received.size() + second.received.size() == 3);
}

TEST_CASE("refusals tell when targets are expected back (326 requests came back too early after an outage and were refused again)")
{
    const auto secondsOf = [](const played_request &played) { return std::stod(played.header("Retry-After")); };
    node_fixture fixture;
    played_request unknown(fixture, gatherRoute(4, 0.9));
    unknown.play();
    CHECK(secondsOf(unknown) == doctest::Approx(1.0));
    fixture.pool.expectRegistrations(steady::now() + 400ms);
    played_request regained(fixture, gatherRoute(4, 0.9));
    regained.play();
    CHECK(secondsOf(regained) > 0.3);
    CHECK(secondsOf(regained) <= 0.4);
    played_request forwarded(fixture, forwardRoute(repeat_rule::Idempotent));
    forwarded.play();
    CHECK(forwarded.answer->status == 503);
    CHECK(secondsOf(forwarded) > 0.2);
    CHECK(secondsOf(forwarded) <= 0.4);

    // Three of four shards are enough, so the slowest may be left out.
    fake_target target(fixture.io, fixture.timers, "t", records("sig", Middle));
    for (int i = 0; i < 3; ++i) {
        registered_target registration = target.registration("s" + std::to_string(i));
        registration.id = "t" + std::to_string(i);
        fixture.add(registration);
        for (int failures = 0; failures <= i; ++failures) {
            fixture.pool.usable(registration.service).front()->health.onUnreachable(steady::now() + failures * 1ms);
        }
    }
    fixture.pool.expectRegistrations(steady::now() + 5s);
    played_request paused(fixture, gatherRoute(4, 0.75, 50ms));
    paused.play();
    CHECK(paused.answer->status == 503);
    CHECK(secondsOf(paused) < 0.5);
}

TEST_CASE("gather_request: a caller that leaves cancels everything (guards against work for nobody)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fixture.add(stuck.registration("s0"));
    played_request played(fixture, gatherRoute(1, 1));
    played.start();
    REQUIRE(fixture.runUntil([&] { return stuck.received.size() == 1; }));
    played.gather->cancel();
    CHECK(fixture.runUntil([&] { return stuck.gone == 1; }));
    CHECK_FALSE(played.answer.has_value());
}

TEST_CASE("forward_request: a lost answer is asked for again only where that is allowed (guards against running a request twice)")
{
    for (const repeat_rule repeat : {repeat_rule::Idempotent, repeat_rule::NonIdempotent}) {
        node_fixture fixture;
        fake_target broken(fixture.io, fixture.timers, "t0", breakOff);
        fake_target sound(fixture.io, fixture.timers, "t1", records("sig1", "body"));
        fixture.add(broken.registration("s0"));
        registered_target remote = sound.registration("s0");
        remote.dataCentre = "dc2";
        fixture.add(remote);
        played_request played(fixture, forwardRoute(repeat), requestMessage("POST"));
        played.play();
        const bool mayRepeat = repeat == repeat_rule::Idempotent;
        CHECK(broken.received.size() == 1);
        CHECK(sound.received.size() == (mayRepeat ? 1 : 0));
        CHECK(played.answer->status == (mayRepeat ? 200 : 502));
    }
}

TEST_CASE("forward_request: what a target did not run goes to another one (guards against refusals with targets free)")
{
    for (const unsigned status : {503U, 421U, 429U}) {
        node_fixture fixture;
        fake_target full(
            fixture.io, fixture.timers, "t0", [status](const fake_target::pointer &connection, const http_message &) { answerNotRun(connection, status); });
        fake_target sound(fixture.io, fixture.timers, "t1", records("sig1", "body"));
        fixture.add(full.registration("s0"));
        registered_target remote = sound.registration("s0");
        remote.dataCentre = "dc2";
        fixture.add(remote);
        played_request played(fixture, forwardRoute(repeat_rule::NonIdempotent), requestMessage("POST"));
        played.play();
        CHECK(played.answer->status == 200);
        CHECK(played.answer->body == "body");
        CHECK(played.header("Server-Stamp") == "sig1");
    }
}

TEST_CASE("forward_request: refuses truly when no target ran it (guards against a refusal after a run, and against waiting in vain)")
{
    node_fixture fixture;
    played_request none(fixture, forwardRoute(repeat_rule::NonIdempotent));
    none.play();
    CHECK(none.answer->status == 503);
    CHECK_FALSE(none.header("Retry-After").empty());
    CHECK(none.endedAfter < 200ms);

    fake_target full(fixture.io, fixture.timers, "t0", [](const fake_target::pointer &connection, const http_message &) { answerNotRun(connection, 503); });
    fixture.add(full.registration("s0"));
    played_request refused(fixture, forwardRoute(repeat_rule::NonIdempotent));
    refused.play();
    CHECK(refused.answer->status == 503);
}

TEST_CASE("forward_request: passes a target's own failure on unchanged (guards against hiding what a target said)")
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
    played_request played(fixture, forwardRoute(repeat_rule::NonIdempotent));
    played.play();
    CHECK(played.answer->status == 500);
    CHECK(played.answer->body == "why");
    CHECK(played.header("Server-Stamp") == "sig0");
}

TEST_CASE("forward_request: ends at the route's timeout, and the target is told (guards against requests that fill a target's slots for nobody)")
{
    node_fixture fixture;
    fake_target stuck(fixture.io, fixture.timers, "t0", hang);
    fixture.add(stuck.registration("s0"));
    played_request played(fixture, forwardRoute(repeat_rule::NonIdempotent));
    played.play();
    CHECK(played.answer->status == 504);
    CHECK(played.endedAfter >= 590ms);
    CHECK(played.endedAfter < 850ms);
    REQUIRE(stuck.received.size() == 1);
    CHECK(std::stoi(*stuck.received[0].find("Deadline-Ms")) <= 600);
}

TEST_CASE("target_pool: draining targets and evacuated data centres get nothing (guards against new work for what leaves)")
{
    node_fixture fixture;
    fake_target leaving(fixture.io, fixture.timers, "t0", records("sig0", "body"));
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

TEST_CASE("target_pool: a cold target gets requests from its first sender only, and few (guards against crashing a target that has just started)")
{
    node_fixture fixture;
    fake_target target(fixture.io, fixture.timers, "t0", records("sig0", Middle));
    registered_target cold = target.registration("s0");
    cold.warmupLeft = 3000ms;
    target_catalogue::record known;
    known.target = cold;
    known.updatedAt = steady::now();
    fixture.pool.update(known, false);
    service_settings bounded;
    bounded.warmupRequestsPerSecond = 10;
    const auto configuration = std::make_shared<const routing_configuration>(
        1, std::vector<route>{}, std::unordered_map<std::string, service_settings>{{"s0", bounded}}, caller_limits{});
    fixture.pool.setLimits(configuration, 2);
    const auto link = fixture.pool.usable("s0").front();
    fixture.pool.setSenders({"i1"}, true);
    CHECK_FALSE(fixture.pool.view(*link, steady::now()).hasCapacity);
    fixture.pool.setSenders({"i1"}, false);
    CHECK(fixture.pool.view(*link, steady::now()).hasCapacity);
    played_request played(fixture, gatherRoute(1, 1));
    played.play();
    CHECK(played.outcome == request_outcome::Complete);
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

TEST_CASE("target_reach: targets of a data centre that doesn't answer are left alone together until one accepts a connection (guards against held requests)")
{
    node_fixture fixture;
    // Connections to an address whose queue of new connections is full hang, as those into a cut do.
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
    fake_target sound(fixture.io, fixture.timers, "t0", records("sig", Middle));
    const route served = gatherRoute(3, 1);
    const routing_configuration configuration(1, {served}, {}, {});
    for (int i = 0; i < 3; ++i) {
        registered_target target = sound.registration("s" + std::to_string(i));
        target.id = "t" + std::to_string(i);
        target.dataCentre = "dc2";
        target.address.port = full.local_endpoint().port();
        fixture.add(target);
        fixture.pool.usable(target.service).front()->health.onSent(steady::now() - 500ms);
    }
    target_reach reach(fixture.context, fixture.pool);
    reach.review(&configuration, steady::now());
    CHECK_FALSE(reach.isImpaired());
    reach.review(&configuration, steady::now());
    CHECK(reach.isImpaired());
    played_request refused(fixture, gatherRoute(3, 1));
    refused.play();
    CHECK(refused.answer->status == 503);
    CHECK(refused.endedAfter < 50ms);
    fixture.runFor(300ms);
    CHECK(reach.isImpaired());

    // The cut ends: the address answers again.
    for (int i = 0; i < 3; ++i) {
        registered_target target = sound.registration("s" + std::to_string(i));
        target.id = "t" + std::to_string(i);
        target.dataCentre = "dc2";
        fixture.add(target);
    }
    const bool isBack = fixture.runUntil([&] {
        reach.review(&configuration, steady::now());
        return !reach.isImpaired();
    });
    CHECK(isBack);
    played_request answered(fixture, gatherRoute(3, 1));
    answered.play();
    CHECK(answered.answer->status == 200);
}

TEST_CASE("target_reach: the end of a connection is no sign of a data centre, an answer is (connections that timed out made a cut look healed)")
{
    for (const bool isAnswered : {false, true}) {
        node_fixture fixture;
        fake_target::pointer waiting;
        http_message asked;
        fake_target target(fixture.io, fixture.timers, "t0", [&](const fake_target::pointer &connection, const http_message &request) {
            waiting = connection;
            asked = request;
        });
        fixture.add(target.registration("s0"));
        played_request played(fixture, forwardRoute(repeat_rule::NonIdempotent));
        played.start();
        REQUIRE(fixture.runUntil([&] { return waiting != nullptr; }));
        for (int review = 0; review < 2; ++review) {
            fixture.context.reach.update("dc1", data_centre_monitor::MinOverdueTargets, steady::now() + 1s);
        }
        REQUIRE(fixture.context.reach.isUnreachable("dc1"));
        if (isAnswered) {
            answerSigned(waiting, asked, "sig", "body");
        } else {
            waiting->close();
        }
        REQUIRE(fixture.runUntil([&] { return played.answer.has_value(); }));
        CHECK(fixture.context.reach.isUnreachable("dc1") == !isAnswered);
    }
}

TEST_CASE("target_pool: connections are kept, bounded by the configuration and shared by the senders (guards against resets at the target's limit)")
{
    node_fixture fixture;
    fake_target target(fixture.io, fixture.timers, "t0", records("sig0", Middle));
    fixture.add(target.registration("s0"));
    service_settings limited;
    limited.maxConnections = 30;
    const auto configuration = std::make_shared<const routing_configuration>(
        1, std::vector<route>{}, std::unordered_map<std::string, service_settings>{{"s0", limited}}, caller_limits{});
    fixture.pool.setLimits(configuration, 6);
    for (int i = 0; i < 5; ++i) {
        played_request played(fixture, gatherRoute(1, 1));
        played.play();
        CHECK(played.outcome == request_outcome::Complete);
    }
    CHECK(fixture.numbers.value("target_connections_opened_total") == 1);
    const auto link = fixture.pool.usable("s0").front();
    link->connections = 2;
    link->idle.clear();
    CHECK_FALSE(fixture.pool.view(*link, steady::now()).hasCapacity);
    link->connections = 1;
    CHECK(fixture.pool.view(*link, steady::now()).hasCapacity);
}
