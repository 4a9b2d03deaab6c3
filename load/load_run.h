#pragma once

#include "base/base.h"
#include "load/answer_check.h"
#include "load/caller_pool.h"
#include "load/latency_histogram.h"
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
    std::vector<endpoint> seeds; ///< Front ends to ask first.
    std::string bindAddress;
    traffic_mix mix;
    double requestsPerSecond = 50.0;
    std::chrono::milliseconds duration{10000};
    std::size_t hitLimit = 10;
    std::chrono::milliseconds deadline{0}; ///< 0: the service's own.
    double minimumCoverage = 0.0;
    std::chrono::milliseconds answerAfter{0}; ///< 0: not asked for.
    std::chrono::milliseconds clientDelay{0}; ///< Waited before each send and after each receipt: the way between the caller and the front ends.
    std::uint64_t differentTexts = 500;
    std::uint64_t seed = 1;
    double repeatedKeyPercent = 0.0; ///< Share of commands that send an earlier key again.
    std::size_t inFlightLimit = 5000;
    std::optional<endpoint> standinAdmin; ///< Where to read which commands ran.
};

struct service_figures
{
    bool isCommand = false;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0; ///< Another status than those of the three outcomes.
    std::uint64_t broken = 0; ///< No answer: connection broken or out of time.
    std::uint64_t wrong = 0; ///< Answered, but not what the generator says.
    std::uint64_t partial = 0; ///< Answered with a shard missing.
    double coverageSum = 0.0; ///< Over answered queries
    latency_histogram latency; ///< Of answered requests, from the intended send time.
};

/// Requests whose intended send time lies in one second of the run.
struct second_figures
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::chrono::microseconds highestLatency{0};
};

/// What the ledger of the stand-in targets says about the commands sent.
struct command_check
{
    bool done = false;
    std::uint64_t keysSent = 0;
    std::uint64_t keysRun = 0;
    std::uint64_t ranMoreThanOnce = 0;
    std::uint64_t notRunButRan = 0; ///< Every outcome was not_run, but the ledger has the key.
    std::uint64_t answeredButNotRun = 0;
};

struct load_figures
{
    std::map<std::string, service_figures> services;
    std::vector<second_figures> seconds;
    std::vector<std::string> samples; ///< The first wrong or broken answers, for the reader of the report.
    std::uint64_t notSent = 0; ///< Due while the limit of requests in flight was reached.
    std::chrono::microseconds highestLag{0}; ///< Longest time that the tool itself was behind the schedule.
    std::uint64_t addressRefreshes = 0;
    std::uint64_t resent = 0;
    std::map<std::string, std::set<std::uint64_t>> indexVersions; ///< Seen in answers
    command_check commands;

    /// Returns the number of broken promises that the tool itself can see.
    std::uint64_t wrongTotal() const;
};

/// One open-loop experiment: requests start at their intended times, whether or not earlier ones have been answered. Not thread-safe.
class load_run
{
public:
    /// Precondition: context and site outlive the run.
    load_run(boost::asio::io_context &context, load_settings values, const site_description &site);

    /// Runs the experiment to its end; Unreachable when no front end gives addresses. Invalid when the mix names a service that the site doesn't have.
    boost::asio::awaitable<result<void>> run();

    const load_figures &figures() const;

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
    boost::asio::awaitable<void> sendAll();
    boost::asio::awaitable<void> sendOne(std::string service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<void> query(const site_service &service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<void> command(const site_service &service, time_point intended, std::uint64_t number);
    boost::asio::awaitable<result<http_response>> exchange(http_request request, std::chrono::milliseconds deadline, bool isRepeatable);
    boost::asio::awaitable<void> pauseUntil(time_point due);
    boost::asio::awaitable<void> checkLedger();
    void countOutcome(const std::string &service, const result<http_response> &response, time_point intended);
    void countCoverage(const std::string &service, const checked_answer &answer, time_point intended);
    void addSample(std::string sentence);
    std::string chooseKey(const std::string &service, std::uint64_t number);
    second_figures &secondOf(time_point intended);

    boost::asio::io_context &m_context;
    load_settings m_settings;
    const site_description &m_site;
    answer_check m_check;
    caller_pool m_pool;
    std::mt19937_64 m_random;
    load_figures m_figures;
    std::string m_runId;
    std::map<std::string, key_history> m_keys;
    std::vector<std::string> m_keyOrder;
    std::size_t m_inFlight = 0;
    time_point m_begin{};
};

} // namespace balsamhook
