#include "base/base.h"
#include "programs/operator_client.h"
#include "programs/plan_printer.h"
#include "programs/trace_tree.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using namespace balsamhook;
using nlohmann::json;

namespace
{

/// Exit codes of the program.
enum class exit_code : std::uint8_t {
    Done = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
};

struct command_line
{
    endpoint controller{"127.0.0.1", 7080};
    std::chrono::milliseconds timeout{10000};
    std::chrono::milliseconds wait{5000};
    bool yes = false;
    bool rawJson = false;
    std::string file;
    std::string name;
    std::string planId;
    std::string trace;
    std::int64_t dispatchHttpPort = 7081;
    bool override = false;
    std::string dataCentre;
    std::string address;
    std::string service;
    std::string shard;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    std::uint32_t coldSlots = 1;
    // Options of the policy command; negative when not given.
    std::int64_t deadline = -1;
    std::int64_t answerAfter = -1;
    double minimumCoverage = -1.0;
    double hedgePercent = -1.0;
};

exit_code reportUnreachable(const error &failed)
{
    std::cerr << "balsamctl: " << describe(failed) << "\n";
    return exit_code::Unreachable;
}

exit_code reportRefusal(const http_response &response)
{
    std::cerr << formatRefusal(response.status, response.body);
    return exit_code::Refused;
}

bool isSuccess(const http_response &response)
{
    return response.status >= 200 && response.status < 300;
}

result<std::string> readInput(const std::string &file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream stream(file);
    if (!stream) {
        return failure(error_code::NotFound, error_step::Settings, "", "file " + file + " cannot be read");
    }
    text << stream.rdbuf();
    return text.str();
}

/// Implements the commands of the program. Each of them sends its requests to one controller.
class operator_commands
{
public:
    explicit operator_commands(const command_line &values)
        : m_values(values)
        , m_client(values.controller, values.timeout)
    {
    }

    exit_code show(const std::string &path) const
    {
        const result<http_response> response = m_client.call("GET", path);
        if (!response) {
            return reportUnreachable(response.error());
        }
        if (!isSuccess(response.value())) {
            return reportRefusal(response.value());
        }
        std::cout << (m_values.rawJson ? response.value().body + "\n" : formatJson(response.value().body));
        return exit_code::Done;
    }

    /// Makes a plan from a file that contains an intent or a configuration document to apply.
    exit_code planFile(bool confirm) const
    {
        const result<std::string> text = readInput(m_values.file);
        if (!text) {
            std::cerr << "balsamctl: " << describe(text.error()) << "\n";
            return exit_code::Usage;
        }
        const json content = json::parse(text.value(), nullptr, false);
        if (!content.is_object()) {
            std::cerr << "balsamctl: " << m_values.file << " is not a JSON object\n";
            return exit_code::Usage;
        }
        return plan(content.contains("intent") ? content : json{{"intent", "apply_configuration"}, {"document", content}}, confirm);
    }

    exit_code plan(const json &intent, bool confirm) const
    {
        const result<http_response> response = m_client.call("POST", "/v1/plans", intent.dump());
        if (!response) {
            return reportUnreachable(response.error());
        }
        if (!isSuccess(response.value())) {
            return reportRefusal(response.value());
        }
        return confirm ? showAndConfirm(response.value().body) : showPlan(response.value().body);
    }

    exit_code showPlan(const std::string &body) const
    {
        std::cout << (m_values.rawJson ? body + "\n" : formatPlan(body)) << std::flush;
        return exit_code::Done;
    }

    exit_code readPlan(bool confirm) const
    {
        const result<http_response> response = m_client.call("GET", "/v1/plans/" + m_values.planId);
        if (!response) {
            return reportUnreachable(response.error());
        }
        if (!isSuccess(response.value())) {
            return reportRefusal(response.value());
        }
        return confirm ? showAndConfirm(response.value().body) : showPlan(response.value().body);
    }

    exit_code trace() const
    {
        const result<http_response> members = m_client.call("GET", "/v1/members");
        if (!members) {
            return reportUnreachable(members.error());
        }
        trace_tree tree;
        for (const endpoint &program : programEndpoints(members.value().body)) {
            const result<http_response> spans = m_client.get(program, "/v1/spans", "trace", m_values.trace);
            if (!spans || !tree.add(spans.value().body)) {
                std::cerr << "balsamctl: no spans from " << describe(program) << "\n";
            }
        }
        if (tree.isEmpty()) {
            std::cerr << "balsamctl: no program has spans of trace " << m_values.trace << "\n";
            return exit_code::Refused;
        }
        std::cout << tree.text();
        return exit_code::Done;
    }

private:
    bool isConfirmed() const
    {
        if (m_values.yes) {
            return true;
        }
        std::cout << "Confirm this plan? [yes/no] " << std::flush;
        std::string input;
        std::getline(std::cin, input);
        return input == "yes" || input == "y";
    }

    exit_code showAndConfirm(const std::string &body) const
    {
        showPlan(body);
        const json plan = json::parse(body, nullptr, false);
        if (!plan.is_object() || !plan.contains("plan") || !plan.contains("digest")) {
            std::cerr << "balsamctl: the controller's response has no plan or no digest\n";
            return exit_code::Refused;
        }
        if (!isConfirmed()) {
            std::cout << "not confirmed; no change was made\n";
            return exit_code::Refused;
        }
        const std::string id = plan.at("plan").get<std::string>();
        const result<http_response> response = m_client.call("POST", "/v1/plans/" + id + "/confirm", json{{"digest", plan.at("digest")}}.dump());
        if (!response) {
            return reportUnreachable(response.error());
        }
        if (!isSuccess(response.value())) {
            return reportRefusal(response.value());
        }
        const std::string progress = waitUntilApplied(id, response.value().body);
        std::cout << (m_values.rawJson ? progress + "\n" : formatJson(progress));
        return exit_code::Done;
    }

    /// Polls the progress of an applied plan until all instances have applied it, for at most the wait time, and returns it as JSON.
    std::string waitUntilApplied(const std::string &id, std::string progress) const
    {
        constexpr std::chrono::milliseconds PollInterval{100};
        const auto limit = boot_clock::now() + m_values.wait;
        while (boot_clock::now() < limit) {
            const json state = json::parse(progress, nullptr, false);
            if (!state.is_object() || !state.contains("waiting_for") || state.at("waiting_for").empty()) {
                break;
            }
            std::this_thread::sleep_for(PollInterval);
            const result<http_response> newer = m_client.call("GET", "/v1/plans/" + id);
            if (newer && isSuccess(newer.value())) {
                progress = progressOf(json::parse(newer.value().body, nullptr, false)).dump();
            }
        }
        return progress;
    }

    static json progressOf(const json &plan)
    {
        json progress;
        for (const char *field : {"plan", "state", "revision", "confirmed_by", "waiting_for"}) {
            if (plan.is_object() && plan.contains(field)) {
                progress[field] = plan.at(field);
            }
        }
        return progress;
    }

    /// The HTTP addresses of all programs of all members.
    std::set<endpoint> programEndpoints(const std::string &members) const
    {
        std::set<endpoint> programs;
        const json body = json::parse(members, nullptr, false);
        const json list = body.is_object() ? body.value("members", json::array()) : body;
        for (const json &member : list) {
            addEndpoint(programs, member, "front", 0);
            addEndpoint(programs, member, "operator", 0);
            // The dispatcher's HTTP port is not in the member list; all programs of an instance share its address.
            addEndpoint(programs, member, "front", m_values.dispatchHttpPort);
        }
        return programs;
    }

    static void addEndpoint(std::set<endpoint> &programs, const json &member, const std::string &field, std::int64_t portOverride)
    {
        if (!member.is_object() || !member.contains(field) || !member.at(field).is_string()) {
            return;
        }
        const result<endpoint> parsed = parseEndpoint(member.at(field).get<std::string>());
        if (parsed) {
            programs.insert({parsed.value().address, portOverride == 0 ? parsed.value().port : static_cast<std::uint16_t>(portOverride)});
        }
    }

    const command_line &m_values;
    operator_client m_client;
};

json dataCentreIntent(const command_line &values, const char *kind)
{
    json content{{"intent", kind}, {"data_centre", values.name}};
    if (values.override) {
        content["override"] = true;
    }
    return content;
}

json addTargetIntent(const command_line &values)
{
    const json target{{"name", values.name},
                      {"data_centre", values.dataCentre},
                      {"address", values.address},
                      {"slots", values.slots},
                      {"connections", values.connections},
                      {"cold_slots", values.coldSlots},
                      {"state", "in"}};
    return {{"intent", "add_target"}, {"target", target}, {"service", values.service}, {"shard", values.shard}};
}

json retireTargetIntent(const command_line &values)
{
    json content{{"intent", "retire_target"}, {"target", values.name}};
    if (values.override) {
        content["override"] = true;
    }
    return content;
}

json policyIntent(const command_line &values)
{
    json content{{"intent", "set_service_policy"}, {"service", values.service}};
    if (values.deadline >= 0) {
        content["deadline_ms"] = values.deadline;
    }
    if (values.minimumCoverage >= 0.0) {
        content["minimum_coverage"] = values.minimumCoverage;
    }
    if (values.answerAfter >= 0) {
        content["answer_after_ms"] = values.answerAfter;
    }
    if (values.hedgePercent >= 0.0) {
        content["hedge_percent"] = values.hedgePercent;
    }
    return content;
}

using command_action = std::function<exit_code(const operator_commands &)>;

void addReadCommands(CLI::App &app, command_line &values, command_action &selected)
{
    const auto add = [&app, &selected](const std::string &name, const std::string &help, const std::string &path) {
        app.add_subcommand(name, help)->callback([&selected, path] { selected = [path](const operator_commands &commands) { return commands.show(path); }; });
    };
    add("plans", "list the plans", "/v1/plans");
    add("configuration", "show the active configuration", "/v1/configuration");
    add("members", "show the instances", "/v1/members");
    add("status", "show the state of the controller", "/v1/status");
    CLI::App *trace = app.add_subcommand("trace", "print the spans of one trace from all instances as a tree");
    trace->add_option("id", values.trace, "trace id (32 hexadecimal digits)")->required();
    trace->add_option("--dispatch-http-port", values.dispatchHttpPort, "HTTP port of the dispatchers [7081]")->check(CLI::Range(1, 65535));
    trace->callback([&selected] { selected = [](const operator_commands &commands) { return commands.trace(); }; });
}

void addPlanCommands(CLI::App &app, command_line &values, command_action &selected)
{
    CLI::App *plan = app.add_subcommand("plan", "make a plan from an intent or a configuration document, without confirming it");
    plan->add_option("file", values.file, "JSON file, or - for standard input")->required();
    plan->callback([&selected] { selected = [](const operator_commands &commands) { return commands.planFile(false); }; });
    CLI::App *apply = app.add_subcommand("apply", "make a plan, show it and confirm it");
    apply->add_option("file", values.file, "JSON file, or - for standard input (needs --yes)")->required();
    apply->callback([&selected] { selected = [](const operator_commands &commands) { return commands.planFile(true); }; });
    CLI::App *show = app.add_subcommand("show", "show one plan");
    show->add_option("plan", values.planId, "id of the plan")->required();
    show->callback([&selected] { selected = [](const operator_commands &commands) { return commands.readPlan(false); }; });
    CLI::App *confirm = app.add_subcommand("confirm", "show a plan and confirm it");
    confirm->add_option("plan", values.planId, "id of the plan")->required();
    confirm->callback([&selected] { selected = [](const operator_commands &commands) { return commands.readPlan(true); }; });
}

void addIntent(CLI::App *command, command_line &values, command_action &selected, json (*makeIntent)(const command_line &))
{
    command->callback([&values, &selected, makeIntent] {
        const json intent = makeIntent(values);
        selected = [intent](const operator_commands &commands) { return commands.plan(intent, true); };
    });
}

void addDataCentreCommands(CLI::App &app, command_line &values, command_action &selected)
{
    CLI::App *dataCentre = app.add_subcommand("data-centre", "take a data centre out of service or bring it back")->require_subcommand(1);
    CLI::App *out = dataCentre->add_subcommand("out", "take it out of service");
    out->add_option("name", values.name, "name of the data centre")->required();
    out->add_flag("--override", values.override, "allow it even when a shard loses its last usable replica");
    addIntent(out, values, selected, [](const command_line &commandLine) { return dataCentreIntent(commandLine, "take_out_data_centre"); });
    CLI::App *in = dataCentre->add_subcommand("in", "bring it back");
    in->add_option("name", values.name, "name of the data centre")->required();
    addIntent(in, values, selected, [](const command_line &commandLine) { return dataCentreIntent(commandLine, "bring_back_data_centre"); });
}

void addTargetCommands(CLI::App &app, command_line &values, command_action &selected)
{
    CLI::App *target = app.add_subcommand("target", "add or retire a target")->require_subcommand(1);
    CLI::App *add = target->add_subcommand("add", "add a target to a shard");
    add->add_option("name", values.name, "name of the target")->required();
    add->add_option("--data-centre", values.dataCentre, "its data centre")->required();
    add->add_option("--address", values.address, "IP:PORT")->required();
    add->add_option("--service", values.service, "service it belongs to")->required();
    add->add_option("--shard", values.shard, "shard it holds")->required();
    add->add_option("--slots", values.slots, "limit of concurrent requests [2]");
    add->add_option("--connections", values.connections, "limit of connections that it accepts [25]");
    add->add_option("--cold-slots", values.coldSlots, "limit of concurrent requests during cold start [1]");
    addIntent(add, values, selected, addTargetIntent);
    CLI::App *retire = target->add_subcommand("retire", "stop sending new requests to a target");
    retire->add_option("name", values.name, "name of the target")->required();
    retire->add_flag("--override", values.override, "allow it even when a shard loses its last usable replica");
    addIntent(retire, values, selected, retireTargetIntent);
}

void addPolicyCommand(CLI::App &app, command_line &values, command_action &selected)
{
    CLI::App *policy = app.add_subcommand("policy", "change the policy of a service");
    policy->add_option("service", values.service, "name of the service")->required();
    policy->add_option("--deadline-ms", values.deadline, "deadline of requests without one")->check(CLI::NonNegativeNumber);
    policy->add_option("--minimum-coverage", values.minimumCoverage, "minimum acceptable coverage, 0 to 1")->check(CLI::Range(0.0, 1.0));
    policy->add_option("--answer-after-ms", values.answerAfter, "respond with the available parts after this time; 0: wait for all parts")
        ->check(CLI::NonNegativeNumber);
    policy->add_option("--hedge-percent", values.hedgePercent, "extra attempts as a share of first attempts, 0 to 100")->check(CLI::Range(0.0, 100.0));
    addIntent(policy, values, selected, policyIntent);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    command_line values;
    command_action selected;
    settings options("Operators' tool of balsamhook. Exit codes: 0 done, 1 refused, 2 usage, 3 controller unreachable.");
    options.addEndpoint("controller", values.controller, "operators' HTTP endpoint of any controller [127.0.0.1:7080]");
    options.addDuration("timeout-ms", values.timeout, std::chrono::milliseconds(100), std::chrono::milliseconds(120000), "how long to wait for the controller");
    options.addDuration("wait-ms",
                        values.wait,
                        std::chrono::milliseconds(0),
                        std::chrono::milliseconds(120000),
                        "how long to wait after a confirmation until all instances have applied the plan");
    options.addFlag("yes", values.yes, "confirm plans without a prompt");
    options.addFlag("json", values.rawJson, "print the controller's responses as raw JSON");
    CLI::App &app = options.application();
    app.require_subcommand(1);
    app.fallthrough();
    addReadCommands(app, values, selected);
    addPlanCommands(app, values, selected);
    addDataCentreCommands(app, values, selected);
    addTargetCommands(app, values, selected);
    addPolicyCommand(app, values, selected);
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode == 0 ? 0 : static_cast<int>(exit_code::Usage);
    }
    return static_cast<int>(selected(operator_commands(values)));
}
