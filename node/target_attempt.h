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
    Success, ///< A complete, signed answer with status 2xx.
    TargetFailure, ///< The target ran the request and answered with another status.
    NotRun, ///< The target said that it did not run the request.
    Unreachable, ///< Nothing was sent.
    Lost, ///< Sent; the connection ended or the response can't be used. It may have run.
};

std::string_view nameOf(attempt_outcome outcome);

/// True when the target may have run the request.
bool mayHaveRun(attempt_outcome outcome);

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Unreachable;
    http_message response; ///< Valid for Success, TargetFailure and NotRun.
    std::chrono::microseconds duration{0};
};

/// The targets that one request, or one shard of it, was sent to.
struct asked_targets
{
    std::vector<std::string> tried; ///< May have run it, or can't.
    std::vector<std::string> refused; ///< Did not run it and may be asked again.

    /// Takes over the outcome of an attempt that went to a target in tried.
    void onOutcome(const std::string &targetId, const attempt_result &result);

    std::size_t sends() const;

    /// The target that was asked last; empty when none was.
    std::string last() const;
};

/// What is sent with one attempt.
struct attempt_order
{
    std::shared_ptr<const outgoing_request> request;
    std::chrono::steady_clock::time_point deadline; ///< Handed on to the target as the time left.
    std::chrono::microseconds typical{0}; ///< Usual latency of such a request, for the target's health.
    bool mayRepeat = true; ///< False: only a connection that was used a moment ago, or a new one, is good enough.
};

/// One send of a request to one target. Ends with its handler, or with abandon().
class target_attempt : public std::enable_shared_from_this<target_attempt>
{
public:
    using handler = std::function<void(attempt_result)>;

    target_attempt(node_context &context, target_link_ptr link, attempt_order order, handler done);

    void start();

    /// Nobody waits for the answer any more. When the caller has left, the connection is closed so that the target stops; else the target may finish
    /// until the deadline that it was given, and its connection is kept.
    void abandon(bool callerLeft);

    const target_link &link() const;
    bool wasSent() const;

private:
    std::shared_ptr<target_connection> takeIdle(std::chrono::steady_clock::time_point now);
    void openConnection();
    void failToOpen();
    void send(std::shared_ptr<target_connection> connection, bool isReused);
    void onExchanged(exchange_result exchanged);
    attempt_outcome classify(const exchange_result &exchanged) const;
    void updateHealth(attempt_outcome outcome, const exchange_result &exchanged, std::chrono::steady_clock::time_point now);
    void release(bool keep);
    void finish(attempt_result result);

    node_context &m_context;
    target_link_ptr m_link;
    attempt_order m_order;
    handler m_done;
    std::shared_ptr<target_connection> m_connection;
    timer_queue::handle m_timer = 0;
    std::chrono::steady_clock::time_point m_startedAt{};
    bool m_isReused = false;
    bool m_wasSent = false;
    bool m_isOver = false;
};

using target_attempt_ptr = std::shared_ptr<target_attempt>;

} // namespace balsamhook
