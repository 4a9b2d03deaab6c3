#pragma once

#include "base/base.h"
#include "configuration/document.h"
#include "dispatch/claim_task.h"
#include "dispatch/target_task.h"
#include "http/http.h"
#include "quarantine/quarantine.h"
#include "wire/wire.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace balsamhook
{

struct dispatcher_settings
{
    hello identity;
    std::string bindAddress; ///< Local address of connections to targets; empty: any.
    std::size_t queueLimit = 64; ///< Queued attempts for each target.
    std::chrono::milliseconds quarantinePeriod{600000};
    std::size_t quarantineCapacity = 1024; ///< Fingerprints
    claim_limits claims;
};

/// Callbacks from the dispatcher to its controller.
struct dispatcher_control
{
    std::function<bool()> isEntitled; ///< True while this instance may send to its targets.
    std::function<void()> onStatusChanged; ///< Called when a target has been released.
};

/// Sends attempts to the targets that this instance owns and serves the connections of front ends. Not thread-safe: all calls come from
/// the thread of its io_context.
class dispatcher
{
public:
    /// Precondition: context, store, metrics and spans outlive the dispatcher, and the context no longer runs when the dispatcher is destroyed.
    dispatcher(
        boost::asio::io_context &context, dispatcher_settings settings, object_store &store, counters &metrics, span_store &spans, dispatcher_control control);
    ~dispatcher();

    /// Starts the periodic tasks. Precondition: called once.
    void start();

    /// Stops the periodic tasks and closes idle connections to targets.
    void stop();

    /// Applies a state from the controller. A state whose configuration can't be parsed is rejected as a whole and counted.
    void apply(const control_state &state);

    /// Status that is reported to the controller.
    program_status status() const;

    /// Serves one front end until its connection closes, then cancels its sub-queries. Its commands continue.
    boost::asio::awaitable<void> serve(frame_connection::pointer connection);

    /// Response to GET /v1/targets.
    http_response describeTargets() const;

    /// True when no work is queued or in flight and the outcomes of all commands are recorded.
    bool isIdle() const;

    /// True when the instance owns no target or isn't entitled to send.
    bool isReleased() const;

    /// True when a state has been applied and the instance is entitled to send.
    bool isReady() const;

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    void applyTarget(const target_configuration &target, const control_state &state);
    void removeUnknownTargets();
    boost::asio::awaitable<void> advancePeriodically();
    boost::asio::awaitable<void> reportPeriodically();
    void sendChangedReports();
    void broadcast(const message &update);
    target_reports ownedReports() const;

    void handleMessage(const session_pointer &front, const message &received);
    void startSubQueries(const session_pointer &front, const sub_query_batch &batch);
    void startSubQuery(const session_pointer &front, const sub_query_batch &batch, const sub_query_item &item, attempt_request request);
    void startCommand(const session_pointer &front, const command_request &request);
    void cancelAttempts(const session_pointer &front, const cancel_attempts &request);
    void cancelAll(const session_pointer &front);
    void send(const session_pointer &front, const message &response);

    /// Reason to refuse an attempt at this target before it is queued; None when it is accepted.
    refusal_reason checkAdmission(const std::string &target) const;
    /// Reason to refuse a command before it is claimed; None when it is accepted.
    refusal_reason checkCommand(const command_request &request) const;

    boost::asio::io_context &m_context;
    dispatcher_settings m_settings;
    counters &m_metrics;
    dispatcher_control m_control;
    quarantine m_quarantine;
    target_environment m_environment;
    std::shared_ptr<claim_task> m_claims;
    configuration_document m_document;
    std::uint64_t m_revision = 0;
    std::uint64_t m_memberListVersion = 0;
    std::set<std::string, std::less<>> m_owned; ///< Targets to which this instance may send.
    bool m_hasState = false;
    std::map<std::string, target_task::pointer, std::less<>> m_targets;
    std::set<session_pointer> m_sessions;
    std::map<std::string, target_report, std::less<>> m_lastReports;
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_reportTimer;
    bool m_stopped = false;
};

} // namespace balsamhook
