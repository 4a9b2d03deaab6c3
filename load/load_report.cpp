#include "load/load_report.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using nlohmann::json;

double toMilliseconds(std::chrono::microseconds time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

/// Returns the average over the answered queries that passed the check; 1 when there are none, and for commands.
double averageCoverage(const service_statistics &service)
{
    const std::uint64_t checked = service.answered - service.wrong;
    return service.isCommand || checked == 0 ? 1.0 : service.coverageSum / static_cast<double>(checked);
}

json serviceJson(const service_statistics &service)
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
            {"p50_ms", toMilliseconds(service.latency.quantile(0.5))},
            {"p99_ms", toMilliseconds(service.latency.quantile(0.99))},
            {"p999_ms", toMilliseconds(service.latency.quantile(0.999))},
            {"max_ms", toMilliseconds(service.latency.maximum())}};
}

template<class... Values>
std::string formatLine(const char *format, Values... values)
{
    char text[256];
    std::snprintf(text, sizeof(text), format, values...);
    return text;
}

std::string serviceRow(const std::string &name, const service_statistics &service)
{
    return formatLine("%-18s %8llu %8llu %7llu %7llu %7llu %7llu %6llu %8.5f %8.1f %8.1f %8.1f %8.1f\n",
                      name.c_str(),
                      static_cast<unsigned long long>(service.sent),
                      static_cast<unsigned long long>(service.answered),
                      static_cast<unsigned long long>(service.notRun),
                      static_cast<unsigned long long>(service.unknown),
                      static_cast<unsigned long long>(service.refused + service.broken),
                      static_cast<unsigned long long>(service.partial),
                      static_cast<unsigned long long>(service.wrong),
                      averageCoverage(service),
                      toMilliseconds(service.latency.quantile(0.5)),
                      toMilliseconds(service.latency.quantile(0.99)),
                      toMilliseconds(service.latency.quantile(0.999)),
                      toMilliseconds(service.latency.maximum()));
}

} // namespace

std::string reportTable(const load_statistics &statistics)
{
    std::string text = formatLine("%-18s %8s %8s %7s %7s %7s %7s %6s %8s %8s %8s %8s %8s\n",
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
    for (const auto &[name, service] : statistics.services) {
        text += serviceRow(name, service);
    }
    const command_check &commands = statistics.commands;
    if (commands.done) {
        text += formatLine("commands: %llu keys sent, %llu executed, %llu more than once, %llu executed despite not_run, %llu answered but not executed\n",
                           static_cast<unsigned long long>(commands.keysSent),
                           static_cast<unsigned long long>(commands.keysRun),
                           static_cast<unsigned long long>(commands.ranMoreThanOnce),
                           static_cast<unsigned long long>(commands.notRunButRan),
                           static_cast<unsigned long long>(commands.answeredButNotRun));
    }
    text += formatLine("not sent: %llu, resent: %llu, maximum scheduling lag: %.1f ms\n",
                       static_cast<unsigned long long>(statistics.notSent),
                       static_cast<unsigned long long>(statistics.resent),
                       toMilliseconds(statistics.maxLag));
    for (const std::string &sample : statistics.samples) {
        text += "  " + sample + "\n";
    }
    return text;
}

std::string reportJson(const load_statistics &statistics)
{
    json report;
    report["services"] = json::object();
    for (const auto &[name, service] : statistics.services) {
        report["services"][name] = serviceJson(service);
    }
    report["seconds"] = json::array();
    for (const second_statistics &second : statistics.seconds) {
        report["seconds"].push_back(
            {{"sent", second.sent}, {"answered", second.answered}, {"partial", second.partial}, {"max_ms", toMilliseconds(second.maxLatency)}});
    }
    const command_check &commands = statistics.commands;
    report["commands"] = {{"checked", commands.done},
                          {"keys_sent", commands.keysSent},
                          {"keys_run", commands.keysRun},
                          {"ran_more_than_once", commands.ranMoreThanOnce},
                          {"not_run_but_ran", commands.notRunButRan},
                          {"answered_but_not_run", commands.answeredButNotRun}};
    report["index_versions"] = statistics.indexVersions;
    report["not_sent"] = statistics.notSent;
    report["resent"] = statistics.resent;
    report["address_refreshes"] = statistics.addressRefreshes;
    report["highest_lag_ms"] = toMilliseconds(statistics.maxLag);
    report["wrong_total"] = statistics.wrongTotal();
    report["samples"] = statistics.samples;
    return report.dump(2);
}

} // namespace balsamhook
