#include "standins/search_site.h"

#include "http/socket_options.h"

#include <algorithm>
#include <cstdio>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::size_t QueueLength = 12;
constexpr int SlowFactor = 8;
constexpr std::chrono::milliseconds HeartbeatInterval{1000};
constexpr std::chrono::milliseconds DefaultDeadline{1000};
constexpr std::size_t RecordsOfPart = 12;
constexpr std::size_t LargestLedger = 200000;

std::string hexadecimal(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::chrono::milliseconds deadlineOf(const http_message &message)
{
    const std::string *text = message.find("Deadline-Ms");
    return text == nullptr ? DefaultDeadline : std::chrono::milliseconds(std::atoll(text->c_str()));
}

} // namespace

bool run_ledger::record(const std::string &requestId)
{
    if (m_ran.size() > LargestLedger) {
        m_ran.clear();
    }
    return !m_ran.insert(requestId).second;
}

bool run_ledger::hasRun(const std::string &requestId) const
{
    return m_ran.count(requestId) > 0;
}

std::string stand_in_searcher::recordsFor(const std::string &service, const std::string &requestId)
{
    std::string records;
    for (std::size_t i = 0; i < RecordsOfPart; ++i) {
        // A record is the 16 digits of a hash.
        records += hexadecimal(stableHash(service + "/" + requestId, i));
    }
    return records;
}

stand_in_searcher::stand_in_searcher(asio::io_context &context, timer_queue &timers, metadata_service &store, run_ledger &ledger, searcher_settings values)
    : m_timers(timers)
    , m_store(store)
    , m_ledger(ledger)
    , m_values(std::move(values))
    , m_acceptor(context)
{
}

stand_in_searcher::~stand_in_searcher()
{
    *m_alive = false;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const std::set<pointer> open = std::exchange(m_connections, {});
    for (const pointer &connection : open) {
        connection->close();
    }
    m_store.erase("servers", m_values.id);
}

result<void> stand_in_searcher::start()
{
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, m_values.address));
    accept();
    beat();
    return success();
}

void stand_in_searcher::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](const boost::system::error_code &failed, asio::ip::tcp::socket socket) {
        if (!*alive || failed) {
            return;
        }
        accept();
        if (m_condition == searcher_condition::Down || m_connections.size() >= m_values.connections) {
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            return;
        }
        caller_connection::handlers handlers;
        handlers.onRequest = [this, alive](const pointer &connection, const http_message &message) {
            if (*alive) {
                onRequest(connection, message);
            }
        };
        handlers.onDisconnected = [](const pointer &) {};
        handlers.onClosed = [this, alive](const pointer &connection) {
            if (*alive) {
                m_connections.erase(connection);
            }
        };
        handlers.onRejected = [](unsigned) {};
        const auto connection = std::make_shared<caller_connection>(std::move(socket), m_timers, caller_connection::settings{}, std::move(handlers));
        m_connections.insert(connection);
        connection->start();
    });
}

void stand_in_searcher::refuse(const pointer &connection, unsigned status)
{
    caller_response response;
    response.status = status;
    response.fields = {{"Not-Executed", "1"}, {"Instance-Id", m_values.id}};
    connection->respond(response, false);
}

void stand_in_searcher::onRequest(const pointer &connection, const http_message &message)
{
    const std::string *expected = message.find("Expected-Instance");
    if (expected != nullptr && *expected != m_values.id) {
        refuse(connection, 421);
        return;
    }
    m_findings.lateArrivals += clock::now() > m_lateFrom ? 1 : 0;
    const std::string *given = message.find("X-Caller-Deadline");
    if (given != nullptr && deadlineOf(message).count() > std::atoll(given->c_str())) {
        ++m_findings.longDeadlines;
    }
    if (m_condition == searcher_condition::Shedding || m_queue.size() >= QueueLength) {
        refuse(connection, 503);
        return;
    }
    m_queue.push_back({connection, message, clock::now() + deadlineOf(message)});
    startNext();
}

void stand_in_searcher::startNext()
{
    while (m_busy < m_values.slots && !m_queue.empty()) {
        job next = std::move(m_queue.front());
        m_queue.pop_front();
        if (!next.connection->isBusy()) {
            continue;
        }
        if (clock::now() > next.deadline) {
            refuse(next.connection, 503);
            continue;
        }
        run(std::move(next));
    }
}

void stand_in_searcher::run(job next)
{
    ++m_busy;
    ++m_findings.runs;
    const std::string *id = next.message.find("Request-Id");
    if (next.message.method == "POST" && id != nullptr && m_ledger.record(*id)) {
        ++m_findings.repeatedRuns;
        logWarning("site", "request " + *id + " ran again, at " + m_values.id);
    }
    const double factor = std::uniform_real_distribution<double>(0.6, 1.5)(m_random) * (m_condition == searcher_condition::Slow ? SlowFactor : 1);
    const auto duration = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(m_values.work.count()) * 1000 * factor));
    const bool isHanging = m_condition == searcher_condition::Hanging;
    const auto end = isHanging ? next.deadline : std::min(clock::now() + duration, next.deadline);
    m_timers.start(end, [this, alive = m_alive, isHanging, ended = std::move(next)] {
        if (!*alive) {
            return;
        }
        --m_busy;
        if (!isHanging) {
            finish(ended);
        }
        startNext();
    });
}

void stand_in_searcher::finish(const job &ended)
{
    if (!ended.connection->isBusy()) {
        return;
    }
    if (m_condition == searcher_condition::BreakingOff) {
        ended.connection->close();
        return;
    }
    const std::string *id = ended.message.find("Request-Id");
    caller_response response;
    response.status = m_condition == searcher_condition::Failing ? 500 : 200;
    response.fields = {{"Request-Id", id == nullptr ? "" : *id}, {"Server-Stamp", m_values.service + "." + m_values.id + "." + (id == nullptr ? "" : *id)}};
    response.body = response.status == 200 ? recordsFor(m_values.service, id == nullptr ? "" : *id) : "failing";
    if (m_condition == searcher_condition::Surplus) {
        // Bytes that look like a further response, behind the one that was asked for.
        response.body += "HTTP/1.1 200 OK\r\nRequest-Id: surplus\r\nContent-Length: 16\r\n\r\nffffffffffffffff";
        response.fields.push_back({"Content-Length", std::to_string(recordsFor(m_values.service, id == nullptr ? "" : *id).size())});
        response.omitsLength = true;
    }
    ended.connection->respond(response, false);
}

void stand_in_searcher::registerEntry()
{
    m_store.put("servers",
                m_values.id,
                json{{"Service", m_values.service},
                     {"Address", describe(m_values.address)},
                     {"Zone", m_values.dataCentre},
                     {"Version", "v1"},
                     {"Slots", m_values.slots},
                     {"State", m_isDraining ? "draining" : "ready"},
                     {"WarmupLeftMs", 0},
                     {"Sequence", m_sequence},
                     {"born", m_startedAt}});
}

void stand_in_searcher::beat()
{
    // Only what says more than that it lives is written, as a change of the number alone is no event.
    if (m_sequence == 0) {
        ++m_sequence;
        registerEntry();
    }
    m_timers.start(clock::now() + HeartbeatInterval, [this, alive = m_alive] {
        if (*alive) {
            beat();
        }
    });
}

void stand_in_searcher::setCondition(searcher_condition condition)
{
    m_condition = condition;
    if (condition == searcher_condition::Down) {
        const std::set<pointer> open = std::exchange(m_connections, {});
        for (const pointer &connection : open) {
            connection->close();
        }
        m_queue.clear();
    }
}

void stand_in_searcher::drain(std::chrono::milliseconds allowed)
{
    // The time for others counts from the store's acceptance, which an outage delays.
    if (!m_store.isUp()) {
        constexpr std::chrono::milliseconds Retry{100};
        m_timers.start(clock::now() + Retry, [this, allowed, alive = m_alive] {
            if (*alive) {
                drain(allowed);
            }
        });
        return;
    }
    m_isDraining = true;
    ++m_sequence;
    registerEntry();
    m_lateFrom = clock::now() + allowed;
}

const searcher_findings &stand_in_searcher::findings() const
{
    return m_findings;
}

const searcher_settings &stand_in_searcher::values() const
{
    return m_values;
}

} // namespace balsamhook
