#include "standins/standin_searcher.h"

#include "http/socket_options.h"

#include <algorithm>
#include <cstdio>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::size_t MaxQueueLength = 12;
constexpr int SlowFactor = 8;
constexpr std::chrono::milliseconds HeartbeatInterval{1000};
constexpr std::chrono::milliseconds StoreRetryInterval{100};
constexpr std::chrono::milliseconds DefaultDeadline{1000};
constexpr std::size_t RecordsPerPart = 12;
constexpr std::size_t MaxLedgerEntries = 200000;

std::string toHex(std::uint64_t value)
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
    if (m_requestIds.size() > MaxLedgerEntries) {
        m_requestIds.clear();
    }
    return !m_requestIds.insert(requestId).second;
}

bool run_ledger::hasRun(const std::string &requestId) const
{
    return m_requestIds.count(requestId) > 0;
}

std::string standin_searcher::recordsFor(const std::string &service, const std::string &requestId)
{
    std::string records;
    for (std::size_t i = 0; i < RecordsPerPart; ++i) {
        // A record is a hash in 16 hexadecimal digits.
        records += toHex(stableHash(service + "/" + requestId, i));
    }
    return records;
}

standin_searcher::standin_searcher(asio::io_context &context, timer_queue &timers, metadata_service &store, run_ledger &ledger, searcher_settings values)
    : m_timers(timers)
    , m_store(store)
    , m_ledger(ledger)
    , m_values(std::move(values))
    , m_acceptor(context)
{
}

standin_searcher::~standin_searcher()
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

result<void> standin_searcher::start()
{
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, m_values.address));
    accept();
    sendHeartbeat();
    return success();
}

void standin_searcher::accept()
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

void standin_searcher::reject(const pointer &connection, unsigned status)
{
    caller_response response;
    response.status = status;
    response.fields = {{"Not-Executed", "1"}, {"Instance-Id", m_values.id}};
    connection->respond(response, false);
}

void standin_searcher::onRequest(const pointer &connection, const http_message &message)
{
    const std::string *expected = message.find("Expected-Instance");
    if (expected != nullptr && *expected != m_values.id) {
        reject(connection, 421);
        return;
    }
    m_findings.lateArrivals += clock::now() > m_drainDeadline ? 1 : 0;
    const std::string *callerDeadline = message.find("X-Caller-Deadline");
    if (callerDeadline != nullptr && deadlineOf(message).count() > std::atoll(callerDeadline->c_str())) {
        ++m_findings.longDeadlines;
    }
    if (m_condition == searcher_condition::Shedding || m_queue.size() >= MaxQueueLength) {
        reject(connection, 503);
        return;
    }
    m_queue.push_back({connection, message, clock::now() + deadlineOf(message)});
    startNext();
}

void standin_searcher::startNext()
{
    while (m_runningJobs < m_values.slots && !m_queue.empty()) {
        job next = std::move(m_queue.front());
        m_queue.pop_front();
        if (!next.connection->isBusy()) {
            continue;
        }
        if (clock::now() > next.deadline) {
            reject(next.connection, 503);
            continue;
        }
        run(std::move(next));
    }
}

void standin_searcher::run(job next)
{
    ++m_runningJobs;
    ++m_findings.runs;
    const std::string *id = next.message.find("Request-Id");
    const bool isRepeated = id != nullptr && m_ledger.record(*id);
    if (next.message.method == "POST" && isRepeated) {
        ++m_findings.repeatedRuns;
        logWarning("site", "request " + *id + " ran more than once; repeated by searcher " + m_values.id);
    }
    const std::string *requested = next.message.find("X-Work-Ms");
    const auto work = requested == nullptr ? m_values.work : std::chrono::milliseconds(std::atoi(requested->c_str()));
    const double factor = std::uniform_real_distribution<double>(0.6, 1.5)(m_random) * (m_condition == searcher_condition::Slow ? SlowFactor : 1);
    const auto duration = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * 1000 * factor));
    const bool isHanging = m_condition == searcher_condition::Hanging;
    const auto end = isHanging ? next.deadline : std::min(clock::now() + duration, next.deadline);
    m_timers.start(end, [this, alive = m_alive, isHanging, completed = std::move(next)] {
        if (!*alive) {
            return;
        }
        --m_runningJobs;
        if (!isHanging) {
            finish(completed);
        }
        startNext();
    });
}

void standin_searcher::finish(const job &completed)
{
    if (!completed.connection->isBusy()) {
        return;
    }
    if (m_condition == searcher_condition::ClosingConnections) {
        completed.connection->close();
        return;
    }
    const std::string *id = completed.message.find("Request-Id");
    caller_response response;
    response.status = m_condition == searcher_condition::Failing ? 500 : 200;
    response.fields = {{"Request-Id", id == nullptr ? "" : *id}, {"Server-Stamp", m_values.service + "." + m_values.id + "." + (id == nullptr ? "" : *id)}};
    response.body = response.status == 200 ? recordsFor(m_values.service, id == nullptr ? "" : *id) : "failing";
    if (m_condition == searcher_condition::SurplusResponses) {
        // Appends bytes that parse as an unrequested second response.
        response.body += "HTTP/1.1 200 OK\r\nRequest-Id: surplus\r\nContent-Length: 16\r\n\r\nffffffffffffffff";
        response.fields.push_back({"Content-Length", std::to_string(recordsFor(m_values.service, id == nullptr ? "" : *id).size())});
        response.omitsLength = true;
    }
    completed.connection->respond(response, false);
}

void standin_searcher::writeRegistration()
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

void standin_searcher::sendHeartbeat()
{
    // Only the first heartbeat writes: a write that changes nothing but the sequence number carries no information for watchers.
    if (m_sequence == 0) {
        ++m_sequence;
        writeRegistration();
    }
    m_timers.start(clock::now() + HeartbeatInterval, [this, alive = m_alive] {
        if (*alive) {
            sendHeartbeat();
        }
    });
}

void standin_searcher::setCondition(searcher_condition condition)
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

void standin_searcher::drain(std::chrono::milliseconds gracePeriod)
{
    // The grace period starts when the store accepts the change of state, which an outage delays.
    if (!m_store.isUp()) {
        m_timers.start(clock::now() + StoreRetryInterval, [this, gracePeriod, alive = m_alive] {
            if (*alive) {
                drain(gracePeriod);
            }
        });
        return;
    }
    m_isDraining = true;
    ++m_sequence;
    writeRegistration();
    m_drainDeadline = clock::now() + gracePeriod;
}

void standin_searcher::registerAgain()
{
    if (!m_store.isUp()) {
        m_timers.start(clock::now() + StoreRetryInterval, [this, alive = m_alive] {
            if (*alive) {
                registerAgain();
            }
        });
        return;
    }
    ++m_sequence;
    writeRegistration();
}

const searcher_findings &standin_searcher::findings() const
{
    return m_findings;
}

const searcher_settings &standin_searcher::values() const
{
    return m_values;
}

} // namespace balsamhook
