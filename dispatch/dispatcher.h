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
    std::size_t queueLimit = 64; ///< For each target.
    std::chrono::milliseconds quarantinePeriod{600000};
    std::size_t quarantineCapacity = 1024; ///< Fingerprints
    claim_limits claims;
};

/// What the dispatcher asks of its controller.
struct dispatcher_control
{
    std::function<bool()> isEntitled;
    std::function<void()> statusChanged;
};

/// Owns the targets of this instance and the connections of front ends. Not thread-safe: all calls come from the thread of its io_context.
class dispatcher
{
public:
    /// Precondition: context, store, numbers and spans outlive the dispatcher, and the context doesn't run any more when it is destroyed.
    dispatcher(
        boost::asio::io_context &context, dispatcher_settings values, object_store &store, counters &numbers, span_store &spans, dispatcher_control control);
    ~dispatcher();

    /// Starts the periodic tasks. Precondition: called once.
    void start();

    /// Ends the periodic tasks and closes idle connections to targets.
    void stop();

    /// Applies a state of the controller. A state whose configuration can't be read is refused as a whole.
    void apply(const control_state &state);

    /// Status for the controller.
    program_status status() const;

    /// Serves one front end until its connection closes; its attempts are cancelled then.
    boost::asio::awaitable<void> serve(frame_connection::pointer connection);

    /// Answers GET /v1/targets.
    http_response describeTargets() const;

    /// True when no work is queued or in flight and the outcomes of all commands are recorded.
    bool isIdle() const;

    /// True when no target is owned, or the instance may not send to them any more.
    bool isReleased() const;

    /// True when a state was applied and the instance may send.
    bool isReady() const;

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    void applyTarget(const target_configuration &target, const control_state &state);
    void removeUnknownTargets();
    boost::asio::awaitable<void> advancePeriodically();
    boost::asio::awaitable<void> reportPeriodically();
    void sendChangedReports();
    void tellFronts(const message &news);
    target_reports ownedReports() const;

    void accept(const session_pointer &front, const message &received);
    void startSubQueries(const session_pointer &front, const sub_query_batch &batch);
    void startSubQuery(const session_pointer &front, const sub_query_batch &batch, const sub_query_item &item, attempt_request request);
    void startCommand(const session_pointer &front, const command_request &request);
    void cancelAttempts(const session_pointer &front, const cancel_attempts &request);
    void cancelAll(const session_pointer &front);
    void reply(const session_pointer &front, const message &answer);

    /// Refusal of a request to the target before anything is started; None when there is none.
    refusal_reason checkEntry(const std::string &target) const;
    refusal_reason checkCommand(const command_request &request) const;

    boost::asio::io_context &m_context;
    dispatcher_settings m_settings;
    counters &m_numbers;
    dispatcher_control m_control;
    quarantine m_quarantine;
    target_environment m_environment;
    std::shared_ptr<claim_task> m_claims;
    configuration_document m_document;
    std::uint64_t m_revision = 0;
    std::uint64_t m_memberListVersion = 0;
    std::set<std::string, std::less<>> m_owned; ///< Targets on which this instance may act.
    bool m_hasState = false;
    std::map<std::string, target_task::pointer, std::less<>> m_targets;
    std::set<session_pointer> m_sessions;
    std::map<std::string, target_report, std::less<>> m_lastReports;
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_reportTimer;
    bool m_stopped = false;
};

} // namespace balsamhook
