#include <doctest/doctest.h>

#include "dispatch/dispatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace
{

const endpoint FrameAddress{"127.0.0.1", 17970};
const endpoint FirstTarget{"127.0.0.1", 17971};
const endpoint SecondTarget{"127.0.0.1", 17972};
const endpoint CommandTarget{"127.0.0.1", 17973};

/// A target whose response to a search depends on its text: "slow N" responds after N ms; "shed" and "missing" are refused.
class fake_target
{
public:
    fake_target(asio::io_context &context, const endpoint &address)
        : m_context(context)
        , m_server(context, http_limits{}, m_metrics, [this](http_request request) { return handle(std::move(request)); })
    {
        REQUIRE(m_server.listen(address).has_value());
    }

    std::vector<std::string> searches; ///< Texts in order of arrival.
    std::vector<std::string> searchPeers; ///< Connections of the searches in order of arrival.
    std::vector<std::string> cancels; ///< Request ids
    std::vector<std::string> executed; ///< Keys of commands in order of arrival.
    std::vector<std::string> traceparents;
    std::set<std::string> peers; ///< Connections of all requests.
    std::size_t running = 0;
    std::size_t maxRunning = 0;
    std::string incarnation = "first";

private:
    asio::awaitable<http_response> handle(http_request request)
    {
        peers.insert(request.peer);
        if (request.path == "/status") {
            const json snapshots = json::array({{{"layout_epoch", 1}, {"index_version", 7}}});
            co_return jsonResponse(200, json{{"incarnation", incarnation}, {"state", "warm"}, {"snapshots", snapshots}, {"load", 0}}.dump());
        }
        const json body = json::parse(request.body);
        if (request.path == "/cancel") {
            cancels.push_back(body["request_id"]);
            co_return jsonResponse(202, "{}");
        }
        if (request.path == "/execute") {
            executed.push_back(body["key"]);
            if (body["payload"] == "shed") {
                co_return jsonResponse(503, R"({"error":"shedding","started":false})");
            }
            co_return jsonResponse(200, json{{"result", {{"credited", body["payload"]}}}, {"incarnation", incarnation}}.dump());
        }
        const std::string text = body["text"];
        searches.push_back(text);
        searchPeers.push_back(request.peer);
        traceparents.emplace_back(request.header("traceparent"));
        ++running;
        maxRunning = std::max(maxRunning, running);
        if (text.starts_with("slow ")) {
            asio::steady_timer pause(m_context, std::chrono::milliseconds(std::stoi(text.substr(5))));
            co_await pause.async_wait(asio::use_awaitable);
        }
        --running;
        if (text == "shed") {
            co_return jsonResponse(503, R"({"error":"shedding","started":false})");
        }
        if (text == "missing") {
            co_return jsonResponse(409, R"({"error":"snapshot_missing","started":false})");
        }
        const json hits = json::array({{{"id", text}, {"score", 1}, {"fields", json::object()}}});
        co_return jsonResponse(200, json{{"shard", "0"}, {"layout_epoch", 1}, {"index_version", 7}, {"hits", hits}, {"incarnation", incarnation}}.dump());
    }

    asio::io_context &m_context;
    counters m_metrics;
    http_server m_server;
};

/// A target that simulates crashes: it responds to status requests and closes the connection on every other request.
class crashing_target
{
public:
    crashing_target(asio::io_context &context, const endpoint &address)
        : m_acceptor(context, {asio::ip::make_address(address.address), address.port})
    {
        asio::co_spawn(context, acceptLoop(), asio::detached);
    }

    std::size_t crashes = 0;

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            boost::system::error_code failed;
            tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
            if (failed) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        const std::string status = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        char bytes[4096];
        boost::system::error_code failed;
        while (true) {
            const std::size_t count = co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
            if (failed) {
                co_return;
            }
            if (!std::string_view(bytes, count).starts_with("GET /status")) {
                ++crashes;
                co_return;
            }
            co_await asio::async_write(socket, asio::buffer(status), asio::redirect_error(asio::use_awaitable, failed));
        }
    }

    tcp::acceptor m_acceptor;
};

/// A front end that sends messages and stores the received ones.
class fake_front
{
public:
    explicit fake_front(asio::io_context &context)
    {
        asio::co_spawn(context, run(), asio::detached);
    }

    frame_connection::pointer connection;
    std::vector<hello> receivedHellos;
    std::map<std::uint64_t, sub_response> responses;
    std::map<std::uint64_t, command_response> commandResponses;
    std::map<std::string, target_report> reports;
    std::size_t responseCount = 0;

private:
    asio::awaitable<void> run()
    {
        const frame_limits limits;
        auto opened = co_await frame_connection::open(FrameAddress, "", 1s, limits);
        REQUIRE(opened.has_value());
        const hello identity{"front", "inc", program_role::Front, "dc1"};
        REQUIRE(opened.value()->send(identity).has_value());
        connection = opened.value();
        while (true) {
            const auto received = co_await connection->receive();
            if (!received) {
                co_return;
            }
            handleMessage(received.value());
        }
    }

    void handleMessage(const message &received)
    {
        if (const auto *identity = std::get_if<hello>(&received)) {
            receivedHellos.push_back(*identity);
        } else if (const auto *response = std::get_if<sub_response>(&received)) {
            responses[response->attemptId] = *response;
            ++responseCount;
        } else if (const auto *ended = std::get_if<command_response>(&received)) {
            commandResponses[ended->attemptId] = *ended;
        } else if (const auto *update = std::get_if<target_reports>(&received)) {
            for (const target_report &report : update->reports) {
                reports[report.target] = report;
            }
        }
    }
};

/// An in-memory store that completes each call in a later iteration of the event loop.
class memory_store : public object_store
{
public:
    asio::awaitable<result<stored_object>> read(std::string kind, std::string name) override
    {
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        const auto found = objects.find(kind + "/" + name);
        if (!available || found == objects.end()) {
            co_return failure(available ? error_code::NotFound : error_code::Unavailable, error_step::Store, "memory", "object not available");
        }
        co_return found->second;
    }

    asio::awaitable<result<std::uint64_t>> write(std::string kind, std::string name, expected_version expected, std::string value) override
    {
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        stored_object &object = objects[kind + "/" + name];
        if (!available || object.version != expected.version) {
            co_return failure(available ? error_code::Conflict : error_code::Unavailable, error_step::Store, "memory", "not written");
        }
        object.value = std::move(value);
        ++object.version;
        if (loseNextResponse) {
            loseNextResponse = false;
            co_return failure(error_code::Unsettled, error_step::Store, "memory", "response lost");
        }
        co_return object.version;
    }

    asio::awaitable<result<void>> remove(std::string, std::string, expected_version) override
    {
        co_return success();
    }

    asio::awaitable<result<std::optional<stored_object>>> watch(std::string, std::string, std::uint64_t, std::chrono::milliseconds) override
    {
        co_return std::optional<stored_object>();
    }

    asio::awaitable<result<std::vector<object_listing>>> list(std::string) override
    {
        co_return std::vector<object_listing>();
    }

    asio::awaitable<result<std::vector<platform_instance>>> instances() override
    {
        co_return std::vector<platform_instance>();
    }

    std::map<std::string, stored_object> objects;
    bool available = true;
    bool loseNextResponse = false;
};

struct dispatcher_fixture
{
    dispatcher_fixture()
        : localDispatcher(context, makeSettings(), store, metrics, spans, {[this] { return entitled; }, [this] { ++statusChanges; }})
        , frames(context, frame_limits{}, 8, metrics, [this](frame_connection::pointer connection) { return localDispatcher.serve(std::move(connection)); })
        , front(context)
    {
        REQUIRE(frames.listen(FrameAddress).has_value());
        localDispatcher.start();
    }

    static dispatcher_settings makeSettings()
    {
        dispatcher_settings settings;
        settings.identity = {"i1", "inc", program_role::Dispatch, "dc1"};
        return settings;
    }

    /// Applies a configuration with two query targets and a command target. The given targets are owned and permitted.
    void apply(const std::vector<std::string> &owned, bool leaving = false, bool dataCentreOut = false, std::uint32_t slots = 1)
    {
        json document;
        document["data_centres"] = json::array({{{"name", "dc1"}, {"state", dataCentreOut ? "out" : "in"}}});
        document["services"] = json::array({{{"name", "search"},
                                             {"kind", "query"},
                                             {"layout_epoch", 1},
                                             {"deadline_ms", 260},
                                             {"minimum_coverage", 0.0},
                                             {"answer_after_ms", 0},
                                             {"hedge_percent", 5},
                                             {"shards", json::array({{{"shard", "0"}, {"targets", json::array({"a", "b"})}}})}}});
        document["services"].push_back(document["services"][0]);
        document["services"][1]["name"] = "ledger";
        document["services"][1]["kind"] = "command";
        document["services"][1]["shards"][0]["targets"] = json::array({"c"});
        document["targets"] = json::array();
        for (const auto &[name, address] :
             {std::pair(std::string("a"), FirstTarget), std::pair(std::string("b"), SecondTarget), std::pair(std::string("c"), CommandTarget)}) {
            document["targets"].push_back({{"name", name},
                                           {"data_centre", "dc1"},
                                           {"address", describe(address)},
                                           {"slots", slots},
                                           {"connections", 4},
                                           {"cold_slots", 1},
                                           {"state", leaving ? "leaving" : "in"}});
        }
        control_state state;
        state.configurationRevision = ++revision;
        state.memberListVersion = 1;
        state.configuration = document.dump();
        for (const std::string &name : owned) {
            state.owners.push_back({name, "i1"});
        }
        state.ownedTargets = owned;
        localDispatcher.apply(state);
        REQUIRE(localDispatcher.status().appliedRevision == revision);
    }

    /// Runs until the condition holds, for at most five seconds. Waiting on a condition keeps the result independent of the machine's speed.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = boot_clock::now() + 5s;
        while (!condition() && boot_clock::now() < end) {
            context.run_one_for(10ms);
        }
        return condition();
    }

    /// Waits until the front end has received usable reports with snapshots of the targets.
    void waitForReports(const std::vector<std::string> &targets)
    {
        CHECK(runUntil([&] {
            return std::all_of(
                targets.begin(), targets.end(), [&](const std::string &name) { return !front.reports[name].snapshots.empty() && front.reports[name].usable; });
        }));
    }

    void sendSubQuery(std::uint64_t attemptId, const std::string &target, const std::string &text, std::chrono::milliseconds remaining = 2000ms)
    {
        sub_query_batch batch;
        batch.queryId = "q" + std::to_string(attemptId);
        batch.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        batch.service = "search";
        batch.pinned = {1, 7};
        batch.remainingMicroseconds = std::chrono::microseconds(remaining).count();
        batch.text = text;
        batch.limit = 10;
        batch.items = {{attemptId, target, "0"}};
        REQUIRE(front.connection->send(batch).has_value());
    }

    /// Sends a sub-query and returns its response.
    sub_response runSubQuery(std::uint64_t attemptId, const std::string &target, const std::string &text, std::chrono::milliseconds remaining = 2000ms)
    {
        sendSubQuery(attemptId, target, text, remaining);
        CHECK(runUntil([&] { return front.responses.contains(attemptId); }));
        return front.responses[attemptId];
    }

    /// Sends a command and returns its response.
    command_response executeCommand(std::uint64_t attemptId, const std::string &key, const std::string &payload = "\"can\"")
    {
        command_request request;
        request.attemptId = attemptId;
        request.service = "ledger";
        request.target = "c";
        request.key = key;
        request.expiresAtUnixMilliseconds = unixTime().count() + 60000;
        request.remainingMicroseconds = 2000000;
        request.payload = payload;
        REQUIRE(front.connection->send(request).has_value());
        CHECK(runUntil([&] { return front.commandResponses.contains(attemptId); }));
        return front.commandResponses[attemptId];
    }

    asio::io_context context;
    counters metrics;
    span_store spans{100};
    bool entitled = true;
    std::size_t statusChanges = 0;
    memory_store store;
    std::uint64_t revision = 0;
    dispatcher localDispatcher;
    frame_server frames;
    fake_front front;
};

} // namespace

TEST_CASE("dispatcher: a sub-query carries the trace to its target, and the response contains snapshot, hits and report")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    REQUIRE(fixture.front.receivedHellos.size() == 1);
    CHECK(fixture.front.receivedHellos.front().role == program_role::Dispatch);
    const sub_response response = fixture.runSubQuery(1, "a", "diesel");
    CHECK(response.ended == outcome::Answered);
    CHECK(response.readFrom == snapshot{1, 7});
    CHECK(json::parse(response.hits)[0]["id"] == "diesel");
    CHECK(response.report.target == "a");
    CHECK(response.serviceTimeMicroseconds > 0);
    const auto found = fixture.spans.find("0af7651916cd43dd8448eb211c80319c");
    REQUIRE(found.size() == 1);
    CHECK(found.front().name == "dispatch.attempt");
    CHECK(found.front().parentId == "b7ad6b7169203331");
    CHECK(target.traceparents.front().find(found.front().spanId) != std::string::npos);
}

TEST_CASE("dispatcher: an attempt after a timeout uses another connection and succeeds")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    const sub_response timedOut = fixture.runSubQuery(1, "a", "slow 1000", 100ms);
    CHECK(timedOut.ended == outcome::Unknown);
    CHECK(timedOut.reason == refusal_reason::Timeout);
    CHECK(fixture.runSubQuery(2, "a", "next", 500ms).ended == outcome::Answered);
}

TEST_CASE("dispatcher: after a timeout no connection is reused that was idle before, because the same fault may affect it")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    CHECK(fixture.runUntil([&] { return target.peers.size() == 2; }));
    const std::set<std::string> opened = target.peers;
    CHECK(fixture.runSubQuery(1, "a", "slow 1000", 100ms).reason == refusal_reason::Timeout);
    CHECK(fixture.runSubQuery(2, "a", "next", 500ms).ended == outcome::Answered);
    REQUIRE(target.searchPeers.size() == 2);
    CHECK(opened.contains(target.searchPeers[0]));
    CHECK_FALSE(opened.contains(target.searchPeers[1]));
}

TEST_CASE("dispatcher: load shedding and a missing snapshot end as NotRun, and the target stays cold")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    const sub_response shed = fixture.runSubQuery(1, "a", "shed");
    CHECK(shed.ended == outcome::NotRun);
    CHECK(shed.reason == refusal_reason::TargetShedding);
    CHECK(shed.report.cold);
    const sub_response missing = fixture.runSubQuery(2, "a", "missing");
    CHECK(missing.ended == outcome::NotRun);
    CHECK(missing.reason == refusal_reason::SnapshotMissing);
}

TEST_CASE("dispatcher: a request that crashed two targets is refused before it is sent again")
{
    dispatcher_fixture fixture;
    crashing_target first(fixture.context, FirstTarget);
    crashing_target second(fixture.context, SecondTarget);
    fixture.apply({"a", "b"});
    CHECK(fixture.runUntil([&] { return fixture.front.reports.contains("b"); }));
    const sub_response lost = fixture.runSubQuery(1, "a", "poison");
    CHECK(lost.ended == outcome::Unknown);
    CHECK(lost.reason == refusal_reason::TargetFailed);
    CHECK(fixture.runSubQuery(2, "b", "poison").reason == refusal_reason::TargetFailed);
    const sub_response refused = fixture.runSubQuery(3, "a", "poison");
    CHECK(refused.ended == outcome::NotRun);
    CHECK(refused.reason == refusal_reason::Quarantined);
    CHECK(first.crashes + second.crashes == 2);
}

TEST_CASE("dispatcher: without entitlement nothing is sent, including attempts that were queued before")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    fixture.sendSubQuery(1, "a", "slow 200");
    fixture.sendSubQuery(2, "a", "queued");
    CHECK(fixture.runUntil([&] { return target.running == 1; }));
    fixture.entitled = false;
    CHECK(fixture.runUntil([&] { return fixture.front.responses.size() == 2; }));
    CHECK(fixture.front.responses[1].ended == outcome::Answered);
    CHECK(fixture.front.responses[2].ended == outcome::NotRun);
    CHECK(fixture.front.responses[2].reason == refusal_reason::NotOwner);
    CHECK(fixture.runSubQuery(3, "a", "late").reason == refusal_reason::NotOwner);
    CHECK(target.searches == std::vector<std::string>{"slow 200"});
}

TEST_CASE("dispatcher: a cancelled attempt is cancelled at the target and keeps its slot until the target responds")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    fixture.sendSubQuery(1, "a", "slow 300");
    fixture.sendSubQuery(2, "a", "queued");
    fixture.sendSubQuery(3, "a", "cancelled in the queue");
    CHECK(fixture.runUntil([&] { return target.running == 1; }));
    REQUIRE(fixture.front.connection->send(cancel_attempts{{1, 3}}).has_value());
    CHECK(fixture.runUntil([&] { return fixture.front.responses.size() == 3; }));
    CHECK(fixture.front.responses[3].reason == refusal_reason::Cancelled);
    CHECK(target.cancels.size() == 1);
    CHECK(target.maxRunning == 1);
    CHECK(target.searches == std::vector<std::string>{"slow 300", "queued"});
}

TEST_CASE("dispatcher: attempts of a front end that disconnects are cancelled")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    fixture.sendSubQuery(1, "a", "slow 200");
    fixture.sendSubQuery(2, "a", "queued");
    CHECK(fixture.runUntil([&] { return target.running == 1; }));
    fixture.front.connection->close();
    CHECK(fixture.runUntil([&] { return fixture.localDispatcher.isIdle(); }));
    CHECK(target.cancels.size() == 1);
    CHECK(target.searches.size() == 1);
}

TEST_CASE("dispatcher: a target that is no longer owned is released after its attempts in flight have ended, and the status change is signalled")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    fixture.sendSubQuery(1, "a", "slow 200");
    CHECK(fixture.runUntil([&] { return target.running == 1; }));
    fixture.apply({});
    CHECK(fixture.localDispatcher.status().activeTargets == std::vector<std::string>{"a"});
    CHECK(fixture.runSubQuery(2, "a", "late").reason == refusal_reason::NotOwner);
    CHECK(fixture.runUntil([&] { return fixture.localDispatcher.status().activeTargets.empty(); }));
    CHECK(fixture.statusChanges == 1);
    CHECK(fixture.runUntil([&] { return fixture.front.responses.contains(1); }));
    CHECK(fixture.front.responses[1].ended == outcome::Answered);
}

TEST_CASE("dispatcher: attempts at targets that are unknown, not owned or leaving, and in data centres that are out are refused with that reason")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"});
    fixture.waitForReports({"a"});
    CHECK(fixture.runSubQuery(1, "nowhere", "x").reason == refusal_reason::UnknownTarget);
    CHECK(fixture.runSubQuery(2, "b", "x").reason == refusal_reason::NotOwner);
    fixture.apply({"a"}, true);
    CHECK(fixture.runSubQuery(3, "a", "x").reason == refusal_reason::TargetLeaving);
    fixture.apply({"a"}, false, true);
    CHECK(fixture.runSubQuery(4, "a", "x").reason == refusal_reason::DataCentreOut);
    CHECK(target.searches.empty());
    fixture.apply({"a"});
    CHECK(fixture.runSubQuery(5, "a", "x").ended == outcome::Answered);
}

TEST_CASE("dispatcher: concurrent sub-queries never exceed the slots and connections of the target")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, FirstTarget);
    fixture.apply({"a"}, false, false, 2);
    fixture.waitForReports({"a"});
    for (std::uint64_t id = 1; id <= 50; ++id) {
        fixture.sendSubQuery(id, "a", "slow 5");
    }
    CHECK(fixture.runUntil([&] { return fixture.front.responses.size() == 50; }));
    CHECK(fixture.front.responseCount == 50);
    CHECK(target.maxRunning <= 2);
    CHECK(target.peers.size() <= 4);
}

TEST_CASE("target_connections: connections never exceed the limit, and acquire() at the limit waits for a release")
{
    asio::io_context context;
    fake_target target(context, FirstTarget);
    target_connections connections(context, FirstTarget, "", 2);
    std::vector<http_connection::pointer> taken;
    error_code openError = error_code::Invalid;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < 3; ++i) {
                const auto acquired = co_await connections.acquire(boot_clock::now() + 5s);
                CHECK(acquired.has_value());
                taken.push_back(acquired.value());
                CHECK(connections.count() <= 2);
            }
            const auto beyond = co_await connections.open(1s);
            openError = beyond ? error_code::Invalid : beyond.error().code;
        },
        asio::detached);
    context.run_for(100ms);
    REQUIRE(taken.size() == 2);
    connections.release(taken[0]);
    context.restart();
    context.run_for(100ms);
    REQUIRE(taken.size() == 3);
    CHECK(taken[2] == taken[0]);
    CHECK(openError == error_code::Overloaded);
}

TEST_CASE("dispatcher: an unreachable target is reported as unusable until it can be reached again")
{
    dispatcher_fixture fixture;
    fixture.apply({"a"});
    CHECK(fixture.runUntil([&] { return fixture.front.reports.contains("a") && !fixture.front.reports["a"].usable; }));
    CHECK(fixture.runSubQuery(1, "a", "x").reason == refusal_reason::TargetUnreachable);
    fake_target target(fixture.context, FirstTarget);
    fixture.waitForReports({"a"});
    CHECK(fixture.runSubQuery(2, "a", "x").ended == outcome::Answered);
}

TEST_CASE("dispatcher: a command runs once and its repetition gets the recorded outcome, even after a lost store response")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, CommandTarget);
    fixture.apply({"c"});
    fixture.waitForReports({"c"});
    fixture.store.loseNextResponse = true;
    const command_response first = fixture.executeCommand(1, "can-1");
    CHECK(first.ended == outcome::Answered);
    CHECK(json::parse(first.result)["credited"] == "can");
    const command_response repeated = fixture.executeCommand(2, "can-1");
    CHECK(repeated.ended == outcome::Answered);
    CHECK(repeated.reason == refusal_reason::KeyRepeated);
    CHECK(repeated.result == first.result);
    CHECK(target.executed == std::vector<std::string>{"can-1"});
    CHECK(fixture.runUntil([&] { return fixture.localDispatcher.isIdle(); }));
}

TEST_CASE("dispatcher: a command refused by load shedding ends as NotRun, and its key can be retried")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, CommandTarget);
    fixture.apply({"c"});
    fixture.waitForReports({"c"});
    CHECK(fixture.executeCommand(1, "can-1", "\"shed\"").ended == outcome::NotRun);
    CHECK(fixture.executeCommand(2, "can-1").ended == outcome::Answered);
}

TEST_CASE("dispatcher: with an unavailable store commands end as NotRun, and queries continue")
{
    dispatcher_fixture fixture;
    fake_target target(fixture.context, CommandTarget);
    fake_target search(fixture.context, FirstTarget);
    fixture.apply({"a", "c"});
    fixture.waitForReports({"a", "c"});
    fixture.store.available = false;
    const command_response refused = fixture.executeCommand(1, "can-1");
    CHECK(refused.ended == outcome::NotRun);
    CHECK(refused.reason == refusal_reason::StoreUnavailable);
    CHECK(fixture.runSubQuery(2, "a", "diesel").ended == outcome::Answered);
    CHECK(target.executed.empty());
}

TEST_CASE("dispatcher: a command whose connection is lost ends as Unknown, and its repetition isn't run")
{
    dispatcher_fixture fixture;
    crashing_target target(fixture.context, CommandTarget);
    fixture.apply({"c"});
    CHECK(fixture.runUntil([&] { return fixture.front.reports.contains("c"); }));
    CHECK(fixture.executeCommand(1, "can-1").ended == outcome::Unknown);
    CHECK(fixture.executeCommand(2, "can-1").ended == outcome::Unknown);
    CHECK(target.crashes == 1);
}
