#include "load/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds StartTimeout{15000};
constexpr std::chrono::milliseconds ResponseGracePeriod{1000}; ///< A response is awaited for this long after its deadline.
constexpr std::chrono::seconds KeyValidity{60};
constexpr std::size_t SampleLimit = 20;

std::string outcomeOf(const http_response &response)
{
    const json body = json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("outcome", std::string()) : std::string();
}

} // namespace

std::uint64_t load_statistics::wrongTotal() const
{
    std::uint64_t total = commands.ranMoreThanOnce + commands.notRunButRan + commands.answeredButNotRun;
    for (const auto &[name, service] : services) {
        total += service.wrong;
    }
    return total;
}

load_run::load_run(asio::io_context &context, load_settings settings, const site_description &site)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_site(site)
    , m_checker(site)
    , m_pool(context, m_settings.seeds, m_settings.bindAddress)
    , m_random(m_settings.seed)
    , m_runId(randomId())
{
}

result<void> load_run::checkMix() const
{
    for (const mix_share &share : m_settings.mix.shares()) {
        if (m_site.findService(share.service) == nullptr) {
            return failure(error_code::Invalid, error_step::Validate, "", "service " + share.service + " of the mix is not in the site file");
        }
    }
    return success();
}

asio::awaitable<result<void>> load_run::run()
{
    const result<void> mixCheck = checkMix();
    if (!mixCheck) {
        co_return mixCheck.error();
    }
    asio::co_spawn(m_context, m_pool.keepAddressesFresh(), asio::detached);
    const result<void> resolved = co_await m_pool.waitForAddresses(StartTimeout);
    if (!resolved) {
        m_pool.stop();
        co_return resolved.error();
    }
    co_await sendRequests();
    while (m_inFlight > 0) {
        co_await waitUntil(steady_clock::now() + std::chrono::milliseconds(20));
    }
    m_statistics.addressRefreshes = m_pool.refreshCount();
    m_statistics.resent = m_pool.resentCount();
    m_pool.stop();
    co_await checkLedger();
    co_return success();
}

const load_statistics &load_run::statistics() const
{
    return m_statistics;
}

asio::awaitable<void> load_run::waitUntil(time_point time)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> load_run::sendRequests()
{
    std::exponential_distribution<double> interarrivalTime(m_settings.requestsPerSecond);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    m_startTime = steady_clock::now();
    const time_point end = m_startTime + m_settings.duration;
    time_point intended = m_startTime;
    for (std::uint64_t number = 0;; ++number) {
        intended += std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(interarrivalTime(m_random)));
        if (intended >= end) {
            co_return;
        }
        const std::string service = m_settings.mix.choose(share(m_random));
        if (intended > steady_clock::now()) {
            co_await waitUntil(intended);
        }
        m_statistics.maxLag = std::max(m_statistics.maxLag, std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - intended));
        if (m_inFlight >= m_settings.inFlightLimit) {
            ++m_statistics.notSent;
            continue;
        }
        ++m_inFlight;
        asio::co_spawn(m_context, sendRequest(service, intended, number), asio::detached);
    }
}

asio::awaitable<void> load_run::sendRequest(std::string service, time_point intended, std::uint64_t number)
{
    const site_service &siteService = *m_site.findService(service);
    service_statistics &statistics = m_statistics.services[service];
    statistics.isCommand = siteService.isCommand;
    ++statistics.sent;
    ++statisticsOfSecond(intended).sent;
    if (siteService.isCommand) {
        co_await sendCommand(siteService, intended, number);
    } else {
        co_await sendQuery(siteService, intended, number);
    }
    --m_inFlight;
}

asio::awaitable<result<http_response>> load_run::exchange(http_request request, std::chrono::milliseconds deadline, bool isIdempotent)
{
    if (m_settings.clientDelay.count() > 0) {
        co_await waitUntil(steady_clock::now() + m_settings.clientDelay);
    }
    auto response = co_await m_pool.send(std::move(request), deadline + ResponseGracePeriod, isIdempotent);
    if (m_settings.clientDelay.count() > 0) {
        co_await waitUntil(steady_clock::now() + m_settings.clientDelay);
    }
    co_return response;
}

asio::awaitable<void> load_run::sendQuery(const site_service &service, time_point intended, std::uint64_t number)
{
    const sent_query sent{
        service.name, m_checker.sampleText(service.name, stableHash(std::to_string(number), m_settings.seed) % m_settings.distinctTexts), m_settings.hitLimit};
    const std::chrono::milliseconds deadline = m_settings.deadline.count() > 0 ? m_settings.deadline : service.deadline;
    json body{{"service", sent.service}, {"text", sent.text}, {"limit", sent.limit}, {"deadline_ms", deadline.count()}};
    if (m_settings.minimumCoverage > 0.0) {
        body["minimum_coverage"] = m_settings.minimumCoverage;
    }
    if (m_settings.answerAfter.count() > 0) {
        body["answer_after_ms"] = m_settings.answerAfter.count();
    }
    http_request request;
    request.method = "POST";
    request.path = "/v1/query";
    request.body = body.dump();
    const result<http_response> response = co_await exchange(std::move(request), deadline, true);
    countOutcome(service.name, response, intended);
    if (!response || response.value().status != 200) {
        co_return;
    }
    const result<checked_response> checked = m_checker.check(sent, response.value().body);
    if (!checked) {
        ++m_statistics.services[service.name].wrong;
        addSample("wrong response of " + service.name + " to '" + sent.text + "': " + checked.error().message);
        co_return;
    }
    countCoverage(service.name, checked.value(), intended);
}

std::string load_run::chooseKey(const std::string &service, std::uint64_t number)
{
    std::uniform_real_distribution<double> percent(0.0, 100.0);
    if (!m_keyOrder.empty() && percent(m_random) < m_settings.repeatedKeyPercent) {
        const std::string &earlier = m_keyOrder[m_random() % m_keyOrder.size()];
        if (m_keys[earlier].service == service) {
            return earlier;
        }
    }
    std::string key = m_runId + "-" + std::to_string(number);
    m_keys[key].service = service;
    m_keyOrder.push_back(key);
    return key;
}

asio::awaitable<void> load_run::sendCommand(const site_service &service, time_point intended, std::uint64_t number)
{
    const std::string key = chooseKey(service.name, number);
    ++m_keys[key].sent;
    const std::chrono::milliseconds deadline = m_settings.deadline.count() > 0 ? m_settings.deadline : service.deadline;
    const std::int64_t expiresAt = (unixTime() + KeyValidity).count();
    const json payload{{"container", number}, {"amount", 10}};
    http_request request;
    request.method = "POST";
    request.path = "/v1/command";
    request.body = json{{"service", service.name}, {"key", key}, {"expires_at_ms", expiresAt}, {"payload", payload}, {"deadline_ms", deadline.count()}}.dump();
    const result<http_response> response = co_await exchange(std::move(request), deadline, false);
    countOutcome(service.name, response, intended);
    if (!response) {
        co_return;
    }
    const std::string outcome = outcomeOf(response.value());
    if (outcome == "answered") {
        ++m_keys[key].answered;
    } else if (outcome == "not_run") {
        ++m_keys[key].notRun;
    }
}

void load_run::countOutcome(const std::string &service, const result<http_response> &response, time_point intended)
{
    service_statistics &statistics = m_statistics.services[service];
    if (!response) {
        ++statistics.broken;
        addSample("no response from " + service + ": " + describe(response.error()));
        return;
    }
    const std::string outcome = outcomeOf(response.value());
    if (response.value().status == 200 && outcome == "answered") {
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - intended);
        ++statistics.answered;
        statistics.latency.add(latency);
        second_statistics &second = statisticsOfSecond(intended);
        ++second.answered;
        second.maxLatency = std::max(second.maxLatency, latency);
    } else if (response.value().status == 503 && outcome == "not_run") {
        ++statistics.notRun;
        addSample("not_run from " + service + ": " + response.value().body);
    } else if (response.value().status == 504 && outcome == "unknown") {
        ++statistics.unknown;
        addSample("unknown from " + service + ": " + response.value().body);
    } else {
        ++statistics.refused;
        addSample("status " + std::to_string(response.value().status) + " from " + service + ": " + response.value().body.substr(0, 200));
    }
}

void load_run::countCoverage(const std::string &service, const checked_response &response, time_point intended)
{
    service_statistics &statistics = m_statistics.services[service];
    statistics.coverageSum += static_cast<double>(response.answeredShards) / static_cast<double>(response.totalShards);
    m_statistics.indexVersions[service].insert(response.indexVersion);
    if (response.answeredShards < response.totalShards) {
        ++statistics.partial;
        ++statisticsOfSecond(intended).partial;
    }
}

void load_run::addSample(std::string text)
{
    if (m_statistics.samples.size() < SampleLimit) {
        m_statistics.samples.push_back(std::move(text));
    }
}

second_statistics &load_run::statisticsOfSecond(time_point intended)
{
    const auto index = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(intended - m_startTime).count());
    if (m_statistics.seconds.size() <= index) {
        m_statistics.seconds.resize(index + 1);
    }
    return m_statistics.seconds[index];
}

asio::awaitable<void> load_run::checkLedger()
{
    m_statistics.commands.keysSent = m_keys.size();
    if (!m_settings.standinAdmin) {
        co_return;
    }
    std::map<std::string, json> ledgers;
    for (const auto &[key, history] : m_keys) {
        if (ledgers.contains(history.service)) {
            continue;
        }
        http_request request;
        request.path = "/standin/ledger";
        request.query["service"] = history.service;
        const endpoint admin = *m_settings.standinAdmin;
        const auto response = co_await fetch(admin, "", request, StartTimeout);
        if (!response || response.value().status != 200) {
            addSample("reading the ledger of the stand-in targets failed");
            co_return;
        }
        ledgers[history.service] = json::parse(response.value().body, nullptr, false);
    }
    for (const auto &[key, history] : m_keys) {
        const json &ledger = ledgers[history.service];
        const std::uint64_t runs = ledger.is_object() ? ledger.value(key, std::uint64_t{0}) : 0;
        m_statistics.commands.keysRun += runs > 0 ? 1 : 0;
        m_statistics.commands.ranMoreThanOnce += runs > 1 ? 1 : 0;
        m_statistics.commands.notRunButRan += runs > 0 && history.notRun == history.sent ? 1 : 0;
        m_statistics.commands.answeredButNotRun += runs == 0 && history.answered > 0 ? 1 : 0;
    }
    m_statistics.commands.done = true;
}

} // namespace balsamhook
