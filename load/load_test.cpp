#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "load/load.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace balsamhook;
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::microseconds;

namespace
{

const endpoint FrontAddress{"127.0.0.1", 17961};

std::string siteText()
{
    return R"({"configuration":{
        "services":[{"name":"finder","kind":"query","layout_epoch":2,"shards":[{"shard":"0","targets":["t0"]},{"shard":"1","targets":["t1"]}]},
                    {"name":"ledger","kind":"command","shards":[{"shard":"0","targets":["t2"]}]}],
        "targets":[{"name":"t0","data_centre":"dc1","address":"127.0.0.1:17971"},{"name":"t1","data_centre":"dc1","address":"127.0.0.1:17972"},
                   {"name":"t2","data_centre":"dc1","address":"127.0.0.1:17973"}]}})";
}

std::string responseBody(const std::vector<data_hit> &hits, std::uint64_t version, const json &missing)
{
    return json{{"outcome", "answered"},
                {"query_id", "q"},
                {"snapshot", {{"layout_epoch", 2}, {"index_version", version}}},
                {"coverage", {{"answered", 2 - missing.size()}, {"total", 2}, {"missing", missing}}},
                {"hits", json::parse(hitsJson(hits))}}
        .dump();
}

/// Front end that computes its responses with the data generator, with configurable faults.
class front_end_stub
{
public:
    front_end_stub(asio::io_context &context, const site_description &site)
        : m_context(context)
        , m_data(site.findService("finder")->behaviour.data)
        , m_server(context, http_limits{}, m_metrics, [this](http_request request) { return respond(std::move(request)); })
    {
        REQUIRE(m_server.listen(FrontAddress).has_value());
    }

    std::chrono::milliseconds responseDelay{0};
    bool hasMixedVersions = false;
    std::uint64_t commands = 0;

private:
    asio::awaitable<http_response> respond(http_request request)
    {
        if (request.path == "/v1/addresses") {
            co_return jsonResponse(200, R"({"addresses":["127.0.0.1:17961"],"valid_ms":100})");
        }
        if (responseDelay.count() > 0) {
            asio::steady_timer timer(m_context, responseDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (request.path == "/v1/command") {
            ++commands;
            co_return jsonResponse(503, R"({"outcome":"not_run","reason":"store"})");
        }
        const json query = json::parse(request.body);
        const std::string text = query.at("text").get<std::string>();
        const std::size_t limit = query.at("limit").get<std::size_t>();
        const std::vector<data_hit> hits = m_data.mergedHits({"0", "1"}, {2, hasMixedVersions ? 8U : 7U}, text, limit);
        co_return jsonResponse(200, responseBody(hits, 7, json::array()));
    }

    asio::io_context &m_context;
    data_set m_data;
    counters m_metrics;
    http_server m_server;
};

load_settings testSettings(const std::string &mix)
{
    load_settings settings;
    settings.seeds = {FrontAddress};
    settings.mix = traffic_mix::parse(mix).value();
    settings.requestsPerSecond = 200;
    settings.duration = std::chrono::milliseconds(500);
    return settings;
}

asio::awaitable<void> runAndStop(load_run &run, bool &succeeded, asio::io_context &context)
{
    const result<void> outcome = co_await run.run();
    succeeded = outcome.has_value();
    context.stop();
}

load_statistics runLoad(const load_settings &settings, const std::function<void(front_end_stub &)> &prepare)
{
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    front_end_stub front(context, site);
    prepare(front);
    load_run run(context, settings, site);
    bool done = false;
    asio::co_spawn(context, runAndStop(run, done, context), asio::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(done);
    return run.statistics();
}

} // namespace

TEST_CASE("quantiles of the histogram exceed the exact value by at most 1/32 and are never below it (guards against understated latencies)")
{
    const bool passed = rc::check([] {
        auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 5000000)));
        latency_histogram histogram;
        for (const std::int64_t value : values) {
            histogram.add(microseconds(value));
        }
        std::sort(values.begin(), values.end());
        for (const double quantile : {0.5, 0.99, 1.0}) {
            const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
            const std::int64_t exact = values[rank - 1];
            const std::int64_t reported = histogram.quantile(quantile).count();
            RC_ASSERT(reported >= exact);
            RC_ASSERT(reported <= exact + exact / 32);
        }
        RC_ASSERT(histogram.maximum().count() == values.back());
    });
    CHECK(passed);
}

TEST_CASE("histogram accepts negative values and values above its range, and has quantile 0 when empty (guards against writes outside the buckets)")
{
    latency_histogram histogram;
    CHECK(histogram.quantile(0.99).count() == 0);
    histogram.add(microseconds(-5));
    histogram.add(microseconds(std::int64_t{1} << 60));
    CHECK(histogram.count() == 2);
    CHECK(histogram.maximum().count() == std::int64_t{1} << 60);
    latency_histogram sum;
    sum.add(histogram);
    CHECK(sum.count() == 2);
}

TEST_CASE("traffic mix selects services by weight and rejects malformed text (guards against runs with another mix than requested)")
{
    const traffic_mix mix = traffic_mix::parse("a=1,b=3").value();
    CHECK(mix.choose(0.0) == "a");
    CHECK(mix.choose(0.24) == "a");
    CHECK(mix.choose(0.26) == "b");
    CHECK(mix.choose(0.999) == "b");
    for (const char *malformed : {"", "a", "a=", "a=0", "a=x", "=1", "a=1,b=-2", "a=nan"}) {
        CAPTURE(malformed);
        CHECK(traffic_mix::parse(malformed).has_error());
    }
}

TEST_CASE(
    "response checker accepts a correct response and rejects changed hits, a mixed snapshot and wrong coverage (guards against undetected wrong responses)")
{
    const site_description site = parseSite(siteText()).value();
    response_checker checker(site);
    data_set data(site.findService("finder")->behaviour.data);
    const sent_query query{"finder", "diesel tank", 5};
    const auto hits = data.mergedHits({"0", "1"}, {2, 7}, query.text, 5);
    REQUIRE(hits.size() == 5);
    CHECK(checker.check(query, responseBody(hits, 7, json::array())).has_value());
    CHECK(checker.check(query, responseBody(hits, 8, json::array())).has_error());

    auto truncated = hits;
    truncated.pop_back();
    CHECK(checker.check(query, responseBody(truncated, 7, json::array())).has_error());
    auto changed = hits;
    changed[2].fields["lot"] = "v7-other";
    CHECK(checker.check(query, responseBody(changed, 7, json::array())).has_error());

    const json missing = json::array({{{"shard", "1"}, {"reason", "timeout"}}});
    CHECK(checker.check(query, responseBody(hits, 7, missing)).has_error());
    CHECK(checker.check(query, responseBody(data.mergedHits({"0"}, {2, 7}, query.text, 5), 7, missing)).has_value());
    json inconsistent = json::parse(responseBody(hits, 7, json::array()));
    inconsistent["coverage"]["answered"] = 1;
    CHECK(checker.check(query, inconsistent.dump()).has_error());
    CHECK(checker.check(query, "{}").has_error());
}

TEST_CASE("requests are sent at the configured rate when the front end responds slowly (guards against a closed loop that hides overload)")
{
    load_settings settings = testSettings("finder=1");
    settings.clientDelay = std::chrono::milliseconds(3);
    const load_statistics statistics = runLoad(settings, [](front_end_stub &front) { front.responseDelay = std::chrono::milliseconds(300); });
    const service_statistics &finder = statistics.services.at("finder");
    // A closed loop with one request at a time would send 2 requests in the duration of the run.
    CHECK(finder.sent > 60);
    CHECK(finder.answered == finder.sent);
    CHECK(finder.wrong == 0);
    CHECK(finder.latency.quantile(0.5) >= std::chrono::milliseconds(306));
    CHECK(statistics.addressRefreshes > 1);
    CHECK(json::parse(reportJson(statistics)).at("services").at("finder").at("coverage") == 1.0);
    CHECK(reportTable(statistics).find("finder") != std::string::npos);
}

TEST_CASE("response with hits from another index version than its snapshot counts as wrong (guards against runs that ignore the response check)")
{
    const load_statistics statistics = runLoad(testSettings("finder=1"), [](front_end_stub &front) { front.hasMixedVersions = true; });
    CHECK(statistics.services.at("finder").wrong == statistics.services.at("finder").answered);
    CHECK(statistics.wrongTotal() > 0);
}

TEST_CASE("commands are counted by outcome and never resent (guards against commands that the load generator itself runs twice)")
{
    bool done = false;
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    front_end_stub front(context, site);
    load_run run(context, testSettings("ledger=1"), site);
    asio::co_spawn(context, runAndStop(run, done, context), asio::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(done);
    const service_statistics &ledger = run.statistics().services.at("ledger");
    CHECK(ledger.sent > 0);
    CHECK(ledger.notRun == ledger.sent);
    CHECK(front.commands == ledger.sent);
}

TEST_CASE("mix with an unknown service is rejected (guards against a crash when the service is looked up for the first request)")
{
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    load_run run(context, testSettings("other=1"), site);
    bool accepted = true;
    asio::co_spawn(context, runAndStop(run, accepted, context), asio::detached);
    context.run_for(std::chrono::seconds(2));
    CHECK_FALSE(accepted);
}
