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
constexpr std::chrono::milliseconds AnswerGrace{1000}; ///< How long after the deadline an answer is still waited for.
constexpr std::chrono::seconds KeyValidity{60};
constexpr std::size_t SampleLimit = 20;

std::string outcomeOf(const http_response &response)
{
    const json body = json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("outcome", std::string()) : std::string();
}

} // namespace

std::uint64_t load_figures::wrongTotal() const
{
    std::uint64_t total = commands.ranMoreThanOnce + commands.notRunButRan + commands.answeredButNotRun;
    for (const auto &[name, service] : services) {
        total += service.wrong;
    }
    return total;
}

load_run::load_run(asio::io_context &context, load_settings values, const site_description &site)
    : m_context(context)
    , m_settings(std::move(values))
    , m_site(site)
    , m_check(site)
    , m_pool(context, m_settings.seeds, m_settings.bindAddress)
    , m_random(m_settings.seed)
    , m_runId(randomId())
{
}

result<void> load_run::checkMix() const
{
    for (const mix_share &share : m_settings.mix.shares()) {
        if (m_site.findService(share.service) == nullptr) {
            return failure(error_code::Invalid, error_step::Validate, "", "mix names service " + share.service + ", which the site file doesn't have");
        }
    }
    return success();
}

asio::awaitable<result<void>> load_run::run()
{
    const result<void> usable = checkMix();
    if (!usable) {
        co_return usable.error();
    }
    asio::co_spawn(m_context, m_pool.keepAddresses(), asio::detached);
    const result<void> known = co_await m_pool.waitForAddresses(StartTimeout);
    if (!known) {
        m_pool.stop();
        co_return known.error();
    }
    co_await sendAll();
    while (m_inFlight > 0) {
        co_await pauseUntil(steady_clock::now() + std::chrono::milliseconds(20));
    }
    m_figures.addressRefreshes = m_pool.refreshes();
    m_figures.resent = m_pool.resent();
    m_pool.stop();
    co_await checkLedger();
    co_return success();
}

const load_figures &load_run::figures() const
{
    return m_figures;
}

asio::awaitable<void> load_run::pauseUntil(time_point due)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, due);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> load_run::sendAll()
{
    std::exponential_distribution<double> gap(m_settings.requestsPerSecond);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    m_begin = steady_clock::now();
    const time_point end = m_begin + m_settings.duration;
    time_point intended = m_begin;
    for (std::uint64_t number = 0;; ++number) {
        intended += std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(gap(m_random)));
        if (intended >= end) {
            co_return;
        }
        const std::string service = m_settings.mix.choose(share(m_random));
        if (intended > steady_clock::now()) {
            co_await pauseUntil(intended);
        }
        m_figures.highestLag = std::max(m_figures.highestLag, std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - intended));
        if (m_inFlight >= m_settings.inFlightLimit) {
            ++m_figures.notSent;
            continue;
        }
        ++m_inFlight;
        asio::co_spawn(m_context, sendOne(service, intended, number), asio::detached);
    }
}

asio::awaitable<void> load_run::sendOne(std::string service, time_point intended, std::uint64_t number)
{
    const site_service &known = *m_site.findService(service);
    service_figures &figures = m_figures.services[service];
    figures.isCommand = known.isCommand;
    ++figures.sent;
    ++secondOf(intended).sent;
    if (known.isCommand) {
        co_await command(known, intended, number);
    } else {
        co_await query(known, intended, number);
    }
    --m_inFlight;
}

asio::awaitable<result<http_response>> load_run::exchange(http_request request, std::chrono::milliseconds deadline, bool isRepeatable)
{
    if (m_settings.clientDelay.count() > 0) {
        co_await pauseUntil(steady_clock::now() + m_settings.clientDelay);
    }
    auto response = co_await m_pool.send(std::move(request), deadline + AnswerGrace, isRepeatable);
    if (m_settings.clientDelay.count() > 0) {
        co_await pauseUntil(steady_clock::now() + m_settings.clientDelay);
    }
    co_return response;
}

asio::awaitable<void> load_run::query(const site_service &service, time_point intended, std::uint64_t number)
{
    const asked_query asked{
        service.name, m_check.sampleText(service.name, stableHash(std::to_string(number), m_settings.seed) % m_settings.differentTexts), m_settings.hitLimit};
    const std::chrono::milliseconds deadline = m_settings.deadline.count() > 0 ? m_settings.deadline : service.deadline;
    json body{{"service", asked.service}, {"text", asked.text}, {"limit", asked.limit}, {"deadline_ms", deadline.count()}};
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
    const result<checked_answer> checked = m_check.check(asked, response.value().body);
    if (!checked) {
        ++m_figures.services[service.name].wrong;
        addSample("wrong answer of " + service.name + " to '" + asked.text + "': " + checked.error().message);
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

asio::awaitable<void> load_run::command(const site_service &service, time_point intended, std::uint64_t number)
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
    const std::string ended = outcomeOf(response.value());
    if (ended == "answered") {
        ++m_keys[key].answered;
    } else if (ended == "not_run") {
        ++m_keys[key].notRun;
    }
}

void load_run::countOutcome(const std::string &service, const result<http_response> &response, time_point intended)
{
    service_figures &figures = m_figures.services[service];
    if (!response) {
        ++figures.broken;
        addSample("no answer from " + service + ": " + describe(response.error()));
        return;
    }
    const std::string ended = outcomeOf(response.value());
    if (response.value().status == 200 && ended == "answered") {
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - intended);
        ++figures.answered;
        figures.latency.add(latency);
        second_figures &second = secondOf(intended);
        ++second.answered;
        second.highestLatency = std::max(second.highestLatency, latency);
    } else if (response.value().status == 503 && ended == "not_run") {
        ++figures.notRun;
        addSample("not_run from " + service + ": " + response.value().body);
    } else if (response.value().status == 504 && ended == "unknown") {
        ++figures.unknown;
        addSample("unknown from " + service + ": " + response.value().body);
    } else {
        ++figures.refused;
        addSample("status " + std::to_string(response.value().status) + " from " + service + ": " + response.value().body.substr(0, 200));
    }
}

void load_run::countCoverage(const std::string &service, const checked_answer &answer, time_point intended)
{
    service_figures &figures = m_figures.services[service];
    figures.coverageSum += static_cast<double>(answer.answeredShards) / static_cast<double>(answer.totalShards);
    m_figures.indexVersions[service].insert(answer.indexVersion);
    if (answer.answeredShards < answer.totalShards) {
        ++figures.partial;
        ++secondOf(intended).partial;
    }
}

void load_run::addSample(std::string sentence)
{
    if (m_figures.samples.size() < SampleLimit) {
        m_figures.samples.push_back(std::move(sentence));
    }
}

second_figures &load_run::secondOf(time_point intended)
{
    const auto index = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(intended - m_begin).count());
    if (m_figures.seconds.size() <= index) {
        m_figures.seconds.resize(index + 1);
    }
    return m_figures.seconds[index];
}

asio::awaitable<void> load_run::checkLedger()
{
    m_figures.commands.keysSent = m_keys.size();
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
            addSample("the ledger of the stand-in targets can't be read");
            co_return;
        }
        ledgers[history.service] = json::parse(response.value().body, nullptr, false);
    }
    for (const auto &[key, history] : m_keys) {
        const json &ledger = ledgers[history.service];
        const std::uint64_t runs = ledger.is_object() ? ledger.value(key, std::uint64_t{0}) : 0;
        m_figures.commands.keysRun += runs > 0 ? 1 : 0;
        m_figures.commands.ranMoreThanOnce += runs > 1 ? 1 : 0;
        m_figures.commands.notRunButRan += runs > 0 && history.notRun == history.sent ? 1 : 0;
        m_figures.commands.answeredButNotRun += runs == 0 && history.answered > 0 ? 1 : 0;
    }
    m_figures.commands.done = true;
}

} // namespace balsamhook
