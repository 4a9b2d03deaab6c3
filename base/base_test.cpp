#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/base.h"

using namespace balsamhook;

TEST_CASE("the description of an error contains its step and peer")
{
    const error failed{error_code::Timeout, error_step::Receive, "127.0.0.1:80", "no response for 50 ms"};
    CHECK(describe(failed) == "receive 127.0.0.1:80: no response for 50 ms");
}

TEST_CASE("endpoints with host names, missing ports or ports out of range are refused")
{
    CHECK(describe(parseEndpoint("127.0.0.1:8080").value()) == "127.0.0.1:8080");
    for (const char *text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:80x", "1.2.3:80"}) {
        CAPTURE(text);
        CHECK(parseEndpoint(text).has_error());
    }
}

TEST_CASE("a traceparent header is parsed back to the same ids, and malformed headers are refused")
{
    const trace_context context = trace_context::start();
    const auto parsed = trace_context::parse(context.header());
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().traceId == context.traceId);
    CHECK(parsed.value().spanId == context.spanId);
    CHECK(context.child().traceId == context.traceId);
    CHECK(context.child().spanId != context.spanId);
    CHECK(trace_context::parse("00-00000000000000000000000000000000-0000000000000000-01").has_error());
    CHECK(trace_context::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331").has_error());
    CHECK(trace_context::parse("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01").has_error());
}

TEST_CASE("the span store keeps only the newest spans")
{
    span_store store(2);
    for (const char *id : {"1", "2", "3"}) {
        store.add({"trace", id, "", "hop", "", "ok", {}, {}});
    }
    const auto found = store.find("trace");
    REQUIRE(found.size() == 2);
    CHECK(found.front().spanId == "2");
}

TEST_CASE("a setting out of range gives an exit code and keeps its default")
{
    std::int64_t connections = 10;
    settings options("test");
    options.addNumber("connections", connections, 1, 100, "connections");
    std::string name = "program";
    std::string flag = "--connections=101";
    char *arguments[] = {name.data(), flag.data()};
    const std::optional<int> exitCode = options.parse(2, arguments);
    REQUIRE(exitCode.has_value());
    CHECK(*exitCode != 0);
    CHECK(connections == 10);
}

TEST_CASE("a setting is read from the environment")
{
    std::chrono::milliseconds lease{3000};
    settings options("test");
    options.addDuration("lease-time", lease, std::chrono::milliseconds(100), std::chrono::milliseconds(60000), "lease time");
    setenv("BALSAM_LEASE_TIME", "1500", 1);
    std::string name = "program";
    char *arguments[] = {name.data()};
    CHECK_FALSE(options.parse(1, arguments).has_value());
    unsetenv("BALSAM_LEASE_TIME");
    CHECK(lease == std::chrono::milliseconds(1500));
}

TEST_CASE("hashes are the same in each version and depend on the seed")
{
    // Instances of different versions run side by side during an upgrade and have to compute the same assignment.
    CHECK(stableHash("balsamhook") == stableHash("balsamhook"));
    CHECK(stableHash("balsamhook", 1) != stableHash("balsamhook", 2));
    CHECK(contentHash("a") == "a96faf705af16834e6c632b61e964e1f");
}

TEST_CASE("counters are printed in the Prometheus text format")
{
    counters metrics;
    metrics.add("requests_total{outcome=\"answered\"}", 2);
    metrics.set("connections", 5);
    CHECK(metrics.text() == "balsam_connections 5\nbalsam_requests_total{outcome=\"answered\"} 2\n");
}
