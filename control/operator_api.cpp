#include "control/operator_api.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

constexpr std::size_t MaxListedPlans = 200;

unsigned httpStatusOf(const error &failed)
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
    return errorResponse(httpStatusOf(failed), describe(failed));
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

result<std::string> parseDigest(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    const bool hasDigest = parsed.is_object() && parsed.contains("digest") && parsed["digest"].is_string();
    if (!hasDigest) {
        return failure(error_code::Invalid, error_step::Validate, "", "field digest is missing or is not a string");
    }
    return parsed["digest"].get<std::string>();
}

} // namespace

operator_api::operator_api(control_core &core, configuration_task &task)
    : m_core(core)
    , m_configurationTask(task)
    , m_server(core.context, core.settings.instance.adminLimits(), core.metrics, [this](http_request request) { return handle(std::move(request)); })
{
}

result<void> operator_api::start()
{
    return m_server.listen(m_core.settings.instance.listenEndpoint(m_core.settings.instance.operatorPort));
}

asio::awaitable<http_response> operator_api::handle(http_request request)
{
    if (auto response = adminResponse(request, m_core.metrics, m_core.spans, m_core.isReady())) {
        co_return std::move(*response);
    }
    const std::vector<std::string> path = splitPath(request.path);
    const bool isPlansPath = path.size() >= 2 && path[0] == "v1" && path[1] == "plans";
    const bool isGet = request.method == "GET";
    if (isPlansPath && path.size() == 2 && request.method == "POST") {
        co_return co_await createPlan(std::move(request.body));
    }
    if (isPlansPath && path.size() == 4 && path[3] == "confirm" && request.method == "POST") {
        co_return co_await confirm(path[2], std::move(request.body));
    }
    if (isPlansPath && path.size() == 2 && isGet) {
        co_return co_await listPlans();
    }
    if (isPlansPath && path.size() == 3 && isGet) {
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

asio::awaitable<http_response> operator_api::createPlan(std::string intentJson)
{
    const std::string id = randomId();
    const auto created = co_await proposePlan(*m_core.store, std::move(intentJson), id);
    if (!created) {
        co_return failureResponse(created.error());
    }
    m_core.metrics.add("plans_total");
    co_return jsonResponse(201, planJson(created.value()).dump());
}

asio::awaitable<http_response> operator_api::confirm(std::string id, std::string body)
{
    const auto digest = parseDigest(body);
    if (!digest) {
        co_return errorResponse(400, digest.error().message, "digest");
    }
    const auto proposed = co_await readPlan(*m_core.store, id);
    if (!proposed) {
        co_return failureResponse(proposed.error());
    }
    if (proposed.value().digest != digest.value()) {
        co_return errorResponse(409, "digest does not match the plan", "digest");
    }
    const std::string nonce = randomId();
    const settle_options options;
    const auto confirmation = co_await confirmPlan(*m_core.store, id, digest.value(), nonce, options);
    if (!confirmation) {
        co_return failureResponse(confirmation.error());
    }
    const auto newest = co_await m_configurationTask.synchronise();
    if (!newest) {
        logWarning("control", "cannot read the configuration after a confirmation: " + describe(newest.error()));
    }
    const plan &confirmed = confirmation.value().confirmed;
    if (confirmed.state != plan_state::Applied) {
        co_return staleResponse(confirmation.value());
    }
    m_core.metrics.add("plans_applied_total");
    logInfo("control", "plan " + confirmed.id + " was applied as configuration revision " + std::to_string(confirmed.revision));
    co_return appliedResponse(confirmed);
}

http_response operator_api::staleResponse(const confirm_response &confirmation) const
{
    const json value = {{"error", "the base revision is stale"},
                        {"base_revision", confirmation.confirmed.baseRevision},
                        {"revision", m_core.configuration.revision()},
                        {"changes", confirmation.changes}};
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
        if (plans.size() < MaxListedPlans) {
            plans.push_back(entry.name);
        }
    }
    co_return jsonResponse(200, json{{"plans", std::move(plans)}, {"total", listed.value().size()}}.dump());
}

asio::awaitable<http_response> operator_api::showPlan(std::string id)
{
    const auto stored = co_await readPlan(*m_core.store, id);
    if (!stored) {
        co_return failureResponse(stored.error());
    }
    json value = planJson(stored.value());
    if (stored.value().state == plan_state::Applied) {
        const json progress = json::parse(appliedResponse(stored.value()).body);
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
    const auto remainingMs = [&](boot_clock::time_point until) { return std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count(); };
    const json value = {{"instance", m_core.settings.instance.instance},
                        {"incarnation", m_core.node.incarnation()},
                        {"ready", m_core.isReady()},
                        {"stopping", m_core.stopping},
                        {"state", nameOf(m_core.node.state())},
                        {"entitled_for_ms", remainingMs(m_core.node.entitledUntil(now))},
                        {"accepting_for_ms", remainingMs(m_core.acceptUntil())},
                        {"controller", m_core.node.isController(now)},
                        {"revision", m_core.configuration.revision()},
                        {"member_list_version", m_core.node.list().version},
                        {"owned_targets", m_core.node.actionableTargets()}};
    return jsonResponse(200, value.dump());
}

} // namespace balsamhook
