#include "control/operator_api.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

constexpr std::size_t MostListedPlans = 200;

unsigned statusOf(const error &failed)
{
    switch (failed.code) {
    case error_code::Invalid:
    case error_code::TooLarge:
        return 400;
    case error_code::NotFound:
        return 404;
    case error_code::Conflict:
        return 409;
    default:
        return 503;
    }
}

http_response failureResponse(const error &failed)
{
    return errorResponse(statusOf(failed), describe(failed));
}

json previewJson(const std::vector<service_preview> &previews)
{
    json list = json::array();
    for (const service_preview &preview : previews) {
        list.push_back({{"service", preview.service},
                        {"slots_before", preview.slotsBefore},
                        {"slots_after", preview.slotsAfter},
                        {"shards_without_replica", preview.shardsWithoutReplica},
                        {"shards_with_one_replica", preview.shardsWithOneReplica}});
    }
    return list;
}

json planJson(const plan &shown)
{
    json value = {{"plan", shown.id},
                  {"digest", shown.digest},
                  {"base_revision", shown.baseRevision},
                  {"state", nameOf(shown.state)},
                  {"steps", shown.steps},
                  {"preview", previewJson(shown.preview)},
                  {"warnings", shown.warnings}};
    if (shown.revision != 0) {
        value["revision"] = shown.revision;
    }
    if (!shown.refusal.empty()) {
        value["refusal"] = shown.refusal;
    }
    return value;
}

/// The same for every attempt to confirm a plan, so that a repeated update can't make a second revision.
std::string nonceOf(const plan &confirmed)
{
    return contentHash(confirmed.id + confirmed.digest);
}

result<std::string> digestOf(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    const bool hasDigest = parsed.is_object() && parsed.contains("digest") && parsed["digest"].is_string();
    if (!hasDigest) {
        return failure(error_code::Invalid, error_step::Validate, "", "field digest is missing or is not a text");
    }
    return parsed["digest"].get<std::string>();
}

} // namespace

operator_api::operator_api(control_core &core, configuration_task &task)
    : m_core(core)
    , m_task(task)
    , m_server(core.context, http_limits(), core.numbers, [this](http_request request) { return handle(std::move(request)); })
{
}

result<void> operator_api::start()
{
    return m_server.listen(m_core.values.instance.local(m_core.values.instance.operatorPort));
}

asio::awaitable<http_response> operator_api::handle(http_request request)
{
    if (auto answer = adminResponse(request, m_core.numbers, m_core.spans, m_core.isReady())) {
        co_return std::move(*answer);
    }
    const std::vector<std::string> path = splitPath(request.path);
    const bool isPlans = path.size() >= 2 && path[0] == "v1" && path[1] == "plans";
    const bool isGet = request.method == "GET";
    if (isPlans && path.size() == 2 && request.method == "POST") {
        co_return co_await makePlanFor(std::move(request.body));
    }
    if (isPlans && path.size() == 4 && path[3] == "confirm" && request.method == "POST") {
        co_return co_await confirm(path[2], std::move(request.body));
    }
    if (isPlans && path.size() == 2 && isGet) {
        co_return co_await listPlans();
    }
    if (isPlans && path.size() == 3 && isGet) {
        co_return co_await showPlan(path[2]);
    }
    if (isGet && request.path == "/v1/configuration") {
        co_return configurationResponse();
    }
    if (isGet && request.path == "/v1/members") {
        co_return membersResponse();
    }
    if (isGet && request.path == "/v1/status") {
        co_return statusResponse();
    }
    co_return errorResponse(404, "no such resource", "path");
}

asio::awaitable<http_response> operator_api::makePlanFor(std::string intentJson)
{
    const auto wanted = parseIntent(intentJson);
    if (!wanted) {
        co_return failureResponse(wanted.error());
    }
    const auto current = co_await m_task.synchronise();
    if (!current) {
        co_return errorResponse(503, "plans need the store: " + describe(current.error()));
    }
    const auto made = makePlan(*m_core.configuration.document(), m_core.configuration.revision(), wanted.value(), intentJson, randomId());
    if (!made) {
        co_return failureResponse(made.error());
    }
    const expected_version absent;
    const auto written = co_await m_core.store->write("plans", made.value().id, absent, planText(made.value()));
    if (!written) {
        co_return failureResponse(written.error());
    }
    m_core.numbers.add("plans_total");
    co_return jsonResponse(201, planJson(made.value()).dump());
}

asio::awaitable<result<operator_api::stored_plan>> operator_api::readPlan(std::string id)
{
    const auto read = co_await m_core.store->read("plans", id);
    if (!read) {
        co_return read.error();
    }
    auto parsed = parsePlan(read.value().value);
    if (!parsed) {
        co_return parsed.error();
    }
    co_return stored_plan{read.value().version, std::move(parsed.value())};
}

asio::awaitable<http_response> operator_api::confirm(std::string id, std::string body)
{
    const auto digest = digestOf(body);
    if (!digest) {
        co_return errorResponse(400, digest.error().message, "digest");
    }
    const auto stored = co_await readPlan(id);
    if (!stored) {
        co_return failureResponse(stored.error());
    }
    const auto current = co_await m_task.synchronise();
    if (!current) {
        co_return errorResponse(503, "plans need the store: " + describe(current.error()));
    }
    const plan &proposed = stored.value().content;
    switch (decideConfirm(proposed, digest.value(), m_core.configuration.revision())) {
    case confirm_decision::WrongDigest:
        co_return errorResponse(409, "the digest is not that of the plan", "digest");
    case confirm_decision::Refused:
        co_return errorResponse(409, "the plan was refused: " + proposed.refusal);
    case confirm_decision::AlreadyApplied:
        co_return appliedResponse(proposed);
    case confirm_decision::Stale:
        co_await recordState(stored.value(), plan_state::Refused, 0, "the base revision is stale");
        co_return staleResponse(proposed);
    case confirm_decision::Settle:
        co_return co_await settlePlan(stored.value(), current.value());
    case confirm_decision::Write:
        co_return co_await apply(stored.value(), current.value());
    }
    co_return errorResponse(500, "unexpected decision");
}

asio::awaitable<result<void>> operator_api::writeSections(configuration_document document)
{
    for (const section_text &section : splitSections(document)) {
        const expected_version absent;
        const auto written = co_await m_core.store->write("sections", section.hash, absent, section.text);
        // Sections are named by their content: one that exists already is the same, whoever wrote it.
        if (written || written.error().code == error_code::Conflict) {
            continue;
        }
        const auto readBack = co_await m_core.store->read("sections", section.hash);
        if (!readBack) {
            co_return written.error();
        }
    }
    co_return success();
}

asio::awaitable<void> operator_api::recordState(stored_plan stored, plan_state state, std::uint64_t revision, std::string refusal)
{
    stored.content.state = state;
    stored.content.revision = revision;
    stored.content.refusal = std::move(refusal);
    const expected_version expected{stored.version};
    const auto written = co_await m_core.store->write("plans", stored.content.id, expected, planText(stored.content));
    if (!written) {
        // The root is what counts; a later confirmation settles the plan from it.
        logWarning("control", "state of plan " + stored.content.id + " was not recorded: " + describe(written.error()));
    }
}

asio::awaitable<http_response> operator_api::apply(stored_plan stored, std::optional<stored_object> rootObject)
{
    const plan &proposed = stored.content;
    const auto wanted = parseIntent(proposed.intentJson);
    if (!wanted) {
        co_return failureResponse(wanted.error());
    }
    const auto document = applyIntent(*m_core.configuration.document(), wanted.value());
    if (!document) {
        co_return failureResponse(document.error());
    }
    const auto prepared = co_await writeSections(document.value());
    if (!prepared) {
        co_return failureResponse(prepared.error());
    }
    const configuration_root base = rootObject ? parseRoot(rootObject->value).value() : configuration_root();
    if (base.revision != proposed.baseRevision) {
        co_return staleResponse(proposed);
    }
    plan_machine machine(proposed.state);
    settle_options options;
    options.isRepeated = machine.isUnsettled();
    if (!options.isRepeated) {
        const bool isAllowed = machine.process(plan_event::Confirm);
        BALSAM_ASSERT(isAllowed);
        stored.content.state = plan_state::Confirming;
        const expected_version expected{stored.version};
        const auto marked = co_await m_core.store->write("plans", proposed.id, expected, planText(stored.content));
        if (!marked) {
            co_return failureResponse(marked.error());
        }
        stored.version = marked.value();
    }
    const std::string nonce = nonceOf(proposed);
    const configuration_root root
        = rootObject ? makeNextRoot(base, document.value(), nonce, proposed.id) : makeRoot(document.value(), proposed.baseRevision + 1, nonce, proposed.id);
    const origin_check check = [&](const stored_object &object) {
        const auto now = parseRoot(object.value);
        const settlement settled = now ? settle(&now.value(), proposed.baseRevision, nonce, proposed.id) : settlement::Unknown;
        if (settled == settlement::Applied) {
            return write_origin::Ours;
        }
        return settled == settlement::Superseded ? write_origin::Other : write_origin::Unclear;
    };
    const expected_version expected{rootObject ? rootObject->version : 0};
    const auto written = co_await settleWrite(*m_core.store, "configuration", "root", expected, rootText(root), check, options);
    if (!written && written.error().code == error_code::Conflict) {
        co_await recordState(stored, plan_state::Refused, 0, "another plan changed the configuration first");
        const auto newest = co_await m_task.synchronise();
        co_return newest ? staleResponse(proposed) : failureResponse(newest.error());
    }
    if (!written) {
        co_return errorResponse(503, "the outcome is not known yet, confirm again: " + describe(written.error()));
    }
    for (const section_text &section : splitSections(document.value())) {
        m_core.configuration.addSection(section);
    }
    m_core.numbers.add("plans_applied_total");
    logInfo("control", "plan " + proposed.id + " made configuration revision " + std::to_string(root.revision));
    const auto newest = co_await m_task.synchronise();
    if (!newest) {
        logWarning("control", "the new configuration could not be read back: " + describe(newest.error()));
    }
    co_await recordState(stored, plan_state::Applied, root.revision, "");
    stored.content.revision = root.revision;
    stored.content.state = plan_state::Applied;
    co_return appliedResponse(stored.content);
}

asio::awaitable<http_response> operator_api::settlePlan(stored_plan stored, std::optional<stored_object> rootObject)
{
    const plan &proposed = stored.content;
    const auto parsed = rootObject ? parseRoot(rootObject->value) : result<configuration_root>(configuration_root());
    if (!parsed) {
        co_return failureResponse(parsed.error());
    }
    switch (settle(rootObject ? &parsed.value() : nullptr, proposed.baseRevision, nonceOf(proposed), proposed.id)) {
    case settlement::Unwritten:
        // The same nonce and condition: at most one of the updates takes effect.
        co_return co_await apply(std::move(stored), std::move(rootObject));
    case settlement::Applied:
        co_await recordState(stored, plan_state::Applied, proposed.baseRevision + 1, "");
        stored.content.revision = proposed.baseRevision + 1;
        stored.content.state = plan_state::Applied;
        co_return appliedResponse(stored.content);
    case settlement::Superseded:
        co_await recordState(stored, plan_state::Refused, 0, "another plan changed the configuration first");
        co_return staleResponse(proposed);
    case settlement::Unknown:
        break;
    }
    co_return errorResponse(409, "too many revisions came after the plan to tell whether it was applied");
}

http_response operator_api::staleResponse(const plan &proposed) const
{
    json changes = json::array();
    if (const document_pointer base = m_core.configuration.find(proposed.baseRevision)) {
        changes = describeChanges(*base, *m_core.configuration.document());
    }
    const json value = {
        {"error", "the base revision is stale"}, {"base_revision", proposed.baseRevision}, {"revision", m_core.configuration.revision()}, {"changes", changes}};
    return jsonResponse(409, value.dump());
}

http_response operator_api::appliedResponse(const plan &applied) const
{
    json confirmed = json::array();
    json waiting = json::array();
    for (const listed_member &member : m_core.node.list().members) {
        const std::string &instance = member.entry.instance;
        (m_core.node.appliedRevision(instance) >= applied.revision ? confirmed : waiting).push_back(instance);
    }
    const json value = {{"plan", applied.id},
                        {"state", nameOf(applied.state)},
                        {"revision", applied.revision},
                        {"confirmed_by", std::move(confirmed)},
                        {"waiting_for", std::move(waiting)}};
    return jsonResponse(200, value.dump());
}

asio::awaitable<http_response> operator_api::listPlans()
{
    const auto listed = co_await m_core.store->list("plans");
    if (!listed) {
        co_return failureResponse(listed.error());
    }
    json plans = json::array();
    for (const object_listing &entry : listed.value()) {
        if (plans.size() < MostListedPlans) {
            plans.push_back(entry.name);
        }
    }
    co_return jsonResponse(200, json{{"plans", std::move(plans)}, {"total", listed.value().size()}}.dump());
}

asio::awaitable<http_response> operator_api::showPlan(std::string id)
{
    const auto stored = co_await readPlan(id);
    if (!stored) {
        co_return failureResponse(stored.error());
    }
    json value = planJson(stored.value().content);
    if (stored.value().content.state == plan_state::Applied) {
        const json progress = json::parse(appliedResponse(stored.value().content).body);
        value["confirmed_by"] = progress["confirmed_by"];
        value["waiting_for"] = progress["waiting_for"];
    }
    co_return jsonResponse(200, value.dump());
}

http_response operator_api::configurationResponse() const
{
    const json value = {{"revision", m_core.configuration.revision()}, {"document", json::parse(m_core.configuration.text())}};
    return jsonResponse(200, value.dump());
}

http_response operator_api::membersResponse() const
{
    const auto now = boot_clock::now();
    json members = json::array();
    for (const listed_member &member : m_core.node.list().members) {
        const member_entry &entry = member.entry;
        members.push_back({{"instance", entry.instance},
                           {"data_centre", entry.dataCentre},
                           {"front", entry.frontEndpoint},
                           {"operator", entry.operatorEndpoint},
                           {"leaving", entry.leaving},
                           {"alive", m_core.node.isAlive(entry.instance, now)},
                           {"applied_revision", m_core.node.appliedRevision(entry.instance)}});
    }
    return jsonResponse(200, json{{"version", m_core.node.list().version}, {"members", std::move(members)}}.dump());
}

http_response operator_api::statusResponse() const
{
    const auto now = boot_clock::now();
    const auto left = [&](boot_clock::time_point until) { return std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count(); };
    const json value = {{"instance", m_core.values.instance.instance},
                        {"incarnation", m_core.node.incarnation()},
                        {"ready", m_core.isReady()},
                        {"stopping", m_core.stopping},
                        {"state", nameOf(m_core.node.state())},
                        {"entitled_for_ms", left(m_core.node.entitledUntil(now))},
                        {"accepting_for_ms", left(m_core.acceptUntil())},
                        {"controller", m_core.node.isController(now)},
                        {"revision", m_core.configuration.revision()},
                        {"member_list_version", m_core.node.list().version},
                        {"owned_targets", m_core.node.actionable()}};
    return jsonResponse(200, value.dump());
}

} // namespace balsamhook
