#pragma once

#include "base/base.h"
#include "configuration/document.h"
#include "dispatch/target_connections.h"
#include "dispatch/target_scheduler.h"
#include "quarantine/quarantine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamhook
{

/// What the targets of one dispatcher share. Everything outlives the target tasks.
struct target_environment
{
    boost::asio::io_context &context;
    counters &numbers;
    span_store &spans;
    quarantine &crashes;
    std::function<void(const target_crash &)> crashed; ///< A crash was blamed on a request; told to the front ends before its answer.
    std::function<bool()> isEntitled; ///< Asked directly before each send.
    std::function<void()> released; ///< A target's last connection was closed after its ownership had ended.
    std::string bindAddress;
    std::string requestIdPrefix; ///< Makes request ids unique among dispatchers and their restarts.
    std::size_t queueLimit = 64;
};

enum class attempt_kind : std::uint8_t {
    Search,
    Execute,
};

/// One request to a target.
struct attempt_request
{
    attempt_kind kind = attempt_kind::Search;
    std::string body; ///< JSON
    std::string traceparent;
    std::uint64_t fingerprint = 0;
    boot_clock::time_point deadline;
};

/// How an attempt ended. NotRun only when no byte was sent or the target said that it didn't start it.
struct attempt_result
{
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    snapshot readFrom; ///< Of an answered search.
    std::string payload; ///< JSON of the hits or of the command's result.
    std::chrono::microseconds serviceTime{0};
};

/// Owns the connections and attempts of one target. Not thread-safe: all calls come from the thread of its io_context.
class target_task : public std::enable_shared_from_this<target_task>
{
public:
    using pointer = std::shared_ptr<target_task>;
    using end_handler = std::function<void(const attempt_result &)>;

    target_task(target_environment &environment, const target_configuration &target);

    /// Starts the status poll. Precondition: called once.
    void start();

    /// Ends the status poll and closes idle connections.
    void stop();

    /// Takes new bounds. Precondition: the address is unchanged.
    void configure(const target_configuration &target);

    void assign();
    void permit();
    void withdraw();
    void leave(refusal_reason reason);
    void comeBack();

    /// Starts an attempt and returns its id for cancel(). The handler is called exactly once, possibly before the call returns.
    std::uint64_t startAttempt(attempt_request request, end_handler ended);
    void cancel(std::uint64_t attempt);

    /// Refuses expired entries of the queue.
    void advance();

    /// Refusal that an attempt would get now because of the target's state; None when there is none.
    refusal_reason stateRefusal() const;

    target_report report() const;

    /// True while attempts are in flight or connections open.
    bool isActive() const;
    std::size_t inFlight() const;
    target_state state() const;
    const endpoint &address() const;

    /// JSON object for GET /v1/targets.
    std::string describeJson() const;

private:
    struct running_attempt
    {
        attempt_request request;
        end_handler ended;
        bool sent = false;
        bool cancelled = false;
    };

    void perform(const target_scheduler::actions &actions);
    void endAttempt(std::uint64_t attempt, const attempt_result &ended);
    void finish(std::uint64_t attempt, attempt_end end, const attempt_result &ended);
    void blameLostConnection(std::uint64_t attempt);
    void addSpan(const attempt_request &request, const trace_context &own, std::chrono::system_clock::time_point start, const attempt_result &ended);
    void requestCancel(std::uint64_t attempt);
    void closeWhenReleased();
    http_request makeRequest(std::uint64_t attempt, const attempt_request &request, const std::optional<trace_context> &own) const;

    /// Reason not to send an attempt that has its connection; None when it may be sent.
    refusal_reason checkBeforeSend(std::uint64_t attempt) const;

    static boost::asio::awaitable<void> runAttempt(pointer self, std::uint64_t attempt);
    static boost::asio::awaitable<void> pollStatus(pointer self);
    static boost::asio::awaitable<void> sendCancels(pointer self);
    boost::asio::awaitable<void> exchangeAttempt(std::uint64_t attempt, http_connection::pointer connection);
    boost::asio::awaitable<bool> checkConnection(http_connection::pointer connection);
    boost::asio::awaitable<void> checkOldest();
    boost::asio::awaitable<void> openSpare();
    void acceptStatus(const std::string &body);
    std::size_t wantedConnections() const;

    target_environment &m_environment;
    target_configuration m_target;
    target_scheduler m_scheduler;
    target_connections m_connections;
    std::map<std::uint64_t, running_attempt> m_attempts;
    std::vector<std::string> m_cancels; ///< Request ids to cancel at the target.
    bool m_cancelling = false;
    std::uint64_t m_nextAttempt = 0;
    std::vector<snapshot> m_snapshots;
    boost::asio::steady_timer m_pollTimer;
    bool m_stopped = false;
};

} // namespace balsamhook
