#pragma once

#include "base/base.h"
#include "load/front_connection_pool.h"
#include "load/latency_histogram.h"
#include "load/response_checker.h"
#include "load/traffic_mix.h"
#include "standins/standins.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

struct load_settings
{
    std::vector<endpoint> seeds; ///< Front ends that serve the first address list.
    std::string bindAddress;
    traffic_mix mix;
    double requestsPerSecond = 50.0;
    std::chrono::milliseconds duration{10000};
    std::size_t hitLimit = 10;
    std::chrono::milliseconds deadline{0}; ///< 0: the deadline of the service.
    double minimumCoverage = 0.0;
    std::chrono::milliseconds answerAfter{0}; ///< 0: omitted from the query.
    std::chrono::milliseconds clientDelay{0}; ///< Simulated one-way network latency between the caller and the front ends.
    std::uint64_t distinctTexts = 500;
    std::uint64_t seed = 1;
    double repeatedKeyPercent = 0.0; ///< Percentage of commands that reuse the key of an earlier command.
    std::size_t inFlightLimit = 5000;
    std::optional<endpoint> standinAdmin; ///< Serves the ledger of executed commands; the ledger isn't checked without it.
};

struct service_statistics
{
    bool isCommand = false;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0; ///< Any status that belongs to none of the three outcomes.
    std::uint64_t broken = 0; ///< No response: connection lost or timeout.
    std::uint64_t wrong = 0; ///< Answered, but not as the data generator expects.
    std::uint64_t partial = 0; ///< Passed the check with at least one shard missing.
    double coverageSum = 0.0; ///< Sum over answered queries that passed the check.
    latency_histogram latency; ///< Of answered requests, from the intended send time.
};

/// Requests whose intended send time lies in one second of the run.
struct second_statistics
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::chrono::microseconds maxLatency{0};
};

/// Comparison of the commands sent with the ledger of the stand-in targets.
struct command_check
{
    bool done = false; ///< False when the ledger is not configured or can't be read.
    std::uint64_t keysSent = 0;
    std::uint64_t keysRun = 0;
    std::uint64_t ranMoreThanOnce = 0;
    std::uint64_t notRunButRan = 0; ///< Every outcome was not_run, but the ledger has the key.
    std::uint64_t answeredButNotRun = 0;
};

struct load_statistics
{
    std::map<std::string, service_statistics> services;
    std::vector<second_statistics> seconds;
    std::vector<std::string> samples; ///< Descriptions of the first failed or wrong responses.
    std::uint64_t notSent = 0; ///< Skipped because the limit of requests in flight was reached.
    std::chrono::microseconds maxLag{0}; ///< Maximum delay of a send behind its intended time.
    std::uint64_t addressRefreshes = 0;
    std::uint64_t resent = 0;
    std::map<std::string, std::set<std::uint64_t>> indexVersions; ///< Of checked responses, by service.
    command_check commands;

    /// Returns the number of wrong responses plus the number of commands that contradict the ledger.
    std::uint64_t wrongTotal() const;
};

/// One open-loop load run: each request starts at its intended time, whether or not earlier ones have completed. Not thread-safe.
class load_run
{
public:
    /// Precondition: context and site outlive the run.
    load_run(boost::asio::io_context &context, load_settings settings, const site_description &site);

    /// Runs to the end. Unreachable when no front end returns addresses; Invalid when the mix names a service that the site doesn't have.
    boost::asio::awaitable<result<void>> run();

    const load_statistics &statistics() const;

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct key_history
    {
        std::string service;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t sent = 0;
    };

    result<void> checkMix() const;
    boost::asio::awaitable<void> sendRequests();
    boost::asio::awaitable<void> sendRequest(std::string service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<void> sendQuery(const site_service &service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<void> sendCommand(const site_service &service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<result<http_response>> exchange(http_request request, std::chrono::milliseconds deadline, bool isIdempotent);
    boost::asio::awaitable<void> waitUntil(time_point time);
    boost::asio::awaitable<void> checkLedger();
    void countOutcome(const std::string &service, const result<http_response> &response, time_point intended);
    void countCoverage(const std::string &service, const checked_response &response, time_point intended);
    void addSample(std::string text);
    std::string chooseKey(const std::string &service, std::uint64_t number);
    second_statistics &statisticsOfSecond(time_point intended);

    boost::asio::io_context &m_context;
    load_settings m_settings;
    const site_description &m_site;
    response_checker m_checker;
    front_connection_pool m_pool;
    std::mt19937_64 m_random;
    load_statistics m_statistics;
    std::string m_runId;
    std::map<std::string, key_history> m_keys;
    std::vector<std::string> m_keyOrder;
    std::size_t m_inFlight = 0;
    time_point m_startTime{};
};

} // namespace balsamhook
