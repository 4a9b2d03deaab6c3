#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/coroutine_test_support.h"
#include "standins/standins.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace balsamhook;
namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::chrono::seconds RequestTimeout{2};
const endpoint SearchTarget{"127.0.0.1", 17941};
const endpoint CommandTarget{"127.0.0.1", 17943};
const endpoint Admin{"127.0.0.1", 17949};

std::string siteText()
{
    return R"({"configuration":{"data_centres":[{"name":"dc1","state":"in"}],
        "services":[{"name":"finder","kind":"query","layout_epoch":3,"shards":[{"shard":"0","targets":["t0"]},{"shard":"1","targets":["t1"]}]},
                    {"name":"ledger","kind":"command","shards":[{"shard":"0","targets":["t2"]}]}],
        "targets":[{"name":"t0","data_centre":"dc1","address":"127.0.0.1:17941","slots":2,"connections":3,"cold_slots":1},
                   {"name":"t1","data_centre":"dc1","address":"127.0.0.1:17942","slots":2,"connections":3,"cold_slots":1},
                   {"name":"t2","data_centre":"dc1","address":"127.0.0.1:17943","slots":2,"connections":3,"cold_slots":1}]},
        "behaviour":{"finder":{"service_time_ms":20,"spread_ms":0,"opening_ms":0,"cold_start_ms":0,"down_time_ms":50},
                     "ledger":{"service_time_ms":20,"spread_ms":0,"opening_ms":30,"cold_start_ms":0}}})";
}

site_description testSite()
{
    return parseSite(siteText()).value();
}

http_request searchRequest(const std::string &shard, std::uint64_t version, const std::string &text, const std::string &id = "r1", int deadline = 1000)
{
    http_request request;
    request.method = "POST";
    request.path = "/search";
    request.headers["x-request-id"] = id;
    request.headers["x-deadline-ms"] = std::to_string(deadline);
    request.body = json{{"shard", shard}, {"layout_epoch", 3}, {"index_version", version}, {"text", text}, {"limit", 5}}.dump();
    return request;
}

http_request plainRequest(const std::string &method, const std::string &path, const std::string &body = {})
{
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    return request;
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

class process_fixture
{
public:
    process_fixture()
        : process(context, testSite(), metrics)
    {
        REQUIRE(process.start(Admin).has_value());
    }

    void run(asio::awaitable<void> task)
    {
        CHECK(runToEnd(context, std::move(task)));
        process.stop();
    }

    json statistics(const std::string &target)
    {
        const json report = json::parse(process.report());
        for (const json &entry : report.at("targets")) {
            if (entry.at("name") == target) {
                return entry;
            }
        }
        return {};
    }

    asio::io_context context;
    counters metrics;
    target_process process;
};

site_target modelDescription()
{
    site_target description;
    description.slots = 2;
    description.connections = 3;
    description.coldSlots = 1;
    return description;
}

service_behaviour modelBehaviour()
{
    service_behaviour behaviour;
    behaviour.coldStart = std::chrono::milliseconds(100);
    return behaviour;
}

} // namespace

TEST_CASE("data_set: equal settings give equal data and snapshots differ (guards against checkers that reject correct responses or accept a wrong snapshot)")
{
    data_settings values;
    values.service = "finder";
    data_set first(values);
    data_set second(values);
    const auto found = first.search("0", {1, 1}, "diesel tank", 10);
    CHECK(found == second.search("0", {1, 1}, "diesel tank", 10));
    CHECK_FALSE(found.empty());
    CHECK(found != first.search("0", {1, 2}, "diesel tank", 10));
    CHECK(found != first.search("0", {2, 1}, "diesel tank", 10));
    CHECK(found != first.search("1", {1, 1}, "diesel tank", 10));
}

TEST_CASE("data_set: the merged hits equal a merge of the shards' hits (guards against checkers that reject a correct merge)")
{
    const bool isCorrect = rc::check([] {
        data_settings values;
        values.service = "finder";
        values.documentsPerShard = 20;
        data_set data(values);
        const auto number = *rc::gen::inRange<std::uint64_t>(0, 1000);
        const auto limit = *rc::gen::inRange<std::size_t>(1, 30);
        const std::string text = data.sampleText(number);
        std::vector<data_hit> all;
        for (const char *shard : {"0", "1", "2"}) {
            const auto part = data.search(shard, {1, 1}, text, 1000);
            all.insert(all.end(), part.begin(), part.end());
        }
        std::sort(all.begin(), all.end(), [](const data_hit &a, const data_hit &b) { return a.score != b.score ? a.score > b.score : a.id < b.id; });
        all.resize(std::min(all.size(), limit));
        RC_ASSERT(data.mergedHits({"0", "1", "2"}, {1, 1}, text, limit) == all);
    });
    CHECK(isCorrect);
}

TEST_CASE("parseSite: names the unknown behaviour field, the target with a malformed address and the target without a service (guards against accepting "
          "misspelt site files)")
{
    json site = json::parse(siteText());
    site["behaviour"]["finder"]["servicetime"] = 3;
    CHECK(parseSite(site.dump()).error().message.find("servicetime") != std::string::npos);
    site = json::parse(siteText());
    site["configuration"]["targets"][0]["address"] = "here";
    CHECK(parseSite(site.dump()).error().message.find("t0") != std::string::npos);
    site = json::parse(siteText());
    site["configuration"]["services"][0]["shards"][0]["targets"][0] = "t1";
    CHECK(parseSite(site.dump()).error().message.find("t0") != std::string::npos);
    CHECK(parseSite("nonsense").has_error());
}

TEST_CASE("target_model: counts requests beyond cold_slots as violations in cold start only and queues requests beyond its slots (guards against missed cold "
          "start violations)")
{
    target_model model(modelDescription(), modelBehaviour(), 1);
    boot_clock::time_point now = boot_clock::now();
    model.restart(now);
    CHECK(model.admit(1, now) == target_admission::Accepted);
    CHECK(model.statistics().coldViolations == 0);
    model.admit(2, now);
    CHECK(model.statistics().coldViolations == 1);
    CHECK(model.takeStarted().size() == 2);
    now += std::chrono::milliseconds(101);
    CHECK_FALSE(model.isCold(now));
    model.admit(3, now);
    CHECK(model.statistics().coldViolations == 1);
    CHECK(model.takeStarted().empty());
    model.remove(1, now);
    const auto started = model.takeStarted();
    REQUIRE(started.size() == 1);
    CHECK(started[0].id == 3);
    CHECK(model.statistics().peakConcurrent == 3);
}

TEST_CASE("target_model: keeps every slot busy while work waits, and runs each request once (guards against lost work and leaked slots)")
{
    const bool isCorrect = rc::check([] {
        target_model model(modelDescription(), modelBehaviour(), 1);
        const boot_clock::time_point now = boot_clock::now();
        model.restart(now);
        std::set<std::uint64_t> admitted;
        std::set<std::uint64_t> running;
        std::uint64_t next = 1;
        const auto steps = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 100));
        for (const std::uint64_t step : steps) {
            if (step < 60 || admitted.empty()) {
                if (model.admit(next, now) == target_admission::Accepted) {
                    admitted.insert(next);
                }
                ++next;
            } else {
                auto chosen = admitted.begin();
                std::advance(chosen, static_cast<std::ptrdiff_t>(step % admitted.size()));
                model.remove(*chosen, now);
                running.erase(*chosen);
                admitted.erase(chosen);
            }
            for (const started_work &work : model.takeStarted()) {
                RC_ASSERT(admitted.contains(work.id));
                RC_ASSERT(running.insert(work.id).second);
            }
            RC_ASSERT(running.size() == std::min<std::size_t>(admitted.size(), 2));
            RC_ASSERT(model.concurrentRequests() == admitted.size());
        }
    });
    CHECK(isCorrect);
}

TEST_CASE("target_model: refuses and counts a connection beyond the limit, and accepts one again after a close (guards against missed connection violations)")
{
    target_model model(modelDescription(), modelBehaviour(), 1);
    model.restart(boot_clock::now());
    for (int i = 0; i < 3; ++i) {
        CHECK(model.openConnection());
    }
    CHECK_FALSE(model.openConnection());
    CHECK(model.statistics().connectionViolations == 1);
    model.closeConnection();
    CHECK(model.openConnection());
    CHECK(model.statistics().peakConnections == 3);
}

TEST_CASE("target_server: a search returns the generated hits, and a missing snapshot gives 409 with started false (guards against responses that checkers "
          "can't verify)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &fixture) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        const auto response = co_await connection.value()->exchange(searchRequest("0", 1, "diesel"), RequestTimeout);
        REQUIRE(response.has_value());
        const json body = json::parse(response.value().body);
        data_set data(testSite().findService("finder")->behaviour.data);
        CHECK(body.at("hits").dump() == json::parse(hitsJson(data.search("0", {3, 1}, "diesel", 5))).dump());
        CHECK(body.at("index_version") == 1);
        const auto missing = co_await connection.value()->exchange(searchRequest("0", 2, "diesel"), RequestTimeout);
        CHECK(missing.value().status == 409);
        CHECK(missing.value().body.find("\"started\":false") != std::string::npos);
        CHECK(fixture.statistics("t0").at("searches") == 1);
        CHECK(fixture.statistics("t0").at("last_new_work_ms").get<std::int64_t>() > 0);
    }(fixture));
}

TEST_CASE("target_process: a new index version keeps the previous one searchable and drops older ones (guards against failing queries during a version change)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &) -> asio::awaitable<void> {
        for (const char *version : {"2", "3"}) {
            const http_request advanceRequest = plainRequest("PUT", "/standin/services/finder", "{\"index_version\":" + std::string(version) + "}");
            const auto response = co_await fetch(Admin, "", advanceRequest, RequestTimeout);
            CHECK(response.value().status == 200);
            co_await sleepFor(std::chrono::milliseconds(30));
        }
        auto connection = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        const auto oldest = co_await connection.value()->exchange(searchRequest("0", 1, "diesel"), RequestTimeout);
        CHECK(oldest.value().status == 409);
        const auto previous = co_await connection.value()->exchange(searchRequest("0", 2, "diesel"), RequestTimeout);
        CHECK(previous.value().status == 200);
        const auto newest = co_await connection.value()->exchange(searchRequest("0", 3, "diesel"), RequestTimeout);
        CHECK(newest.value().status == 200);
    }(fixture));
}

TEST_CASE("target_server: a crash closes the connections and the target restarts with a new incarnation (guards against crashes that the system can't observe)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &fixture) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        const auto before = co_await connection.value()->exchange(plainRequest("GET", "/status"), RequestTimeout);
        const auto crashed = co_await connection.value()->exchange(searchRequest("0", 1, "poisoned-request"), RequestTimeout);
        CHECK(crashed.has_error());
        const auto refused = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        CHECK(refused.has_error());
        co_await sleepFor(std::chrono::milliseconds(120));
        const auto after = co_await fetch(SearchTarget, "", plainRequest("GET", "/status"), RequestTimeout);
        REQUIRE(after.has_value());
        CHECK(json::parse(after.value().body).at("incarnation") != json::parse(before.value().body).at("incarnation"));
        CHECK(fixture.statistics("t0").at("crashes") == 1);
        // The target processes the close of the status connection asynchronously.
        co_await sleepFor(std::chrono::milliseconds(20));
        CHECK(fixture.statistics("t0").at("connections") == 0);
    }(fixture));
}

TEST_CASE(
    "target_server: open connections set to silent get no response while new connections work (guards against stalled connections that look healthy or closed)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        const auto before = co_await connection.value()->exchange(plainRequest("GET", "/status"), RequestTimeout);
        CHECK(before.has_value());
        const http_request silenceRequest = plainRequest("PUT", "/standin/targets/t0", R"({"silent":"open"})");
        const auto response = co_await fetch(Admin, "", silenceRequest, RequestTimeout);
        CHECK(response.value().status == 200);
        const auto timedOut = co_await connection.value()->exchange(plainRequest("GET", "/status"), std::chrono::milliseconds(100));
        CHECK(timedOut.error().code == error_code::Timeout);
        const auto fresh = co_await fetch(SearchTarget, "", plainRequest("GET", "/status"), RequestTimeout);
        CHECK(fresh.has_value());
    }(fixture));
}

TEST_CASE("target_server: a search ends at its deadline or on cancellation (guards against slots held by abandoned work)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &fixture) -> asio::awaitable<void> {
        const http_request slowRequest = plainRequest("PUT", "/standin/targets/t0", R"({"delay_ms":500})");
        const auto changed = co_await fetch(Admin, "", slowRequest, RequestTimeout);
        CHECK(changed.value().status == 200);
        auto connection = co_await http_connection::open(SearchTarget, "", RequestTimeout);
        const auto late = co_await connection.value()->exchange(searchRequest("0", 1, "diesel", "r1", 50), RequestTimeout);
        CHECK(late.value().status == 504);
        asio::co_spawn(
            fixture.context,
            []() -> asio::awaitable<void> {
                co_await sleepFor(std::chrono::milliseconds(50));
                const http_request cancel = plainRequest("POST", "/cancel", R"({"request_id":"r2"})");
                const auto accepted = co_await fetch(SearchTarget, "", cancel, RequestTimeout);
                CHECK(accepted.value().status == 202);
            },
            asio::detached);
        const auto begin = boot_clock::now();
        const auto cancelled = co_await connection.value()->exchange(searchRequest("0", 1, "diesel", "r2"), RequestTimeout);
        CHECK(cancelled.value().status == 503);
        CHECK(boot_clock::now() - begin < std::chrono::milliseconds(400));
    }(fixture));
}

TEST_CASE("target_server: the ledger counts every execution of a key, and connection setup delays only the first response (guards against undetected double "
          "execution)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &fixture) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(CommandTarget, "", RequestTimeout);
        const http_request command = plainRequest("POST", "/execute", R"({"key":"k1","payload":{}})");
        const auto begin = boot_clock::now();
        const auto first = co_await connection.value()->exchange(command, RequestTimeout);
        const auto between = boot_clock::now();
        const auto second = co_await connection.value()->exchange(command, RequestTimeout);
        CHECK(first.value().status == 200);
        CHECK(second.value().status == 200);
        CHECK(between - begin >= std::chrono::milliseconds(50));
        CHECK(boot_clock::now() - between < std::chrono::milliseconds(45));
        CHECK(fixture.process.ledger().runs("ledger", "k1") == 2);
        CHECK(fixture.process.ledger().repeatedKeys() == std::vector<std::string>{"ledger/k1"});
    }(fixture));
}

TEST_CASE("target_server: a draining target rejects new work with started false (guards against requests that are reported as possibly executed)")
{
    process_fixture fixture;
    fixture.run([](process_fixture &) -> asio::awaitable<void> {
        const http_request drainRequest = plainRequest("PUT", "/standin/targets/t0", R"({"state":"draining"})");
        const auto changed = co_await fetch(Admin, "", drainRequest, RequestTimeout);
        CHECK(changed.value().status == 200);
        const auto refused = co_await fetch(SearchTarget, "", searchRequest("0", 1, "diesel"), RequestTimeout);
        CHECK(refused.value().status == 503);
        CHECK(refused.value().body == R"({"error":"draining","started":false})");
    }(fixture));
}

namespace
{

const endpoint LinkAdmin{"127.0.0.1", 17950};

/// Two instances behind a link. The second one echoes TCP requests with the address of their source.
class link_fixture
{
public:
    link_fixture()
        : relay(context, link_rules::parse(settingsText()).value(), metrics)
        , echo(context, http_limits{}, metrics, [](http_request request) { return echoRequest(std::move(request)); })
    {
        REQUIRE(relay.start(LinkAdmin).has_value());
        REQUIRE(echo.listen({"127.10.2.91", 17951}).has_value());
    }

    static std::string settingsText()
    {
        return R"({"entries":[{"advertised":"127.20.1.91","actual":"127.10.1.91","data_centre":"dc1"},
                              {"advertised":"127.20.2.91","actual":"127.10.2.91","data_centre":"dc2"}],
                   "tcp_ports":[17951],"udp_ports":[17952],"delays":[{"between":["dc1","dc2"],"ms":20}]})";
    }

    static asio::awaitable<http_response> echoRequest(http_request request)
    {
        co_return textResponse(200, request.peer.substr(0, request.peer.find(':')) + " " + request.body);
    }

    void run(asio::awaitable<void> task)
    {
        CHECK(runToEnd(context, std::move(task)));
        relay.stop();
    }

    asio::io_context context;
    counters metrics;
    link_relay relay;
    http_server echo;
};

asio::awaitable<void> setLink(std::string state, bool oneWay, std::string from, std::string to)
{
    const http_request change = plainRequest("PUT", "/standin/link", json{{"from", from}, {"to", to}, {"state", state}, {"one_way", oneWay}}.dump());
    const auto response = co_await fetch(LinkAdmin, "", change, RequestTimeout);
    CHECK(response.value().status == 200);
}

const endpoint RelayedEcho{"127.20.2.91", 17951};

} // namespace

TEST_CASE("link_relay: adds the delay between data centres in both directions and none for callers (guards against measurements with missing delays)")
{
    link_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        const http_request hello = plainRequest("POST", "/", "hello");
        const auto begin = boot_clock::now();
        const auto callerResponse = co_await fetch(RelayedEcho, "127.30.0.1", hello, RequestTimeout);
        const auto between = boot_clock::now();
        const auto instanceResponse = co_await fetch(RelayedEcho, "127.10.1.91", hello, RequestTimeout);
        CHECK(callerResponse.value().body == "127.30.0.1 hello");
        CHECK(instanceResponse.value().body == "127.20.1.91 hello");
        CHECK(between - begin < std::chrono::milliseconds(30));
        CHECK(boot_clock::now() - between >= std::chrono::milliseconds(40));
    }());
}

TEST_CASE("link_relay: a cut resets and refuses connections of its pair only, until the state is pass again (guards against faults that leak to other pairs)")
{
    link_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        const http_request hello = plainRequest("POST", "/", "hello");
        auto connection = co_await http_connection::open(RelayedEcho, "127.10.1.91", RequestTimeout);
        const auto before = co_await connection.value()->exchange(hello, RequestTimeout);
        CHECK(before.has_value());
        co_await setLink("cut", false, "dc1", "dc2");
        const auto broken = co_await connection.value()->exchange(hello, RequestTimeout);
        CHECK(broken.error().code == error_code::Closed);
        const auto refused = co_await fetch(RelayedEcho, "127.10.1.91", hello, RequestTimeout);
        CHECK(refused.has_error());
        const auto callerResponse = co_await fetch(RelayedEcho, "127.30.0.1", hello, RequestTimeout);
        CHECK(callerResponse.has_value());
        co_await setLink("pass", false, "dc1", "dc2");
        const auto after = co_await fetch(RelayedEcho, "127.10.1.91", hello, RequestTimeout);
        CHECK(after.has_value());
    }());
}

TEST_CASE("link_relay: a one-way cut holds the bytes until the direction passes again (guards against bytes lost or delivered during the fault)")
{
    link_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        const http_request hello = plainRequest("POST", "/", "hello");
        co_await setLink("cut", true, "dc2", "dc1");
        auto connection = co_await http_connection::open(RelayedEcho, "127.10.1.91", RequestTimeout);
        REQUIRE(connection.has_value());
        const auto timedOut = co_await connection.value()->exchange(hello, std::chrono::milliseconds(150));
        CHECK(timedOut.error().code == error_code::Timeout);
        co_await setLink("silent", true, "dc2", "dc1");
        asio::co_spawn(
            co_await asio::this_coro::executor,
            []() -> asio::awaitable<void> {
                co_await sleepFor(std::chrono::milliseconds(100));
                co_await setLink("pass", true, "dc2", "dc1");
            },
            asio::detached);
        const auto late = co_await fetch(RelayedEcho, "127.10.1.91", hello, RequestTimeout);
        CHECK(late.has_value());
    }());
}

TEST_CASE(
    "link_relay: delays datagrams, sends them from the source's advertised address and drops them during a cut (guards against gossip that bypasses the link)")
{
    link_fixture fixture;
    fixture.run([](link_fixture &fixture) -> asio::awaitable<void> {
        using asio::ip::udp;
        udp::socket sender(fixture.context, udp::endpoint(asio::ip::make_address("127.10.1.91"), 17952));
        udp::socket receiver(fixture.context, udp::endpoint(asio::ip::make_address("127.10.2.91"), 17952));
        const udp::endpoint advertised(asio::ip::make_address("127.20.2.91"), 17952);
        const auto begin = boot_clock::now();
        sender.send_to(asio::buffer("one", 3), advertised);
        char received[16];
        udp::endpoint source;
        const std::size_t size = co_await receiver.async_receive_from(asio::buffer(received), source, asio::use_awaitable);
        CHECK(std::string(received, size) == "one");
        CHECK(source == udp::endpoint(asio::ip::make_address("127.20.1.91"), 17952));
        CHECK(boot_clock::now() - begin >= std::chrono::milliseconds(20));
        co_await setLink("cut", false, "127.20.1.91", "dc2");
        sender.send_to(asio::buffer("two", 3), advertised);
        co_await sleepFor(std::chrono::milliseconds(60));
        CHECK(receiver.available() == 0);
        CHECK(fixture.metrics.value("link_datagrams_dropped_total") == 1);
    }(fixture));
}

TEST_CASE("link_rules: rejects settings with unknown names or missing fields, and changes with unknown names (guards against faults that silently don't apply)")
{
    CHECK(link_rules::parse(R"({"entries":[],"tcp_ports":[],"udp_ports":[],"delays":[{"between":["a","b"],"ms":1}]})").has_error());
    CHECK(link_rules::parse(R"({"entries":[]})").has_error());
    CHECK(parseLinkState("slow").has_error());
    link_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        const http_request change = plainRequest("PUT", "/standin/link", R"({"from":"dc1","to":"dc9","state":"cut"})");
        const auto refused = co_await fetch(LinkAdmin, "", change, RequestTimeout);
        CHECK(refused.value().status == 400);
    }());
}
