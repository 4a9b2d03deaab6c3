#include <doctest/doctest.h>

#include "query/query.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace balsamhook;
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

const endpoint Dispatchers[] = {{"127.0.0.1", 18111}, {"127.0.0.1", 18112}};
constexpr snapshot Held{1, 7};

target_report usableReport(const std::string &target)
{
    target_report report;
    report.target = target;
    report.snapshots = {Held};
    report.usable = true;
    report.cold = false;
    report.slotLimit = 2;
    report.serviceTimeMicroseconds = 1000;
    return report;
}

sub_response validResponse(const sub_query_batch &batch, const sub_query_item &item)
{
    sub_response response;
    response.attemptId = item.attemptId;
    response.ended = outcome::Answered;
    response.readFrom = batch.pinned;
    response.hits = R"([{"id":")" + batch.text + "/" + item.shard + R"(","score":1.5,"fields":{"lot":"a"}}])";
    response.report = usableReport(item.target);
    return response;
}

/// A connection that a test stores; weak, because connections must not outlive the io_context of the fixture.
using connection_ref = std::weak_ptr<frame_connection>;

void sendOver(const connection_ref &connectionRef, const message &content)
{
    const auto connection = connectionRef.lock();
    REQUIRE(connection != nullptr);
    CHECK(connection->send(content).has_value());
}

/// A dispatcher that reports its targets on each connection and passes every received message except hello to the test.
class fake_dispatcher
{
public:
    using receiver = std::function<void(frame_connection::pointer, const message &)>;

    fake_dispatcher(asio::io_context &context, counters &metrics, std::size_t number, std::vector<std::string> targets, receiver receive)
        : m_name("i" + std::to_string(number))
        , m_targets(std::move(targets))
        , m_receive(std::move(receive))
        , m_server(context, {}, 8, metrics, [this](frame_connection::pointer connection) { return serve(std::move(connection)); })
    {
        REQUIRE(m_server.listen(Dispatchers[number]).has_value());
    }

    /// Responds to each item of a batch and to each command at once.
    static void respondToAll(const frame_connection::pointer &connection, const message &received)
    {
        if (const auto *batch = std::get_if<sub_query_batch>(&received)) {
            for (const sub_query_item &item : batch->items) {
                CHECK(connection->send(validResponse(*batch, item)).has_value());
            }
        } else if (const auto *command = std::get_if<command_request>(&received)) {
            CHECK(connection->send(command_response{command->attemptId, outcome::Answered, refusal_reason::None, command->payload}).has_value());
        }
    }

    int connections = 0;

private:
    asio::awaitable<void> serve(frame_connection::pointer connection)
    {
        ++connections;
        target_reports reports;
        for (const std::string &target : m_targets) {
            reports.reports.push_back(usableReport(target));
        }
        CHECK(connection->send(hello{m_name, "inc", program_role::Dispatch, "dc1"}).has_value());
        CHECK(connection->send(reports).has_value());
        while (true) {
            const auto received = co_await connection->receive();
            if (!received) {
                co_return;
            }
            if (!std::holds_alternative<hello>(received.value())) {
                m_receive(connection, received.value());
            }
        }
    }

    std::string m_name;
    std::vector<std::string> m_targets;
    receiver m_receive;
    frame_server m_server;
};

configuration_document makeDocument()
{
    configuration_document document;
    document.dataCentres = {{"dc1", false}};
    service_configuration search;
    search.name = "search";
    search.deadline = milliseconds(150);
    search.shards = {{"0", {"s0a", "s0b"}}, {"1", {"s1a", "s1b"}}};
    service_configuration ledger;
    ledger.name = "ledger";
    ledger.kind = service_kind::Command;
    ledger.deadline = milliseconds(150);
    ledger.shards = {{"0", {"l0"}}};
    document.services = {search, ledger};
    for (const char *name : {"s0a", "s0b", "s1a", "s1b", "l0"}) {
        target_configuration target;
        target.name = name;
        target.dataCentre = "dc1";
        target.address = {"127.0.0.1", static_cast<std::uint16_t>(18120 + document.targets.size())};
        target.slots = 2;
        target.connections = 4;
        document.targets.push_back(target);
    }
    return document;
}

control_state makeState()
{
    control_state state;
    state.configurationRevision = 3;
    state.memberListVersion = 2;
    state.configuration = documentText(makeDocument());
    for (std::size_t number = 0; number < 2; ++number) {
        member_entry member;
        member.instance = "i" + std::to_string(number);
        member.dataCentre = "dc1";
        member.frontEndpoint = "127.0.0.1:" + std::to_string(18101 + number);
        member.dispatchEndpoint = describe(Dispatchers[number]);
        state.members.push_back(member);
    }
    state.owners = {{"s0a", "i0"}, {"s0b", "i1"}, {"s1a", "i0"}, {"s1b", "i1"}, {"l0", "i0"}};
    return state;
}

/// A front end with two fake dispatchers: i0 owns the targets "s0a", "s1a" and "l0", i1 owns "s0b" and "s1b".
class front_fixture
{
public:
    front_fixture(fake_dispatcher::receiver first, fake_dispatcher::receiver second)
        : spans(1000)
        , service(context, frontSettings(), metrics, spans, [this] { return accepting; })
        , dispatchers{{context, metrics, 0, {"s0a", "s1a", "l0"}, std::move(first)}, {context, metrics, 1, {"s0b", "s1b"}, std::move(second)}}
    {
    }

    explicit front_fixture(fake_dispatcher::receiver both = fake_dispatcher::respondToAll)
        : front_fixture(both, both)
    {
    }

    ~front_fixture()
    {
        service.stop();
    }

    /// Applies the state and runs for 60 ms, in which both dispatchers are expected to report.
    void connect()
    {
        service.applyState(makeState());
        runFor(milliseconds(60));
    }

    void runFor(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Sends one request and runs until its response. Fails the test when none comes within two seconds.
    http_response sendRequest(http_request request)
    {
        http_response response;
        bool done = false;
        asio::co_spawn(context, handle(std::move(request), response, done), asio::detached);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!done && std::chrono::steady_clock::now() < until) {
            context.restart();
            context.run_one_until(until);
        }
        REQUIRE(done);
        return response;
    }

    http_response post(std::string path, std::string body, http_headers headers = {})
    {
        http_request request;
        request.method = "POST";
        request.path = std::move(path);
        request.headers = std::move(headers);
        request.body = std::move(body);
        return sendRequest(std::move(request));
    }

    http_response get(std::string path)
    {
        http_request request;
        request.path = std::move(path);
        return sendRequest(std::move(request));
    }

    asio::awaitable<void> handle(http_request request, http_response &response, bool &done)
    {
        response = co_await service.handle(std::move(request));
        done = true;
    }

    asio::io_context context;
    counters metrics;
    span_store spans;
    bool accepting = true;
    front_service service;
    fake_dispatcher dispatchers[2];

private:
    static front_settings frontSettings()
    {
        front_settings settings;
        settings.identity = {"i0", "inc", program_role::Front, "dc1"};
        settings.listenAddress = "127.0.0.1";
        return settings;
    }
};

const std::string Query = R"({"service":"search","text":"lavender","limit":10})";
const std::string Command = R"({"service":"ledger","key":"k1","expires_at_ms":99999999999999,"payload":{"litres":20}})";

json bodyOf(const http_response &response)
{
    return json::parse(response.body);
}

} // namespace

TEST_CASE("front_service: the response to a query has the merged hits, full coverage and the trace context")
{
    front_fixture front;
    front.connect();
    const std::string caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const http_response response = front.post("/v1/query", Query, {{"traceparent", caller}});
    CHECK(response.status == 200);
    const json body = bodyOf(response);
    CHECK(body["outcome"] == "answered");
    CHECK(body["coverage"]["answered"] == 2);
    CHECK(body["coverage"]["missing"].empty());
    CHECK(body["snapshot"] == json{{"layout_epoch", 1}, {"index_version", 7}});
    REQUIRE(body["hits"].size() == 2);
    CHECK(body["hits"][0] == json{{"id", "lavender/0"}, {"score", 1.5}, {"fields", {{"lot", "a"}}}});
    CHECK(response.header("traceparent").substr(3, 32) == caller.substr(3, 32));
    const auto spans = front.spans.find("0af7651916cd43dd8448eb211c80319c");
    REQUIRE(spans.size() == 3);
    CHECK(spans[0].name == "front.attempt");
    CHECK(spans[2].name == "front.query");
    CHECK(spans[2].parentId == "b7ad6b7169203331");
    CHECK(spans[0].parentId == spans[2].spanId);
    CHECK(front.metrics.value(R"(queries_total{outcome="answered"})") == 1);
}

TEST_CASE("front_service: requests are not run before the first control state, nor while no new requests are accepted")
{
    front_fixture front;
    CHECK(front.post("/v1/query", Query).status == 503);
    CHECK(front.get("/v1/addresses").status == 503);
    front.connect();
    front.accepting = false;
    CHECK(bodyOf(front.post("/v1/query", Query))["outcome"] == "not_run");
    CHECK(bodyOf(front.post("/v1/command", Command))["outcome"] == "not_run");
    front.accepting = true;
    CHECK(front.post("/v1/query", Query).status == 200);
}

TEST_CASE("front_service: a control state with a malformed configuration is rejected as a whole")
{
    front_fixture front;
    front.connect();
    control_state broken = makeState();
    broken.configurationRevision = 9;
    broken.configuration = "{";
    broken.owners.clear();
    front.service.applyState(broken);
    CHECK(front.service.appliedRevision() == 3);
    CHECK(front.post("/v1/query", Query).status == 200);
}

TEST_CASE("front_service: the address list excludes instances that are stopping, leaving or not alive")
{
    front_fixture front;
    front.connect();
    const auto addresses = [&] { return bodyOf(front.get("/v1/addresses"))["addresses"]; };
    CHECK(addresses().size() == 2);
    CHECK(bodyOf(front.get("/v1/addresses"))["valid_ms"] == 3000);
    control_state state = makeState();
    state.members[1].leaving = true;
    front.service.applyState(state);
    CHECK(addresses() == json{"127.0.0.1:18101"});
    state.members[1].leaving = false;
    state.members[1].alive = false;
    front.service.applyState(state);
    CHECK(addresses() == json{"127.0.0.1:18101"});
    state.members[1].alive = true;
    state.stopping = true;
    front.service.applyState(state);
    CHECK(addresses() == json{"127.0.0.1:18102"});
    state.stopping = false;
    front.service.applyState(state);
    front.service.stopAdvertising();
    CHECK(addresses() == json{"127.0.0.1:18102"});
    CHECK(front.post("/v1/query", Query).status == 200);
}

TEST_CASE("front_service: the shards of an unresponsive dispatcher are missing at the deadline, and its attempts are cancelled")
{
    int cancelled = 0;
    const auto unresponsive = [&](const frame_connection::pointer &, const message &received) {
        const auto *cancel = std::get_if<cancel_attempts>(&received);
        cancelled += cancel == nullptr ? 0 : static_cast<int>(cancel->attemptIds.size());
    };
    front_fixture front(unresponsive);
    front.connect();
    const auto begin = std::chrono::steady_clock::now();
    const http_response response = front.post("/v1/query", Query);
    const auto time = std::chrono::steady_clock::now() - begin;
    CHECK(response.status == 504);
    CHECK(bodyOf(response)["coverage"]["answered"] == 0);
    CHECK(bodyOf(response)["coverage"]["missing"][0]["reason"] == "timeout");
    CHECK(time >= milliseconds(149));
    CHECK(time < milliseconds(600));
    front.runFor(milliseconds(30));
    CHECK(cancelled == 2);
    const http_response command = front.post("/v1/command", Command);
    CHECK(command.status == 504);
    CHECK(bodyOf(command)["outcome"] == "unknown");
}

TEST_CASE("front_service: sub-queries fail over when a dispatcher closes its connection, and the connection is reopened")
{
    front_fixture front([](const frame_connection::pointer &connection, const message &) { connection->close(); }, fake_dispatcher::respondToAll);
    front.connect();
    for (int round = 0; round < 5; ++round) {
        const json body = bodyOf(front.post("/v1/query", Query));
        CHECK(body["outcome"] == "answered");
        CHECK(body["coverage"]["answered"] == 2);
        front.runFor(milliseconds(120));
    }
    CHECK(front.dispatchers[0].connections >= 2);
    const json command = bodyOf(front.post("/v1/command", Command));
    CHECK(command["outcome"] == "unknown");
    CHECK(command["reason"] == "connection_lost");
}

TEST_CASE("front_service: duplicate and late responses are not delivered to other queries")
{
    std::vector<std::pair<connection_ref, sub_response>> earlier;
    const auto respondTwice = [&](const frame_connection::pointer &connection, const message &received) {
        for (const auto &[from, old] : earlier) {
            sendOver(from, old);
        }
        if (const auto *batch = std::get_if<sub_query_batch>(&received)) {
            for (const sub_query_item &item : batch->items) {
                earlier.emplace_back(connection, validResponse(*batch, item));
                CHECK(connection->send(earlier.back().second).has_value());
                CHECK(connection->send(earlier.back().second).has_value());
            }
        }
    };
    front_fixture front(respondTwice);
    front.connect();
    for (int round = 0; round < 5; ++round) {
        const std::string text = "text" + std::to_string(round);
        const json body = bodyOf(front.post("/v1/query", R"({"service":"search","text":")" + text + R"(","limit":10})"));
        REQUIRE(body["hits"].size() == 2);
        CHECK(body["hits"][0]["id"] == text + "/0");
        CHECK(body["hits"][1]["id"] == text + "/1");
    }
    front.runFor(milliseconds(30));
    CHECK(front.metrics.value("late_answers_dropped_total") >= 10);
}

TEST_CASE("front_service: a response to an attempt that was never sent is dropped")
{
    const auto respondWithWrongId = [&](const frame_connection::pointer &connection, const message &received) {
        const auto *batch = std::get_if<sub_query_batch>(&received);
        if (batch == nullptr) {
            return;
        }
        for (const sub_query_item &item : batch->items) {
            sub_response response = validResponse(*batch, item);
            response.attemptId += 1000;
            CHECK(connection->send(response).has_value());
        }
    };
    front_fixture front(respondWithWrongId);
    front.connect();
    CHECK(front.post("/v1/query", Query).status == 504);
    CHECK(front.metrics.value("late_answers_dropped_total") == 2);
}

TEST_CASE("front_service: a response from one dispatcher to an attempt of another is dropped")
{
    connection_ref second;
    const auto recordConnection = [&](const frame_connection::pointer &connection, const message &) { second = connection; };
    const auto respondCrossed = [&](const frame_connection::pointer &, const message &received) {
        const auto *batch = std::get_if<sub_query_batch>(&received);
        if (batch != nullptr && !second.expired()) {
            sendOver(second, validResponse(*batch, batch->items[0]));
        }
    };
    front_fixture front(respondCrossed, recordConnection);
    front.connect();
    for (int round = 0; round < 20 && front.metrics.value("crossed_answers_dropped_total") == 0; ++round) {
        front.post("/v1/query", R"({"service":"search","text":"x","limit":10,"deadline_ms":20})");
    }
    CHECK(front.metrics.value("crossed_answers_dropped_total") > 0);
    CHECK(front.metrics.value(R"(queries_total{outcome="answered"})") == 0);
}

TEST_CASE("front_service: an unexpected message type is ignored, and malformed hits fail only their attempt")
{
    const auto malformed = [](const frame_connection::pointer &connection, const message &received) {
        CHECK(connection->send(fetch_sections{}).has_value());
        if (const auto *batch = std::get_if<sub_query_batch>(&received)) {
            for (const sub_query_item &item : batch->items) {
                sub_response response = validResponse(*batch, item);
                response.hits = R"([{"id":1}])";
                CHECK(connection->send(response).has_value());
            }
        }
    };
    front_fixture front(malformed, fake_dispatcher::respondToAll);
    front.connect();
    for (int round = 0; round < 8; ++round) {
        CHECK(front.post("/v1/query", Query).status == 200);
    }
    CHECK(front.metrics.value("malformed_hits_total") > 0);
    CHECK(front.metrics.value(R"(unexpected_messages_total{type="fetch_sections"})") > 0);
}

TEST_CASE("front_service: concurrent queries get their own responses when these arrive in reverse order")
{
    constexpr int Queries = 200;
    std::vector<std::pair<connection_ref, sub_response>> held;
    const auto holdResponses = [&](const frame_connection::pointer &connection, const message &received) {
        if (const auto *batch = std::get_if<sub_query_batch>(&received)) {
            for (const sub_query_item &item : batch->items) {
                held.emplace_back(connection, validResponse(*batch, item));
            }
        }
    };
    front_fixture front(holdResponses);
    front.connect();
    std::vector<http_response> responses(Queries);
    std::vector<std::shared_ptr<bool>> flags;
    for (int number = 0; number < Queries; ++number) {
        http_request request;
        request.method = "POST";
        request.path = "/v1/query";
        request.body = R"({"service":"search","text":"q)" + std::to_string(number) + R"(","limit":10,"deadline_ms":1500})";
        flags.push_back(std::make_shared<bool>(false));
        asio::co_spawn(front.context, front.handle(std::move(request), responses[static_cast<std::size_t>(number)], *flags.back()), asio::detached);
    }
    front.runFor(milliseconds(150));
    REQUIRE(held.size() == 2 * Queries);
    for (auto response = held.rbegin(); response != held.rend(); ++response) {
        sendOver(response->first, response->second);
    }
    front.runFor(milliseconds(200));
    for (int number = 0; number < Queries; ++number) {
        REQUIRE(*flags[static_cast<std::size_t>(number)]);
        const json body = bodyOf(responses[static_cast<std::size_t>(number)]);
        REQUIRE(body["hits"].size() == 2);
        CHECK(body["hits"][0]["id"] == "q" + std::to_string(number) + "/0");
        CHECK(body["hits"][1]["id"] == "q" + std::to_string(number) + "/1");
    }
    CHECK(front.service.inFlight() == 0);
}

TEST_CASE("front_service: a command returns the target's result, and is not run when expired or without a connection to the owner")
{
    front_fixture front;
    front.connect();
    const http_response response = front.post("/v1/command", Command);
    CHECK(response.status == 200);
    CHECK(bodyOf(response) == json{{"outcome", "answered"}, {"result", {{"litres", 20}}}});
    const http_response expired = front.post("/v1/command", R"({"service":"ledger","key":"k1","expires_at_ms":1,"payload":1})");
    CHECK(expired.status == 503);
    CHECK(bodyOf(expired)["reason"] == "key_expired");
    control_state state = makeState();
    state.members.erase(state.members.begin());
    front.service.applyState(state);
    front.runFor(milliseconds(30));
    CHECK(bodyOf(front.post("/v1/command", Command))["outcome"] == "not_run");
    const json body = bodyOf(front.post("/v1/query", Query));
    CHECK(body["coverage"]["answered"] == 2);
}

TEST_CASE("front_service: the response to an invalid body names the invalid field")
{
    front_fixture front;
    front.connect();
    struct bad_body
    {
        const char *body;
        const char *field;
    };
    const bad_body queries[] = {{"", ""},
                                {"[]", ""},
                                {"{", ""},
                                {"\xff", ""},
                                {R"({"text":"a","limit":1})", "service"},
                                {R"({"service":"","text":"a","limit":1})", "service"},
                                {R"({"service":"ledger","text":"a","limit":1})", "service"},
                                {R"({"service":"search","text":7,"limit":1})", "text"},
                                {R"({"service":"search","text":"a"})", "limit"},
                                {R"({"service":"search","text":"a","limit":0})", "limit"},
                                {R"({"service":"search","text":"a","limit":1.5})", "limit"},
                                {R"({"service":"search","text":"a","limit":18446744073709551615})", "limit"},
                                {R"({"service":"search","text":"a","limit":1,"limit":2})", "limit"},
                                {R"({"service":"search","text":"a","limit":1,"deadline_ms":0})", "deadline_ms"},
                                {R"({"service":"search","text":"a","limit":1,"deadline_ms":1501})", "deadline_ms"},
                                {R"({"service":"search","text":"a","limit":1,"minimum_coverage":1.1})", "minimum_coverage"},
                                {R"({"service":"search","text":"a","limit":1,"minimum_coverage":"1"})", "minimum_coverage"},
                                {R"({"service":"search","text":"a","limit":1,"answer_after_ms":-1})", "answer_after_ms"},
                                {R"({"service":"search","text":"a","limit":1,"extra":1})", "extra"}};
    for (const bad_body &bad : queries) {
        CAPTURE(bad.body);
        const http_response response = front.post("/v1/query", bad.body);
        CHECK(response.status == 400);
        CHECK(bodyOf(response).value("field", "") == bad.field);
    }
    const bad_body commands[] = {{R"({"service":"ledger","expires_at_ms":1,"payload":1})", "key"},
                                 {R"({"service":"ledger","key":"k","payload":1})", "expires_at_ms"},
                                 {R"({"service":"ledger","key":"k","expires_at_ms":"1","payload":1})", "expires_at_ms"},
                                 {R"({"service":"ledger","key":"k","expires_at_ms":1})", "payload"},
                                 {R"({"service":"search","key":"k","expires_at_ms":1,"payload":1})", "service"}};
    for (const bad_body &bad : commands) {
        CAPTURE(bad.body);
        const http_response response = front.post("/v1/command", bad.body);
        CHECK(response.status == 400);
        CHECK(bodyOf(response).value("field", "") == bad.field);
    }
    CHECK(front.post("/v1/query", R"({"service":"none","text":"a","limit":1})").status == 404);
    CHECK(front.post("/v1/addresses", "").status == 405);
    CHECK(front.get("/v1/query").status == 405);
    CHECK(front.get("/nothing").status == 404);
}

TEST_CASE("front_service: mutated bodies never crash the front end, and invalid ones are refused with 400 or 404")
{
    front_fixture front;
    front.connect();
    std::mt19937 random(20261204);
    const std::string originals[]
        = {Query, R"({"service":"search","text":"\u00e9","limit":10,"deadline_ms":100,"minimum_coverage":0.5,"answer_after_ms":20})", Command};
    std::map<unsigned, int> statuses;
    for (int round = 0; round < 3000; ++round) {
        const std::size_t chosen = random() % std::size(originals);
        std::string body = originals[chosen];
        const int changes = 1 + static_cast<int>(random() % 3);
        for (int change = 0; change < changes; ++change) {
            body[random() % body.size()] = static_cast<char>(random() % 4 == 0 ? random() % 256 : 32 + random() % 95);
        }
        if (random() % 4 == 0) {
            body.resize(random() % body.size());
        }
        const unsigned status = front.post(chosen == 2 ? "/v1/command" : "/v1/query", body).status;
        ++statuses[status];
        CHECK((status == 200 || status == 400 || status == 404 || status == 503 || status == 504));
    }
    CHECK(statuses[400] > 1000);
    CHECK(statuses[200] > 50);
    CHECK(front.post("/v1/query", Query).status == 200);
}
