#include "load/load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace balsamhook;

namespace
{

struct tool_options
{
    std::string siteFile;
    std::string fronts;
    std::string mix;
    std::string bindAddress;
    std::string jsonFile;
    endpoint standinAdmin;
    std::int64_t rate = 50;
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds answerAfter{0};
    std::chrono::milliseconds clientDelay{0};
    std::int64_t minimumCoveragePercent = 0;
    std::int64_t hitLimit = 10;
    std::int64_t texts = 500;
    std::int64_t seed = 1;
    std::int64_t repeatPercent = 0;
    std::int64_t inFlight = 5000;
};

constexpr int UsageError = 2;
constexpr int Failed = 1;

void addOptions(settings &options, tool_options &values)
{
    using std::chrono::milliseconds;
    options.addText("site-file", values.siteFile, "site description (JSON), also used to check responses", true);
    options.addText("front", values.fronts, "front ends from which addresses are requested: IP:PORT,...", true);
    options.addText("mix", values.mix, "shares of the services: SERVICE=WEIGHT,...", true);
    options.addAddress("bind-address", values.bindAddress, "local address of the connections");
    options.addText("json", values.jsonFile, "file for the report as JSON");
    options.addEndpoint("standin-admin", values.standinAdmin, "admin interface of standin-targets, used to check which commands ran");
    options.addNumber("rate", values.rate, 1, 100000, "requests per second");
    options.addDuration("duration-ms", values.duration, milliseconds(100), milliseconds(3600000), "time during which requests are sent");
    options.addDuration("deadline-ms", values.deadline, milliseconds(0), milliseconds(60000), "deadline of each request; 0: the default of the service");
    options.addDuration(
        "answer-after-ms", values.answerAfter, milliseconds(0), milliseconds(60000), "request a partial response after this time; 0: no partial response");
    options.addDuration("client-delay-ms", values.clientDelay, milliseconds(0), milliseconds(1000), "simulated one-way delay of the caller");
    options.addNumber("minimum-coverage-percent", values.minimumCoveragePercent, 0, 100, "minimum acceptable coverage");
    options.addNumber("limit", values.hitLimit, 1, 1000, "limit of hits per query");
    options.addNumber("texts", values.texts, 1, 1000000, "number of different query texts");
    options.addNumber("seed", values.seed, 0, 1000000000, "seed of arrivals and texts");
    options.addNumber("repeat-percent", values.repeatPercent, 0, 100, "share of commands that repeat an earlier key");
    options.addNumber("in-flight", values.inFlight, 1, 100000, "limit of requests in flight; further requests are counted as not sent");
}

result<std::vector<endpoint>> parseFronts(const std::string &text)
{
    std::vector<endpoint> fronts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        const result<endpoint> parsed = parseEndpoint(part);
        if (!parsed) {
            return parsed.error();
        }
        fronts.push_back(parsed.value());
    }
    return fronts;
}

result<load_settings> makeLoadSettings(const tool_options &values)
{
    load_settings settings;
    const result<std::vector<endpoint>> fronts = parseFronts(values.fronts);
    if (!fronts) {
        return fronts.error();
    }
    const result<traffic_mix> mix = traffic_mix::parse(values.mix);
    if (!mix) {
        return mix.error();
    }
    settings.seeds = fronts.value();
    settings.mix = mix.value();
    settings.bindAddress = values.bindAddress;
    settings.requestsPerSecond = static_cast<double>(values.rate);
    settings.duration = values.duration;
    settings.deadline = values.deadline;
    settings.answerAfter = values.answerAfter;
    settings.clientDelay = values.clientDelay;
    settings.minimumCoverage = static_cast<double>(values.minimumCoveragePercent) / 100.0;
    settings.hitLimit = static_cast<std::size_t>(values.hitLimit);
    settings.distinctTexts = static_cast<std::uint64_t>(values.texts);
    settings.seed = static_cast<std::uint64_t>(values.seed);
    settings.repeatedKeyPercent = static_cast<double>(values.repeatPercent);
    settings.inFlightLimit = static_cast<std::size_t>(values.inFlight);
    if (values.standinAdmin.port != 0) {
        settings.standinAdmin = values.standinAdmin;
    }
    return settings;
}

int report(const load_statistics &figures, const std::string &jsonFile)
{
    std::cout << reportTable(figures) << std::flush;
    if (!jsonFile.empty()) {
        std::ofstream file(jsonFile);
        file << reportJson(figures) << "\n";
        if (!file) {
            logError("load", "report file " + jsonFile + " cannot be written");
            return Failed;
        }
    }
    return figures.wrongTotal() == 0 ? 0 : Failed;
}

boost::asio::awaitable<void> runAndStop(load_run &loadRun, result<void> &outcome, boost::asio::io_context &context)
{
    outcome = co_await loadRun.run();
    context.stop();
}

int execute(const tool_options &values)
{
    const result<load_settings> loadSettings = makeLoadSettings(values);
    const result<site_description> site = readSite(values.siteFile);
    if (!loadSettings || !site) {
        logError("load", describe(loadSettings ? site.error() : loadSettings.error()));
        return UsageError;
    }
    boost::asio::io_context context;
    load_run loadRun(context, loadSettings.value(), site.value());
    result<void> outcome = success();
    boost::asio::co_spawn(context, runAndStop(loadRun, outcome, context), boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code interrupted, int) {
        if (!interrupted) {
            context.stop();
        }
    });
    context.run();
    if (!outcome) {
        logError("load", describe(outcome.error()));
        return Failed;
    }
    return report(loadRun.statistics(), values.jsonFile);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    startLogging("balsam-load");
    tool_options values;
    settings options(
        "Sends open-loop load to the front ends and checks each response. Exit code 1: the run failed, a response was wrong or a command ran twice.");
    addOptions(options, values);
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    return execute(values);
}
