#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "programs/operator_client.h"
#include "programs/plan_printer.h"
#include "programs/trace_tree.h"

#include <boost/asio/io_context.hpp>
#include <thread>

using namespace balsamhook;

TEST_CASE("formatPlan: the text contains the steps, preview and warnings that an operator confirms")
{
    const std::string text = formatPlan(R"({"plan":"p1","digest":"d1","base_revision":4,"steps":["take dc1 out"],
        "preview":[{"service":"finder","slots_before":8,"slots_after":4,"shards_with_one_replica":["0","1"]}],"warnings":["half of the slots"]})");
    CHECK(text.find("plan: p1") != std::string::npos);
    CHECK(text.find("base_revision: 4") != std::string::npos);
    CHECK(text.find("  - take dc1 out") != std::string::npos);
    CHECK(text.find("  finder   8             4            0 1\n") != std::string::npos);
    CHECK(text.find("WARNING: half of the slots") != std::string::npos);
}

TEST_CASE("formatJson and formatRefusal: lists of objects become tables, other JSON is indented, other text is unchanged")
{
    CHECK(formatJson(R"({"members":[{"instance":"a","alive":true},{"instance":"bb","leaving":true}]})")
          == "members:\n  instance  alive  leaving\n  a         true\n  bb               true\n");
    CHECK(formatJson(R"({"revision":3,"inner":{"x":"y"}})") == "revision: 3\ninner:\n  x: y\n");
    CHECK(formatJson("plain") == "plain\n");
    CHECK(formatRefusal(409, R"({"error":"stale","changes":["dc2 is out"]})") == "refused (409): stale\n  changes:\n    - dc2 is out\n");
    CHECK(formatRefusal(500, "broken") == "refused (500): broken\n");
}

TEST_CASE("trace_tree: spans of several programs form one tree in the order of their start, without duplicates")
{
    trace_tree tree;
    CHECK(tree.isEmpty());
    CHECK(tree.add(R"([{"span":"b","parent":"a","name":"dispatch","peer":"t1","outcome":"answered","start_us":2000,"duration_us":500},
                       {"span":"c","parent":"b","name":"target","start_us":2100,"duration_us":300}])"));
    CHECK(tree.add(R"([{"span":"a","parent":"caller","name":"front","start_us":1000,"duration_us":3000},
                       {"span":"c","parent":"b","name":"target","start_us":2100,"duration_us":300}])"));
    CHECK(tree.text()
          == "    start      duration  span\n"
             "    0.000 ms     3.000 ms  front\n"
             "    1.000 ms     0.500 ms    dispatch t1 [answered]\n"
             "    1.100 ms     0.300 ms      target\n");
}

TEST_CASE("trace_tree: text that is not a list of spans is rejected, and a cycle of parents does not cause endless recursion")
{
    trace_tree tree;
    CHECK_FALSE(tree.add("{}"));
    CHECK_FALSE(tree.add("nonsense"));
    CHECK(tree.add(R"([{"span":"r","parent":"","name":"root","start_us":0},{"span":"a","parent":"b","name":"a"},{"span":"b","parent":"a","name":"b"}])"));
    CHECK(tree.text().size() < 1000);
}

TEST_CASE("operator_client: an unreachable controller is an error with its address, and an HTTP error status is a response")
{
    const endpoint local{"127.0.0.1", 17981};
    const operator_client client(local, std::chrono::milliseconds(500));
    const result<http_response> unreachable = client.call("GET", "/v1/status");
    REQUIRE(unreachable.has_error());
    CHECK(unreachable.error().peer == "127.0.0.1:17981");

    boost::asio::io_context context;
    counters metrics;
    http_server server(context, http_limits{}, metrics, [](http_request request) -> boost::asio::awaitable<http_response> {
        co_return errorResponse(409, request.method + " " + request.path + " " + request.body);
    });
    REQUIRE(server.listen(local).has_value());
    std::thread worker([&context] { context.run_for(std::chrono::seconds(2)); });
    const result<http_response> refused = client.call("POST", "/v1/plans", "{}");
    context.stop();
    worker.join();
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 409);
    CHECK(refused.value().body.find("POST /v1/plans {}") != std::string::npos);
}
