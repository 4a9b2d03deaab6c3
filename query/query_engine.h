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
    double budgetBurst = 20; ///< Extra attempts of a service that need not have been earned.
    std::uint64_t randomSeed = 1;
    std::uint64_t firstAttemptId = 1;
    std::chrono::milliseconds quarantinePeriod{600000}; ///< How long a request that crashed two targets is refused.
    std::size_t quarantineCapacity = 1024; ///< Fingerprints
};

/// The decisions of a front end: runs all queries and commands. It takes events with the time and returns actions; it has no sockets and no clock.
/// Not thread-safe.
class query_engine
{
public:
    /// Precondition: numbers outlives the engine.
    query_engine(engine_settings settings, counters &numbers);

    /// Takes a new configuration and new owners. Running queries keep their layout.
    void setLayouts(service_layouts layouts);
    void setOwners(const std::vector<target_owner> &owners);

    /// The layout of a service; nullptr when there is none.
    std::shared_ptr<const service_layout> findService(std::string_view name) const;

    /// Starts a query under a request number that isn't in use. The result comes as finish_query, perhaps at once.
    /// Precondition: the service exists and is a query service.
    query_actions startQuery(std::uint64_t request, std::string queryId, trace_context trace, query_request wanted, boot_clock::time_point now);

    /// Starts a command. Precondition: the service exists and is a command service.
    query_actions startCommand(std::uint64_t request, trace_context trace, const caller_command &wanted, boot_clock::time_point now);

    /// Takes a message that an instance's dispatcher sent.
    query_actions receive(const std::string &instance, const sub_response &ended, boot_clock::time_point now);
    query_actions receive(const std::string &instance, const command_response &ended, boot_clock::time_point now);
    void receive(const std::string &instance, const target_reports &reports);
    void receive(const crash_notice &notice, boot_clock::time_point now);

    /// The connection to an instance broke; what was sent over it may have run.
    query_actions connectionLost(const std::string &instance, boot_clock::time_point now);

    /// The message of a send_message action couldn't be handed to a connection.
    query_actions sendFailed(const send_message &unsent, boot_clock::time_point now);

    /// Acts on the time.
    query_actions tick(boot_clock::time_point now);

    /// When tick() has to be called next at the latest; no value when nothing runs.
    std::optional<boot_clock::time_point> nextWake() const;

    std::size_t inFlight() const;

    /// Attempts that wait for an answer.
    std::size_t waitingAttempts() const;

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

    service_memory &memoryOf(const service_layout &service);
    void updateWake(std::uint64_t request);
    void endCommand(std::uint64_t request, command_result result, boot_clock::time_point now, query_actions &actions);
    void removeFinishedQuery(std::uint64_t request);
    query_actions queriesLost(const std::string &instance, boot_clock::time_point now);
    void commandsLost(const std::string &instance, boot_clock::time_point now, query_actions &actions);
    void commandNotSent(std::uint64_t attemptId, boot_clock::time_point now, query_actions &actions);

    engine_settings m_settings;
    counters &m_numbers;
    admission m_admission;
    quarantine m_quarantine;
    service_layouts m_layouts;
    std::map<std::string, service_memory, std::less<>> m_memories;
    query_environment m_environment;
    std::unordered_map<std::uint64_t, query_entry> m_queries;
    std::unordered_map<std::uint64_t, running_command> m_commands;
    std::set<std::pair<boot_clock::time_point, std::uint64_t>> m_wakes;
};

} // namespace balsamhook
