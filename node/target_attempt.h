#pragma once

#include "node/outgoing_request.h"
#include "node/target_link.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

enum class attempt_outcome : std::uint8_t {
    Success, ///< A response with a 2xx status, one signature, the id of the request and no content encoding.
    TargetFailure, ///< The target responded with another status. It may have run the request.
    NotRun, ///< The target reported that it did not run the request.
    Unreachable, ///< Nothing was sent.
    Lost, ///< Sent, but the connection ended or the response is unusable. The target may have run the request.
};

std::string_view nameOf(attempt_outcome outcome);

/// True when the target may have run the request.
bool mayHaveRun(attempt_outcome outcome);

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Unreachable;
    http_message response; ///< Valid for Success, TargetFailure and NotRun.
    std::chrono::microseconds duration{0};
    std::uint64_t connection = 0; ///< Number of the connection that the request was sent on; 0 if it wasn't sent.
};

/// Targets that a request, or one of its sub-queries, was sent to.
struct attempted_targets
{
    std::vector<std::string> tried; ///< Not chosen again: they may have run the request, or can't run it.
    std::vector<std::string> refused; ///< Did not run the request; may be chosen again.
    std::vector<std::uint64_t> connections; ///< Numbers of the connections that the request was sent on.

    /// Records the outcome of an attempt that did not succeed. Precondition: the target is in tried.
    void onOutcome(const std::string &targetId, const attempt_result &result);

    std::size_t sends() const;

    /// Returns the last target in tried, or else in refused; empty before the first attempt.
    std::string last() const;
};

/// Request and limits of one attempt.
struct attempt_options
{
    std::shared_ptr<const outgoing_request> request;
    std::chrono::steady_clock::time_point deadline; ///< Sent to the target as the time left.
    latency_profile usual; ///< Latency of the route, for the target's health.
    bool isIdempotent = true; ///< When false, only a new or recently used connection is used.
    std::vector<std::uint64_t> usedConnections; ///< A late response to an earlier send of the request may arrive on these, so they are not used again.
};

/// One send of a request to one target. Ends with a call of its handler, or with abandon(). Not thread-safe.
class target_attempt : public std::enable_shared_from_this<target_attempt>
{
public:
    using handler = std::function<void(attempt_result)>;

    /// Precondition: context outlives the attempt.
    target_attempt(node_context &context, target_link_ptr link, attempt_options options, handler done);

    /// Sends the request on an idle connection or opens one. Precondition: called once.
    void start();

    /// Discards the response; the handler isn't called any more. With shouldCancel, the connection is closed at once so that the target stops; otherwise
    /// the target may finish until the deadline that it was sent, and the connection is kept. An unsent request is always cancelled.
    void abandon(bool shouldCancel);

    const target_link &link() const;
    bool wasSent() const;

private:
    std::shared_ptr<target_connection> takeIdleConnection(std::chrono::steady_clock::time_point now);
    bool wasUsed(const target_connection &connection) const;
    void closeUsedConnections();
    void openConnection();
    void onOpenFailed();
    void send(std::shared_ptr<target_connection> connection, bool isReused);
    void onExchanged(exchange_result exchanged);
    attempt_outcome classify(const exchange_result &exchanged) const;
    void updateLimit(attempt_outcome outcome, const exchange_result &exchanged, std::chrono::steady_clock::time_point now);
    void updateNotices(const exchange_result &exchanged, std::chrono::steady_clock::time_point now);
    void updateHealth(attempt_outcome outcome, const exchange_result &exchanged, std::chrono::steady_clock::time_point now);
    void release(bool keep);
    void finish(attempt_result result);

    node_context &m_context;
    target_link_ptr m_link;
    attempt_options m_options;
    handler m_done;
    std::shared_ptr<target_connection> m_connection;
    std::uint64_t m_connectionNumber = 0; ///< Of the connection that the request was sent on.
    timer_queue::handle m_timer = 0;
    std::chrono::steady_clock::time_point m_startedAt{};
    bool m_isReused = false;
    bool m_wasSent = false;
    bool m_isOver = false;
};

using target_attempt_ptr = std::shared_ptr<target_attempt>;

} // namespace balsamhook
