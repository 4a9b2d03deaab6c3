#pragma once

#include "quarantine/quarantine.h"
#include "query/admission.h"
#include "query/command_route.h"
#include "query/running_query.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace balsamhook
{

struct engine_settings
{
    std::string dataCentre;
    std::size_t inFlightLimit = 512;
    double budgetBurst = 20; ///< Capacity of each service's budget for extra attempts.
    std::uint64_t randomSeed = 1;
    std::uint64_t firstAttemptId = 1;
    std::chrono::milliseconds quarantinePeriod{600000}; ///< How long a request that crashed two targets is refused.
    std::size_t quarantineCapacity = 1024; ///< Fingerprints
};

/// Runs all queries and commands of a front end. Event handlers take the current time and return actions; the class uses no sockets and reads no clock.
/// Not thread-safe.
class query_engine
{
public:
    /// Precondition: metrics outlives the engine.
    query_engine(engine_settings settings, counters &metrics);

    /// Sets the layouts for new queries; running queries keep theirs.
    void setLayouts(service_layouts layouts);

    /// Sets the owners of all targets, also for further attempts of running queries.
    void setOwners(const std::vector<target_owner> &owners);

    /// Layout of a service; nullptr when the service is unknown.
    std::shared_ptr<const service_layout> findService(std::string_view name) const;

    /// Starts a query. Its result is returned as a finish_query action, by this call or a later one.
    /// Precondition: no request with this number is in flight; the service exists and is a query service.
    query_actions startQuery(std::uint64_t requestNumber, std::string queryId, trace_context trace, query_request request, boot_clock::time_point now);

    /// Starts a command. Its result is returned as a finish_command action, by this call or a later one.
    /// Precondition: no request with this number is in flight; the service exists and is a command service.
    query_actions startCommand(std::uint64_t requestNumber, trace_context trace, const caller_command &request, boot_clock::time_point now);

    /// Handles a message from the dispatcher of an instance. A response to an attempt that is not in flight on this instance is dropped and counted.
    query_actions receive(const std::string &instance, const sub_response &response, boot_clock::time_point now);
    query_actions receive(const std::string &instance, const command_response &response, boot_clock::time_point now);
    void receive(const std::string &instance, const target_reports &reports);
    void receive(const crash_notice &notice, boot_clock::time_point now);

    /// Handles the loss of the connection to an instance; requests that were sent over it may have run.
    query_actions onDisconnected(const std::string &instance, boot_clock::time_point now);

    /// Handles a send_message action that failed: no byte of its message was sent.
    query_actions onSendFailed(const send_message &unsent, boot_clock::time_point now);

    /// Handles all hedges, partial responses and deadlines that are due.
    query_actions tick(boot_clock::time_point now);

    /// Time at which tick() must be called at the latest; no value when no request is in flight.
    std::optional<boot_clock::time_point> nextWake() const;

    /// Number of queries and commands in flight.
    std::size_t inFlight() const;

    std::size_t attemptsInFlight() const;

private:
    struct running_command
    {
        std::uint64_t attemptId = 0;
        std::string target;
        std::string instance;
        trace_context trace;
        trace_context attemptTrace;
        boot_clock::time_point start;
        boot_clock::time_point deadline;
    };

    struct query_entry
    {
        std::unique_ptr<running_query> query;
        boot_clock::time_point wake;
    };

    service_state &stateOf(const service_layout &service);
    void updateWake(std::uint64_t requestNumber);
    void endCommand(std::uint64_t requestNumber, command_result result, boot_clock::time_point now, query_actions &actions);
    void removeFinishedQuery(std::uint64_t requestNumber);
    query_actions endAttemptsOn(const std::string &instance, boot_clock::time_point now);
    void endCommandsOn(const std::string &instance, boot_clock::time_point now, query_actions &actions);
    void endUnsentCommand(std::uint64_t attemptId, boot_clock::time_point now, query_actions &actions);

    engine_settings m_settings;
    counters &m_metrics;
    admission m_admission;
    quarantine m_quarantine;
    service_layouts m_layouts;
    std::map<std::string, service_state, std::less<>> m_serviceStates;
    query_environment m_environment;
    std::unordered_map<std::uint64_t, query_entry> m_queries;
    std::unordered_map<std::uint64_t, running_command> m_commands;
    std::set<std::pair<boot_clock::time_point, std::uint64_t>> m_wakes;
};

} // namespace balsamhook
