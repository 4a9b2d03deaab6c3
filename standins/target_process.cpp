#include "standins/target_process.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds DefaultDownTime{500};
constexpr std::chrono::milliseconds DefaultStagger{5};

json targetReport(const target_server &target)
{
    const target_statistics &statistics = target.model().statistics();
    return {{"name", target.description().name},
            {"service", target.description().service},
            {"data_centre", target.description().dataCentre},
            {"state", target.model().stateName(boot_clock::now())},
            {"searches", statistics.searches},
            {"executions", statistics.executions},
            {"peak_concurrent", statistics.peakConcurrent},
            {"peak_connections", statistics.peakConnections},
            {"connections", target.model().connections()},
            {"cold_violations", statistics.coldViolations},
            {"connection_violations", statistics.connectionViolations},
            {"shed", statistics.shed},
            {"crashes", statistics.crashes},
            {"last_new_work_ms", target.lastNewWork().count()}};
}

void applyState(target_model &model, const std::string &state)
{
    if (state != "cold" && state != "warm" && state != "draining") {
        throw std::runtime_error("state is '" + state + "', allowed are cold, warm, draining");
    }
    model.setDraining(state == "draining");
    if (state == "cold") {
        model.makeCold(boot_clock::now());
    }
    if (state == "warm") {
        model.makeWarm();
    }
}

void applyChange(target_server &target, const json &change)
{
    for (const auto &[field, value] : change.items()) {
        if (field == "state") {
            applyState(target.model(), value.get<std::string>());
        } else if (field == "delay_ms") {
            target.model().setExtraDelay(std::chrono::milliseconds(value.get<std::int64_t>()));
        } else if (field == "silent" && value.is_string() && value == "open") {
            target.silenceOpenConnections();
        } else if (field == "silent") {
            target.setSilent(value.get<bool>());
        } else if (field == "restart") {
            if (value.get<bool>()) {
                target.restart(std::chrono::milliseconds(change.value("down_ms", DefaultDownTime.count())));
            }
        } else if (field != "down_ms") {
            throw std::runtime_error("unknown field " + field);
        }
    }
}

} // namespace

target_process::target_process(asio::io_context &context, site_description site, counters &metrics)
    : m_context(context)
    , m_site(std::move(site))
    , m_admin(context, http_limits{}, metrics, [this](http_request request) { return respond(std::move(request)); })
{
    for (const site_service &service : m_site.services) {
        m_data[service.name] = std::make_unique<service_data>(service_data{data_set(service.behaviour.data), m_ledger});
        m_latestSnapshots[service.name] = {service.layoutEpoch, 1};
    }
    for (const site_target &target : m_site.targets) {
        const site_service &service = *m_site.findService(target.service);
        m_targets.push_back(std::make_unique<target_server>(context, target, service.behaviour, *m_data[service.name], m_latestSnapshots[service.name]));
    }
}

result<void> target_process::start(const endpoint &admin)
{
    for (const auto &target : m_targets) {
        BOOST_OUTCOME_TRY(target->start());
    }
    return m_admin.listen(admin);
}

void target_process::stop()
{
    m_admin.stop();
    for (const auto &target : m_targets) {
        target->stop();
    }
}

std::string target_process::report() const
{
    json targets = json::array();
    std::uint64_t violations = 0;
    for (const auto &target : m_targets) {
        targets.push_back(targetReport(*target));
        violations += target->model().statistics().coldViolations + target->model().statistics().connectionViolations;
    }
    return json{{"targets", targets}, {"violations", violations}, {"keys_run", m_ledger.size()}, {"repeated_keys", m_ledger.repeatedKeys()}}.dump();
}

const command_ledger &target_process::ledger() const
{
    return m_ledger;
}

asio::awaitable<http_response> target_process::respond(http_request request)
{
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() < 2 || path[0] != "standin") {
        co_return errorResponse(404, "not found");
    }
    if (request.method == "GET" && path[1] == "report") {
        co_return jsonResponse(200, report());
    }
    if (request.method == "GET" && path[1] == "ledger") {
        co_return jsonResponse(200, m_ledger.json(request.parameter("service")));
    }
    if (request.method == "PUT" && path.size() == 3 && path[1] == "targets") {
        co_return changeTarget(path[2], request.body);
    }
    if (request.method == "PUT" && path.size() == 3 && path[1] == "services") {
        co_return changeService(path[2], request.body);
    }
    co_return errorResponse(404, "not found");
}

http_response target_process::changeTarget(const std::string &name, const std::string &body)
{
    for (const auto &target : m_targets) {
        if (target->description().name != name) {
            continue;
        }
        try {
            applyChange(*target, json::parse(body));
        } catch (const std::exception &invalid) {
            return errorResponse(400, invalid.what());
        }
        return jsonResponse(200, targetReport(*target).dump());
    }
    return errorResponse(404, "no target " + name);
}

http_response target_process::changeService(const std::string &name, const std::string &body)
{
    const site_service *service = m_site.findService(name);
    if (service == nullptr) {
        return errorResponse(404, "no service " + name);
    }
    try {
        const json change = json::parse(body);
        const data_snapshot current = m_latestSnapshots[name];
        const data_snapshot next{change.value("layout_epoch", current.layoutEpoch), change.value("index_version", current.indexVersion)};
        advanceSnapshot(*service, next, std::chrono::milliseconds(change.value("stagger_ms", DefaultStagger.count())));
    } catch (const std::exception &invalid) {
        return errorResponse(400, invalid.what());
    }
    return jsonResponse(200, "{}");
}

void target_process::advanceSnapshot(const site_service &service, data_snapshot next, std::chrono::milliseconds stagger)
{
    m_latestSnapshots[service.name] = next;
    std::chrono::milliseconds delay{0};
    for (const auto &target : m_targets) {
        if (target->description().service != service.name) {
            continue;
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, server = target.get(), next](boost::system::error_code failed) {
            if (!failed) {
                server->addSnapshot(next);
            }
        });
        delay += stagger;
    }
}

} // namespace balsamhook
