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

/// Shared by all targets of one dispatcher. All referenced objects outlive the target tasks.
struct target_environment
{
    boost::asio::io_context &context;
    counters &metrics;
    span_store &spans;
    quarantine &requestQuarantine;
    std::function<void(const target_crash &)> onCrash; ///< Called when a crash is attributed to a request, before the response is sent.
    std::function<bool()> isEntitled; ///< Checked directly before each send.
    std::function<void()> onReleased; ///< Called when the last connection of a target has been closed after its ownership ended.
    std::string bindAddress;
    std::string requestIdPrefix; ///< Makes request ids unique across dispatchers and restarts.
    std::size_t queueLimit = 64;
};

enum class attempt_kind : std::uint8_t {
    Search,
    Execute,
};

/// An attempt to send to a target.
struct attempt_request
{
    attempt_kind kind = attempt_kind::Search;
    std::string body; ///< JSON
    std::string traceparent;
    std::uint64_t fingerprint = 0;
    boot_clock::time_point deadline;
};

/// Outcome of an attempt. NotRun only when no byte was sent or the target reported that it didn't start the request.
struct attempt_result
{
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    snapshot readFrom; ///< Snapshot of an answered search.
    std::string payload; ///< JSON of the hits or of the command's result.
    std::chrono::microseconds serviceTime{0};
};

/// Manages the connections and attempts of one target. Not thread-safe: all calls come from the thread of its io_context.
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

    /// Applies new limits. Precondition: the address is unchanged.
    void configure(const target_configuration &target);

    void assign();
    void permit();
    void withdraw();
    void drain(refusal_reason reason);
    void resume();

    /// Starts an attempt and returns its id for cancel(). The handler is called exactly once, possibly before the call returns.
    std::uint64_t startAttempt(attempt_request request, end_handler onEnded);
    void cancel(std::uint64_t attempt);

    /// Refuses the queued attempts whose deadline has passed.
    void advance();

    /// Reason for which the target's state refuses new attempts now; None when it accepts them.
    refusal_reason stateRefusal() const;

    target_report report() const;

    /// True while attempts are in flight or connections are open.
    bool isActive() const;
    std::size_t inFlight() const;
    target_state state() const;
    const endpoint &address() const;

    /// The target's JSON object in the response to GET /v1/targets.
    std::string describeJson() const;

private:
    struct running_attempt
    {
        attempt_request request;
        end_handler onEnded;
        bool sent = false;
        bool cancelled = false;
    };

    void perform(const target_scheduler::actions &actions);
    void endAttempt(std::uint64_t attempt, const attempt_result &ended);
    void finish(std::uint64_t attempt, attempt_end end, const attempt_result &ended);
    void recordLostConnection(std::uint64_t attempt);
    void addSpan(const attempt_request &request, const trace_context &spanContext, std::chrono::system_clock::time_point start, const attempt_result &ended);
    void requestCancel(std::uint64_t attempt);
    void closeWhenReleased();
    http_request makeRequest(std::uint64_t attempt, const attempt_request &request, const std::optional<trace_context> &spanContext) const;

    /// Reason for which an attempt must not be sent; None when it may be sent.
    refusal_reason checkBeforeSend(std::uint64_t attempt) const;

    static boost::asio::awaitable<void> runAttempt(pointer self, std::uint64_t attempt);
    static boost::asio::awaitable<void> pollStatus(pointer self);
    static boost::asio::awaitable<void> sendCancels(pointer self);
    boost::asio::awaitable<void> exchangeAttempt(std::uint64_t attempt, http_connection::pointer connection);
    boost::asio::awaitable<bool> checkConnection(http_connection::pointer connection);
    boost::asio::awaitable<void> checkOldestConnection();
    boost::asio::awaitable<void> openMissingConnections();
    void applyStatus(const std::string &body);
    std::size_t desiredConnections() const;

    target_environment &m_environment;
    target_configuration m_target;
    target_scheduler m_scheduler;
    target_connections m_connections;
    std::map<std::uint64_t, running_attempt> m_attempts;
    std::vector<std::string> m_pendingCancels; ///< Request ids that wait to be cancelled at the target.
    bool m_hasCancelsInFlight = false;
    std::uint64_t m_nextAttempt = 0;
    std::vector<snapshot> m_snapshots;
    boost::asio::steady_timer m_pollTimer;
    bool m_stopped = false;
};

} // namespace balsamhook
