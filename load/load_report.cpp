#include "load/load_report.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using nlohmann::json;

double milliseconds(std::chrono::microseconds time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

/// Average over answered queries; 1 when there were none.
double averageCoverage(const service_figures &service)
{
    const std::uint64_t checked = service.answered - service.wrong;
    return service.isCommand || checked == 0 ? 1.0 : service.coverageSum / static_cast<double>(checked);
}

json serviceJson(const service_figures &service)
{
    return {{"kind", service.isCommand ? "command" : "query"},
            {"sent", service.sent},
            {"answered", service.answered},
            {"not_run", service.notRun},
            {"unknown", service.unknown},
            {"refused", service.refused},
            {"broken", service.broken},
            {"wrong", service.wrong},
            {"partial", service.partial},
            {"coverage", averageCoverage(service)},
            {"p50_ms", milliseconds(service.latency.quantile(0.5))},
            {"p99_ms", milliseconds(service.latency.quantile(0.99))},
            {"p999_ms", milliseconds(service.latency.quantile(0.999))},
            {"max_ms", milliseconds(service.latency.highest())}};
}

template<class... Values>
std::string line(const char *format, Values... values)
{
    char text[256];
    std::snprintf(text, sizeof(text), format, values...);
    return text;
}

std::string serviceRow(const std::string &name, const service_figures &service)
{
    return line("%-18s %8llu %8llu %7llu %7llu %7llu %7llu %6llu %8.5f %8.1f %8.1f %8.1f %8.1f\n",
                name.c_str(),
                static_cast<unsigned long long>(service.sent),
                static_cast<unsigned long long>(service.answered),
                static_cast<unsigned long long>(service.notRun),
                static_cast<unsigned long long>(service.unknown),
                static_cast<unsigned long long>(service.refused + service.broken),
                static_cast<unsigned long long>(service.partial),
                static_cast<unsigned long long>(service.wrong),
                averageCoverage(service),
                milliseconds(service.latency.quantile(0.5)),
                milliseconds(service.latency.quantile(0.99)),
                milliseconds(service.latency.quantile(0.999)),
                milliseconds(service.latency.highest()));
}

} // namespace

std::string reportTable(const load_figures &figures)
{
    std::string text = line("%-18s %8s %8s %7s %7s %7s %7s %6s %8s %8s %8s %8s %8s\n",
                            "service",
                            "sent",
                            "answered",
                            "not_run",
                            "unknown",
                            "failed",
                            "partial",
                            "wrong",
                            "coverage",
                            "p50 ms",
                            "p99 ms",
                            "p99.9 ms",
                            "max ms");
    for (const auto &[name, service] : figures.services) {
        text += serviceRow(name, service);
    }
    const command_check &commands = figures.commands;
    if (commands.done) {
        text += line("commands: %llu keys sent, %llu run, %llu more than once, %llu run though not_run, %llu answered though not run\n",
                     static_cast<unsigned long long>(commands.keysSent),
                     static_cast<unsigned long long>(commands.keysRun),
                     static_cast<unsigned long long>(commands.ranMoreThanOnce),
                     static_cast<unsigned long long>(commands.notRunButRan),
                     static_cast<unsigned long long>(commands.answeredButNotRun));
    }
    text += line("not sent: %llu, sent again: %llu, longest lag of the tool: %.1f ms\n",
                 static_cast<unsigned long long>(figures.notSent),
                 static_cast<unsigned long long>(figures.resent),
                 milliseconds(figures.highestLag));
    for (const std::string &sample : figures.samples) {
        text += "  " + sample + "\n";
    }
    return text;
}

std::string reportJson(const load_figures &figures)
{
    json report;
    report["services"] = json::object();
    for (const auto &[name, service] : figures.services) {
        report["services"][name] = serviceJson(service);
    }
    report["seconds"] = json::array();
    for (const second_figures &second : figures.seconds) {
        report["seconds"].push_back(
            {{"sent", second.sent}, {"answered", second.answered}, {"partial", second.partial}, {"max_ms", milliseconds(second.highestLatency)}});
    }
    const command_check &commands = figures.commands;
    report["commands"] = {{"checked", commands.done},
                          {"keys_sent", commands.keysSent},
                          {"keys_run", commands.keysRun},
                          {"ran_more_than_once", commands.ranMoreThanOnce},
                          {"not_run_but_ran", commands.notRunButRan},
                          {"answered_but_not_run", commands.answeredButNotRun}};
    report["index_versions"] = figures.indexVersions;
    report["not_sent"] = figures.notSent;
    report["resent"] = figures.resent;
    report["address_refreshes"] = figures.addressRefreshes;
    report["highest_lag_ms"] = milliseconds(figures.highestLag);
    report["wrong_total"] = figures.wrongTotal();
    report["samples"] = figures.samples;
    return report.dump(2);
}

} // namespace balsamhook
