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

std::string answerBody(const std::vector<data_hit> &hits, std::uint64_t version, const json &missing)
{
    return json{{"outcome", "answered"},
                {"query_id", "q"},
                {"snapshot", {{"layout_epoch", 2}, {"index_version", version}}},
                {"coverage", {{"answered", 2 - missing.size()}, {"total", 2}, {"missing", missing}}},
                {"hits", json::parse(hitsJson(hits))}}
        .dump();
}

/// A front end that answers from the generator, with faults on demand.
class fake_front
{
public:
    fake_front(asio::io_context &context, const site_description &site)
        : m_context(context)
        , m_data(site.findService("finder")->behaviour.data)
        , m_server(context, http_limits{}, m_numbers, [this](http_request request) { return respond(std::move(request)); })
    {
        REQUIRE(m_server.listen(FrontAddress).has_value());
    }

    std::chrono::milliseconds pause{0};
    bool mixesVersions = false;
    std::uint64_t commands = 0;

private:
    asio::awaitable<http_response> respond(http_request request)
    {
        if (request.path == "/v1/addresses") {
            co_return jsonResponse(200, R"({"addresses":["127.0.0.1:17961"],"valid_ms":100})");
        }
        if (pause.count() > 0) {
            asio::steady_timer timer(m_context, pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (request.path == "/v1/command") {
            ++commands;
            co_return jsonResponse(503, R"({"outcome":"not_run","reason":"store"})");
        }
        const json asked = json::parse(request.body);
        const std::string text = asked.at("text").get<std::string>();
        const std::size_t limit = asked.at("limit").get<std::size_t>();
        const std::vector<data_hit> hits = m_data.mergedHits({"0", "1"}, {2, mixesVersions ? 8U : 7U}, text, limit);
        co_return jsonResponse(200, answerBody(hits, 7, json::array()));
    }

    asio::io_context &m_context;
    data_set m_data;
    counters m_numbers;
    http_server m_server;
};

load_settings testSettings(const std::string &mix)
{
    load_settings values;
    values.seeds = {FrontAddress};
    values.mix = traffic_mix::parse(mix).value();
    values.requestsPerSecond = 200;
    values.duration = std::chrono::milliseconds(500);
    return values;
}

asio::awaitable<void> runAndStop(load_run &run, bool &succeeded, asio::io_context &context)
{
    const result<void> ended = co_await run.run();
    succeeded = ended.has_value();
    context.stop();
}

load_figures runLoad(const load_settings &values, const std::function<void(fake_front &)> &prepare)
{
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    fake_front front(context, site);
    prepare(front);
    load_run run(context, values, site);
    bool done = false;
    asio::co_spawn(context, runAndStop(run, done, context), asio::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(done);
    return run.figures();
}

} // namespace

TEST_CASE("quantiles of the histogram are at most 1/32 above the true value and never below it")
{
    const bool held = rc::check([] {
        auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 5000000)));
        latency_histogram histogram;
        for (const std::int64_t value : values) {
            histogram.add(microseconds(value));
        }
        std::sort(values.begin(), values.end());
        for (const double quantile : {0.5, 0.99, 1.0}) {
            const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
            const std::int64_t exact = values[rank - 1];
            const std::int64_t shown = histogram.quantile(quantile).count();
            RC_ASSERT(shown >= exact);
            RC_ASSERT(shown <= exact + exact / 32);
        }
        RC_ASSERT(histogram.highest().count() == values.back());
    });
    CHECK(held);
}

TEST_CASE("an empty histogram and extreme values don't break the report")
{
    latency_histogram histogram;
    CHECK(histogram.quantile(0.99).count() == 0);
    histogram.add(microseconds(-5));
    histogram.add(microseconds(std::int64_t{1} << 60));
    CHECK(histogram.count() == 2);
    CHECK(histogram.highest().count() == std::int64_t{1} << 60);
    latency_histogram sum;
    sum.add(histogram);
    CHECK(sum.count() == 2);
}

TEST_CASE("a mix is chosen by weight, and a malformed one is refused by its part")
{
    const traffic_mix mix = traffic_mix::parse("a=1,b=3").value();
    CHECK(mix.choose(0.0) == "a");
    CHECK(mix.choose(0.24) == "a");
    CHECK(mix.choose(0.26) == "b");
    CHECK(mix.choose(0.999) == "b");
    for (const char *bad : {"", "a", "a=", "a=0", "a=x", "=1", "a=1,b=-2", "a=nan"}) {
        CAPTURE(bad);
        CHECK(traffic_mix::parse(bad).has_error());
    }
}

TEST_CASE("the check accepts the right answer and refuses changed hits, a mixed snapshot and false coverage")
{
    const site_description site = parseSite(siteText()).value();
    answer_check check(site);
    data_set data(site.findService("finder")->behaviour.data);
    const asked_query asked{"finder", "diesel tank", 5};
    const auto hits = data.mergedHits({"0", "1"}, {2, 7}, asked.text, 5);
    REQUIRE(hits.size() == 5);
    CHECK(check.check(asked, answerBody(hits, 7, json::array())).has_value());
    CHECK(check.check(asked, answerBody(hits, 8, json::array())).has_error());

    auto fewer = hits;
    fewer.pop_back();
    CHECK(check.check(asked, answerBody(fewer, 7, json::array())).has_error());
    auto changed = hits;
    changed[2].fields["lot"] = "v7-other";
    CHECK(check.check(asked, answerBody(changed, 7, json::array())).has_error());

    const json missing = json::array({{{"shard", "1"}, {"reason", "timeout"}}});
    CHECK(check.check(asked, answerBody(hits, 7, missing)).has_error());
    CHECK(check.check(asked, answerBody(data.mergedHits({"0"}, {2, 7}, asked.text, 5), 7, missing)).has_value());
    json uneven = json::parse(answerBody(hits, 7, json::array()));
    uneven["coverage"]["answered"] = 1;
    CHECK(check.check(asked, uneven.dump()).has_error());
    CHECK(check.check(asked, "{}").has_error());
}

TEST_CASE("a run counts right answers, and a slow front end doesn't slow the arrivals")
{
    load_settings values = testSettings("finder=1");
    values.clientDelay = std::chrono::milliseconds(3);
    const load_figures figures = runLoad(values, [](fake_front &front) { front.pause = std::chrono::milliseconds(300); });
    const service_figures &finder = figures.services.at("finder");
    // A closed loop with one request at a time would send 2 in this time.
    CHECK(finder.sent > 60);
    CHECK(finder.answered == finder.sent);
    CHECK(finder.wrong == 0);
    CHECK(finder.latency.quantile(0.5) >= std::chrono::milliseconds(306));
    CHECK(figures.addressRefreshes > 1);
    CHECK(json::parse(reportJson(figures)).at("services").at("finder").at("coverage") == 1.0);
    CHECK(reportTable(figures).find("finder") != std::string::npos);
}

TEST_CASE("an answer that names another index version than its hits come from is counted as wrong")
{
    const load_figures figures = runLoad(testSettings("finder=1"), [](fake_front &front) { front.mixesVersions = true; });
    CHECK(figures.services.at("finder").wrong == figures.services.at("finder").answered);
    CHECK(figures.wrongTotal() > 0);
}

TEST_CASE("commands are counted by outcome and never sent again by the tool")
{
    bool done = false;
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    fake_front front(context, site);
    load_run run(context, testSettings("ledger=1"), site);
    asio::co_spawn(context, runAndStop(run, done, context), asio::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(done);
    const service_figures &ledger = run.figures().services.at("ledger");
    CHECK(ledger.sent > 0);
    CHECK(ledger.notRun == ledger.sent);
    CHECK(front.commands == ledger.sent);
}

TEST_CASE("a mix that names an unknown service is refused before anything is sent")
{
    asio::io_context context;
    const site_description site = parseSite(siteText()).value();
    load_run run(context, testSettings("other=1"), site);
    bool accepted = true;
    asio::co_spawn(context, runAndStop(run, accepted, context), asio::detached);
    context.run_for(std::chrono::seconds(2));
    CHECK_FALSE(accepted);
}
