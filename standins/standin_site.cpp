#include "standins/standin_searcher.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

using namespace balsamhook;
using nlohmann::json;
namespace asio = boost::asio;

namespace
{

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr std::chrono::milliseconds DrainGracePeriod{3000};
/// In which the operator and the searchers write again what the store lost when it returned to a copy.
constexpr std::chrono::milliseconds RewritePeriod{2000};
/// Entries that a copy brings back, and that nobody renews, are removed after this time.
constexpr std::chrono::milliseconds RegistrationLifetime{3000};
constexpr std::chrono::milliseconds DrainServingTime{4000}; ///< Exceeds DrainGracePeriod, so that late arrivals are counted.

std::optional<searcher_condition> parseSearcherCondition(const std::string &name)
{
    static const std::map<std::string, searcher_condition> Conditions{{"sound", searcher_condition::Healthy},
                                                                      {"slow", searcher_condition::Slow},
                                                                      {"hanging", searcher_condition::Hanging},
                                                                      {"failing", searcher_condition::Failing},
                                                                      {"breaking_off", searcher_condition::ClosingConnections},
                                                                      {"shedding", searcher_condition::Shedding},
                                                                      {"surplus", searcher_condition::SurplusResponses},
                                                                      {"down", searcher_condition::Down}};
    const auto found = Conditions.find(name);
    return found == Conditions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<store_condition> parseStoreCondition(const std::string &name)
{
    static const std::map<std::string, store_condition> Conditions{{"up", store_condition::Up},
                                                                   {"refusing", store_condition::Refusing},
                                                                   {"silent", store_condition::Silent},
                                                                   {"losing", store_condition::LosingResponses}};
    const auto found = Conditions.find(name);
    return found == Conditions.end() ? std::nullopt : std::optional(found->second);
}

/// The platform's store and all searchers of a site in one process, with an admin interface for faults and findings.
class standin_site
{
public:
    explicit standin_site(const json &site)
        : m_timers(m_io)
        , m_store(m_io, m_timers)
        , m_admin(m_io, {}, m_metrics, [this](http_request request) { return handleAdmin(std::move(request)); })
    {
        for (const json &entry : site.at("searchers")) {
            searcher_settings values;
            values.id = entry.at("id");
            values.service = entry.at("service");
            values.dataCentre = entry.at("data_centre");
            values.address = parseEndpoint(entry.at("address").get<std::string>()).value();
            values.slots = entry.value("slots", 2U);
            values.connections = entry.value("connections", std::size_t{25});
            values.work = std::chrono::milliseconds(entry.value("work_ms", 5));
            m_values.emplace(values.id, values);
        }
        m_configuration = site.at("configuration");
        m_store.put("config", "main", m_configuration);
    }

    int run(const endpoint &store, const endpoint &admin)
    {
        const auto storeListening = m_store.listen(store);
        const auto adminListening = m_admin.listen(admin);
        if (!storeListening || !adminListening) {
            logError("site", describe(!storeListening ? storeListening.error() : adminListening.error()));
            return ExitFailure;
        }
        for (const auto &[id, values] : m_values) {
            if (!startSearcher(id)) {
                return ExitFailure;
            }
        }
        asio::signal_set signals(m_io, SIGTERM, SIGINT);
        signals.async_wait([this](const boost::system::error_code &, int) { m_io.stop(); });
        m_io.run();
        return 0;
    }

private:
    bool startSearcher(const std::string &id)
    {
        auto searcher = std::make_unique<standin_searcher>(m_io, m_timers, m_store, m_ledger, m_values.at(id));
        const auto started = searcher->start();
        if (!started) {
            logError("site", describe(started.error()));
            return false;
        }
        m_searchers[id] = std::move(searcher);
        return true;
    }

    void removeSearcher(const std::string &id)
    {
        const auto found = m_searchers.find(id);
        if (found != m_searchers.end()) {
            addFindings(m_removedFindings, found->second->findings());
            m_searchers.erase(found);
        }
    }

    static void addFindings(searcher_findings &total, const searcher_findings &added)
    {
        total.runs += added.runs;
        total.repeatedRuns += added.repeatedRuns;
        total.lateArrivals += added.lateArrivals;
        total.longDeadlines += added.longDeadlines;
    }

    /// Returns the response that a caller must get: the greatest records of the named services for a request, in descending order.
    static std::string expectedRecords(const json &query)
    {
        std::vector<std::string> records;
        constexpr std::size_t RecordBytes = 16;
        for (const json &service : query.at("services")) {
            const std::string part = standin_searcher::recordsFor(service.get<std::string>(), query.at("id").get<std::string>());
            for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes) {
                records.push_back(part.substr(at, RecordBytes));
            }
        }
        std::sort(records.rbegin(), records.rend());
        std::string body;
        for (std::size_t i = 0; i < std::min(records.size(), query.at("count").get<std::size_t>()); ++i) {
            body += records[i];
        }
        return body;
    }

    json findings() const
    {
        searcher_findings total = m_removedFindings;
        for (const auto &[id, searcher] : m_searchers) {
            addFindings(total, searcher->findings());
        }
        return json{{"runs", total.runs},
                    {"repeated_runs", total.repeatedRuns},
                    {"late_arrivals", total.lateArrivals},
                    {"long_deadlines", total.longDeadlines},
                    {"store_calls", m_store.calls()}};
    }

    bool changeSearcher(const json &change)
    {
        const std::string id = change.value("id", "");
        const std::string action = change.value("action", "");
        if (m_values.count(id) == 0) {
            return false;
        }
        if (action == "restart") {
            removeSearcher(id);
            return startSearcher(id);
        }
        const auto found = m_searchers.find(id);
        if (found == m_searchers.end()) {
            return false;
        }
        if (action == "drain") {
            found->second->drain(DrainGracePeriod);
            m_timers.start(std::chrono::steady_clock::now() + DrainServingTime, [this, id] { removeSearcher(id); });
            return true;
        }
        const auto condition = parseSearcherCondition(action);
        if (condition) {
            found->second->setCondition(*condition);
        }
        return condition.has_value();
    }

    bool changeStore(const json &change)
    {
        const auto condition = parseStoreCondition(change.value("condition", "up"));
        if (!condition) {
            return false;
        }
        m_store.setDelay(std::chrono::milliseconds(change.value("delay_ms", 0)));
        m_store.setCondition(*condition);
        if (change.value("forget", false)) {
            m_store.compactHistory();
        }
        if (change.value("copy", false)) {
            m_store.takeCopy();
        }
        for (int i = 0; i < change.value("other_writes", 0); ++i) {
            m_store.put("others", "counter", ++m_otherWrites);
        }
        if (change.value("return", false)) {
            m_store.returnToCopy(change.value("keep_watches", false) ? waiting_watches::Kept : waiting_watches::Cut);
            writeAgain();
        }
        return true;
    }

    std::chrono::steady_clock::time_point withinRewritePeriod()
    {
        return std::chrono::steady_clock::now() + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, RewritePeriod.count())(m_random));
    }

    void writeAgain()
    {
        for (const auto &[id, searcher] : m_searchers) {
            m_timers.start(withinRewritePeriod(), [this, id = id] {
                if (const auto found = m_searchers.find(id); found != m_searchers.end()) {
                    found->second->registerAgain();
                }
            });
        }
        m_timers.start(withinRewritePeriod(), [this] {
            m_store.put("config", "main", m_configuration);
            for (const auto &[id, values] : m_values) {
                writeEvacuation(values.dataCentre);
            }
        });
        m_timers.start(std::chrono::steady_clock::now() + RegistrationLifetime, [this] {
            for (const auto &[id, values] : m_values) {
                if (m_searchers.count(id) == 0) {
                    m_store.erase("servers", id);
                }
            }
        });
    }

    void writeEvacuation(const std::string &dataCentre)
    {
        if (m_evacuations.count(dataCentre) > 0) {
            m_store.put("evacuations", dataCentre, json::object());
        } else {
            m_store.erase("evacuations", dataCentre);
        }
    }

    bool applyChange(const std::string &path, const json &change)
    {
        if (path == "/searcher") {
            return changeSearcher(change);
        }
        if (path == "/store") {
            return changeStore(change);
        }
        if (path == "/configuration") {
            m_configuration = change;
            m_store.put("config", "main", change);
            return true;
        }
        if (path == "/evacuation") {
            const std::string name = change.value("data_centre", "");
            if (change.value("active", false)) {
                m_evacuations.insert(name);
            } else {
                m_evacuations.erase(name);
            }
            writeEvacuation(name);
            return !name.empty();
        }
        return false;
    }

    asio::awaitable<http_response> handleAdmin(http_request request)
    {
        if (request.method == "GET" && request.path == "/findings") {
            co_return jsonResponse(200, findings().dump());
        }
        if (request.method == "GET" && request.path == "/ran") {
            co_return jsonResponse(200, m_ledger.hasRun(std::string(request.parameter("id"))) ? "true" : "false");
        }
        const json body = json::parse(request.body, nullptr, false);
        if (request.path == "/expected") {
            co_return textResponse(200, expectedRecords(body));
        }
        const bool isApplied = body.is_object() && applyChange(request.path, body);
        co_return isApplied ? jsonResponse(200, "{}") : errorResponse(400, "unknown path or invalid change");
    }

    asio::io_context m_io{1};
    timer_queue m_timers;
    counters m_metrics;
    metadata_service m_store;
    run_ledger m_ledger;
    std::map<std::string, searcher_settings> m_values;
    std::map<std::string, std::unique_ptr<standin_searcher>> m_searchers;
    searcher_findings m_removedFindings;
    json m_configuration; ///< The newest one.
    int m_otherWrites = 0; ///< Writes to an object that instances don't read; they only raise the revision.
    std::set<std::string> m_evacuations;
    std::mt19937 m_random{std::random_device{}()};
    http_server m_admin;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    startLogging("standin-site");
    std::string file;
    endpoint store{"127.0.0.1", 7200};
    endpoint admin{"127.0.0.1", 7201};
    settings options("Stand-in for the platform's store and the searchers of a site, for the soak test and the demo. All data is kept in memory.");
    options.addText("site-file", file, "searchers and initial configuration (JSON)", true);
    options.addEndpoint("store", store, "address of the store");
    options.addEndpoint("admin", admin, "address of the admin interface for faults and findings");
    if (const std::optional<int> exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    try {
        return standin_site(json::parse(text.str())).run(store, admin);
    } catch (const std::exception &failed) {
        logError("site", file + ": " + failed.what());
        return ExitUsage;
    }
}
