#pragma once

#include "base/base.h"
#include "http/http.h"
#include "query/caller_requests.h"
#include "query/dispatcher_links.h"
#include "query/query_engine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace balsamhook
{

struct front_settings
{
    hello identity;
    std::string listenAddress; ///< Local address of the connections to dispatchers.
    frame_limits frames; ///< Limits of the connections to dispatchers.
    std::size_t inFlightLimit = 512;
    double budgetBurst = 20;
    std::chrono::milliseconds addressValidity{3000};
};

/// HTTP service of a front end: handles /v1/addresses, /v1/query and /v1/command with a query engine and connections to the dispatchers.
/// Not thread-safe: all calls come from the thread of its io_context.
class front_service
{
public:
    /// isAccepting: returns true while new requests may be accepted. Precondition: context, metrics and spans outlive the service, and the context has
    /// stopped running when the service is destroyed.
    front_service(boost::asio::io_context &context, front_settings settings, counters &metrics, span_store &spans, std::function<bool()> isAccepting);
    ~front_service();
    front_service(const front_service &) = delete;
    front_service &operator=(const front_service &) = delete;

    /// Applies a new control state. A state whose configuration can't be parsed is rejected as a whole and counted.
    void applyState(const control_state &state);

    /// Handles one request of a caller.
    boost::asio::awaitable<http_response> handle(http_request request);

    /// Removes this instance from the responses of /v1/addresses. New requests are still served.
    void stopAdvertising();

    /// Closes the connections to the dispatchers and stops the timer of the engine. Requests in flight may get no response.
    void stop();

    /// True when a control state was applied and new requests are accepted.
    bool isReady() const;

    std::uint64_t appliedRevision() const;
    std::uint64_t appliedMemberListVersion() const;
    std::size_t inFlight() const;

private:
    template<class Result>
    struct waiting_caller
    {
        explicit waiting_caller(boost::asio::io_context &context)
            : finished(context, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer finished; ///< Never expires; cancelled to resume the waiting coroutine when the result is set.
        std::optional<Result> result;
    };

    /// Data of the span of a request.
    struct request_trace
    {
        trace_context context;
        std::string parentSpan;
        std::chrono::system_clock::time_point start;
        boot_clock::time_point monotonicStart;
    };

    http_response addresses() const;
    boost::asio::awaitable<http_response> handleQuery(const http_request &request, const request_trace &trace);
    boost::asio::awaitable<http_response> handleCommand(const http_request &request, const request_trace &trace);
    boost::asio::awaitable<query_result> runQuery(query_request query, trace_context trace);
    boost::asio::awaitable<command_result> runCommand(caller_command command, trace_context trace);
    void onMessage(const std::string &instance, const message &content);
    void execute(query_actions actions);
    void executeAction(query_action &action, std::deque<query_action> &pending);
    void scheduleWake();
    void recordRequest(const request_trace &trace, std::string_view name, const http_request &request, const http_response &response);
    void recordQuery(const query_result &result, boot_clock::time_point start);

    boost::asio::io_context &m_context;
    front_settings m_settings;
    counters &m_metrics;
    span_store &m_spans;
    std::function<bool()> m_isAccepting;
    query_engine m_engine;
    dispatcher_links m_links;
    boost::asio::steady_timer m_wake;
    std::optional<boot_clock::time_point> m_wakeAt;
    std::map<std::uint64_t, std::shared_ptr<waiting_caller<query_result>>> m_queryCallers;
    std::map<std::uint64_t, std::shared_ptr<waiting_caller<command_result>>> m_commandCallers;
    std::uint64_t m_nextRequestNumber = 1;
    std::optional<control_state> m_state;
    bool m_advertisingStopped = false;
};

} // namespace balsamhook
