#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/metadata_service.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

/// Behaviour that a stand-in searcher simulates.
enum class searcher_condition : std::uint8_t {
    Healthy,
    Slow, ///< Takes eight times as long for each request.
    Hanging, ///< Accepts requests and never responds.
    Failing, ///< Responds with status 500.
    ClosingConnections, ///< Runs requests and closes the connection instead of responding.
    Shedding, ///< Responds with status 503 without running the request.
    SurplusResponses, ///< Sends an unrequested second response after each response.
    Down, ///< Closes all connections, drops queued requests and resets new connections.
};

struct searcher_settings
{
    std::string id;
    std::string service;
    std::string dataCentre;
    endpoint address;
    unsigned slots = 2;
    std::size_t connections = 25;
    std::chrono::milliseconds work{5};
};

/// Runs, and violations of the guarantees that the system under test gives to targets.
struct searcher_findings
{
    std::uint64_t runs = 0;
    std::uint64_t repeatedRuns = 0; ///< Requests that must run at most once and ran again, on any searcher of the site.
    std::uint64_t lateArrivals = 0; ///< Requests that arrived after the grace period of a drain.
    std::uint64_t longDeadlines = 0; ///< Requests forwarded with a longer deadline than that of their caller.
};

/// Ids of the at-most-once requests that ran, over all searchers of a site. Discards all ids when it holds more than 200,000, so
/// repeated runs of earlier requests go undetected.
class run_ledger
{
public:
    /// Records a run. Returns whether the request had run before.
    bool record(const std::string &requestId);

    bool hasRun(const std::string &requestId) const;

private:
    std::set<std::string> m_requestIds;
};

/// One stand-in searcher with slots, a queue, response signatures, rejections and faults. Registers itself in the stand-in store. Its records are a function
/// of service and request id, so that a caller can check a merged response. Not thread-safe.
class standin_searcher
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: context, timers, store and ledger outlive the searcher.
    standin_searcher(boost::asio::io_context &context, timer_queue &timers, metadata_service &store, run_ledger &ledger, searcher_settings values);
    ~standin_searcher();

    result<void> start();
    void setCondition(searcher_condition condition);

    /// Announces in the store that the searcher leaves, as soon as the store is up. The grace period starts with the announcement; requests that arrive
    /// after it count as late arrivals.
    void drain(std::chrono::milliseconds gracePeriod);

    /// Writes the registration again, as after the store has lost it, once the store is up.
    void registerAgain();

    const searcher_findings &findings() const;
    const searcher_settings &values() const;

    /// Returns the concatenated records of a service for a request, in the order in which a searcher sends them.
    static std::string recordsFor(const std::string &service, const std::string &requestId);

private:
    using pointer = caller_connection::pointer;

    struct job
    {
        pointer connection;
        http_message message;
        clock::time_point deadline;
    };

    void accept();
    void onRequest(const pointer &connection, const http_message &message);
    void startNext();
    void run(job next);
    void finish(const job &completed);
    void reject(const pointer &connection, unsigned status);
    void sendHeartbeat();
    void writeRegistration();

    timer_queue &m_timers;
    metadata_service &m_store;
    run_ledger &m_ledger;
    searcher_settings m_values;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<pointer> m_connections;
    std::deque<job> m_queue;
    unsigned m_runningJobs = 0;
    searcher_condition m_condition = searcher_condition::Healthy;
    searcher_findings m_findings;
    std::mt19937 m_random{std::random_device{}()};
    std::int64_t m_startedAt = unixTime().count();
    std::int64_t m_sequence = 0;
    bool m_isDraining = false;
    clock::time_point m_drainDeadline = clock::time_point::max();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Makes callbacks that outlive the searcher do nothing.
};

} // namespace balsamhook
