#include "query/query_engine.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Time by which the owner's deadline precedes the caller's, so that a NotRun response of the owner arrives in time. Without it, commands that waited for
/// their claim until the deadline ended as unknown.
std::chrono::microseconds responseMargin(std::chrono::microseconds remaining)
{
    constexpr std::chrono::microseconds MaxMargin{20000};
    return std::min(remaining / 10, MaxMargin);
}

query_result refusedQuery(std::string queryId, const service_layout &service, std::string_view reason)
{
    query_result result;
    result.queryId = std::move(queryId);
    result.ended = outcome::NotRun;
    result.reason = reason;
    result.coverage.total = service.shards.size();
    for (const shard_layout &shard : service.shards) {
        result.coverage.missing.push_back({shard.shard, std::string(reason)});
    }
    return result;
}

std::vector<std::uint64_t> attemptIdsOf(const sub_query_batch &batch)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(batch.items.size());
    for (const sub_query_item &item : batch.items) {
        ids.push_back(item.attemptId);
    }
    return ids;
}

} // namespace

query_engine::query_engine(engine_settings settings, counters &metrics)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_admission(m_settings.inFlightLimit)
    , m_quarantine(m_settings.quarantinePeriod, m_settings.quarantineCapacity)
    , m_environment{{}, m_settings.dataCentre, std::mt19937_64(m_settings.randomSeed), m_settings.firstAttemptId, {}, false, metrics}
{
}

void query_engine::setLayouts(service_layouts layouts)
{
    m_layouts = std::move(layouts);
    for (auto &[name, state] : m_serviceStates) {
        const auto service = findService(name);
        if (service != nullptr) {
            state.budget.setPercent(service->hedgePercent);
        }
    }
}

void query_engine::setOwners(const std::vector<target_owner> &owners)
{
    m_environment.targets.setOwners(owners);
}

std::shared_ptr<const service_layout> query_engine::findService(std::string_view name) const
{
    const auto found = m_layouts.find(name);
    return found == m_layouts.end() ? nullptr : found->second;
}

service_state &query_engine::stateOf(const service_layout &service)
{
    const auto found = m_serviceStates.find(service.name);
    if (found != m_serviceStates.end()) {
        return found->second;
    }
    return m_serviceStates.emplace(service.name, service_state{token_budget(service.hedgePercent, m_settings.budgetBurst), {}}).first->second;
}

query_actions query_engine::startQuery(std::uint64_t requestNumber, std::string queryId, trace_context trace, query_request request, boot_clock::time_point now)
{
    BALSAM_ASSERT(!m_queries.contains(requestNumber) && !m_commands.contains(requestNumber));
    const auto service = findService(request.service);
    BALSAM_ASSERT(service != nullptr && service->kind == service_kind::Query);
    query_actions actions;
    const double minimumCoverage = request.minimumCoverage.value_or(service->minimumCoverage);
    const auto remaining = request.deadline.value_or(service->deadline);
    const bool isQuarantined = m_quarantine.isRefused(queryFingerprint(request.service, request.text), now);
    const std::string_view refusalReason = isQuarantined ? nameOf(refusal_reason::Quarantined)
                                                         : m_admission.refusalReason(inFlight(), *service, m_environment.targets, minimumCoverage, remaining);
    if (!refusalReason.empty()) {
        m_metrics.add("queries_refused_total{reason=\"" + std::string(refusalReason) + "\"}");
        actions.emplace_back(finish_query{requestNumber, refusedQuery(std::move(queryId), *service, refusalReason)});
        return actions;
    }
    m_environment.isOverloaded = m_admission.isOverloaded(inFlight());
    auto query = std::make_unique<running_query>(
        requestNumber, std::move(queryId), std::move(trace), std::move(request), service, stateOf(*service), m_environment, now);
    query->start(now, actions);
    if (query->isFinished()) {
        return actions;
    }
    const boot_clock::time_point wake = query->nextWake();
    m_queries.emplace(requestNumber, query_entry{std::move(query), wake});
    m_wakes.emplace(wake, requestNumber);
    return actions;
}

void query_engine::updateWake(std::uint64_t requestNumber)
{
    query_entry &entry = m_queries.at(requestNumber);
    if (entry.query->isFinished()) {
        removeFinishedQuery(requestNumber);
        return;
    }
    const boot_clock::time_point wake = entry.query->nextWake();
    if (wake != entry.wake) {
        m_wakes.erase({entry.wake, requestNumber});
        m_wakes.emplace(wake, requestNumber);
        entry.wake = wake;
    }
}

void query_engine::removeFinishedQuery(std::uint64_t requestNumber)
{
    const auto found = m_queries.find(requestNumber);
    m_wakes.erase({found->second.wake, requestNumber});
    m_queries.erase(found);
    m_environment.isOverloaded = m_admission.isOverloaded(inFlight());
}

query_actions query_engine::startCommand(std::uint64_t requestNumber, trace_context trace, const caller_command &request, boot_clock::time_point now)
{
    BALSAM_ASSERT(!m_queries.contains(requestNumber) && !m_commands.contains(requestNumber));
    const auto service = findService(request.service);
    BALSAM_ASSERT(service != nullptr && service->kind == service_kind::Command);
    query_actions actions;
    if (inFlight() >= m_settings.inFlightLimit) {
        actions.emplace_back(finish_command{requestNumber, {outcome::NotRun, "overloaded", ""}});
        return actions;
    }
    if (m_quarantine.isRefused(commandFingerprint(request.service, request.key, request.payload), now)) {
        actions.emplace_back(finish_command{requestNumber, {outcome::NotRun, std::string(nameOf(refusal_reason::Quarantined)), ""}});
        return actions;
    }
    const auto route = routeCommand(*service, m_environment.targets, request.key);
    if (!route) {
        actions.emplace_back(finish_command{requestNumber, {outcome::NotRun, "no_replica", ""}});
        return actions;
    }
    const std::chrono::microseconds remaining = request.deadline.value_or(service->deadline);
    running_command command{m_environment.nextAttemptId++, route->target, route->instance, trace, trace.child(), now, now + remaining};
    command_request outgoing;
    outgoing.attemptId = command.attemptId;
    outgoing.traceparent = command.attemptTrace.header();
    outgoing.service = request.service;
    outgoing.target = route->target;
    outgoing.key = request.key;
    outgoing.expiresAtUnixMilliseconds = request.expiresAtUnixMilliseconds;
    outgoing.remainingMicroseconds = (remaining - responseMargin(remaining)).count();
    outgoing.payload = request.payload;
    m_environment.requestByAttempt.emplace(command.attemptId, requestNumber);
    m_wakes.emplace(command.deadline, requestNumber);
    m_commands.emplace(requestNumber, std::move(command));
    m_metrics.add("command_attempts_total");
    actions.emplace_back(send_message{route->instance, std::move(outgoing)});
    return actions;
}

void query_engine::endCommand(std::uint64_t requestNumber, command_result result, boot_clock::time_point now, query_actions &actions)
{
    const auto found = m_commands.find(requestNumber);
    BALSAM_ASSERT(found != m_commands.end());
    const running_command command = std::move(found->second);
    m_commands.erase(found);
    m_wakes.erase({command.deadline, requestNumber});
    m_environment.requestByAttempt.erase(command.attemptId);
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(now - command.start);
    const std::string ended(result.reason.empty() ? nameOf(result.ended) : std::string_view(result.reason));
    actions.emplace_back(record_attempt{command.attemptTrace, command.trace.spanId, command.target + "@" + command.instance, ended, duration});
    actions.emplace_back(finish_command{requestNumber, std::move(result)});
}

query_actions query_engine::receive(const std::string &instance, const sub_response &response, boot_clock::time_point now)
{
    // The report is current even if the attempt has already ended here.
    m_environment.targets.update(instance, response.report);
    query_actions actions;
    const auto attempt = m_environment.requestByAttempt.find(response.attemptId);
    if (attempt == m_environment.requestByAttempt.end()) {
        m_metrics.add("late_answers_dropped_total");
        return actions;
    }
    const std::uint64_t requestNumber = attempt->second;
    const auto found = m_queries.find(requestNumber);
    const std::string *attemptedInstance = found == m_queries.end() ? nullptr : found->second.query->instanceOf(response.attemptId);
    if (attemptedInstance == nullptr || *attemptedInstance != instance) {
        m_metrics.add("crossed_answers_dropped_total");
        return actions;
    }
    found->second.query->onResponse(response, now, actions);
    updateWake(requestNumber);
    return actions;
}

query_actions query_engine::receive(const std::string &instance, const command_response &response, boot_clock::time_point now)
{
    query_actions actions;
    const auto attempt = m_environment.requestByAttempt.find(response.attemptId);
    if (attempt == m_environment.requestByAttempt.end()) {
        m_metrics.add("late_answers_dropped_total");
        return actions;
    }
    const std::uint64_t requestNumber = attempt->second;
    const auto found = m_commands.find(requestNumber);
    if (found == m_commands.end() || found->second.instance != instance) {
        m_metrics.add("crossed_answers_dropped_total");
        return actions;
    }
    const std::string reason(response.ended == outcome::Answered ? "" : nameOf(response.reason));
    endCommand(requestNumber, {response.ended, reason, response.ended == outcome::Answered ? response.result : ""}, now, actions);
    return actions;
}

void query_engine::receive(const std::string &instance, const target_reports &reports)
{
    for (const target_report &report : reports.reports) {
        m_environment.targets.update(instance, report);
    }
}

void query_engine::receive(const crash_notice &notice, boot_clock::time_point now)
{
    m_metrics.add("crash_notices_total");
    m_quarantine.merge(notice, now);
}

query_actions query_engine::endAttemptsOn(const std::string &instance, boot_clock::time_point now)
{
    query_actions actions;
    std::vector<std::uint64_t> requests;
    requests.reserve(m_queries.size());
    for (const auto &[requestNumber, entry] : m_queries) {
        requests.push_back(requestNumber);
    }
    std::sort(requests.begin(), requests.end());
    for (const std::uint64_t requestNumber : requests) {
        m_queries.at(requestNumber).query->onDisconnected(instance, now, actions);
        updateWake(requestNumber);
    }
    return actions;
}

void query_engine::endCommandsOn(const std::string &instance, boot_clock::time_point now, query_actions &actions)
{
    std::vector<std::uint64_t> requests;
    for (const auto &[requestNumber, command] : m_commands) {
        if (command.instance == instance) {
            requests.push_back(requestNumber);
        }
    }
    for (const std::uint64_t requestNumber : requests) {
        endCommand(requestNumber, {outcome::Unknown, "connection_lost", ""}, now, actions);
    }
}

query_actions query_engine::onDisconnected(const std::string &instance, boot_clock::time_point now)
{
    m_environment.targets.removeReports(instance);
    query_actions actions = endAttemptsOn(instance, now);
    endCommandsOn(instance, now, actions);
    return actions;
}

void query_engine::endUnsentCommand(std::uint64_t attemptId, boot_clock::time_point now, query_actions &actions)
{
    const auto attempt = m_environment.requestByAttempt.find(attemptId);
    if (attempt != m_environment.requestByAttempt.end()) {
        endCommand(attempt->second, {outcome::NotRun, "not_sent", ""}, now, actions);
    }
}

query_actions query_engine::onSendFailed(const send_message &unsent, boot_clock::time_point now)
{
    query_actions actions;
    if (const auto *command = std::get_if<command_request>(&unsent.content)) {
        m_environment.targets.removeReports(unsent.instance);
        endUnsentCommand(command->attemptId, now, actions);
        return actions;
    }
    const auto *batch = std::get_if<sub_query_batch>(&unsent.content);
    if (batch == nullptr) {
        return actions;
    }
    m_environment.targets.removeReports(unsent.instance);
    const std::vector<std::uint64_t> ids = attemptIdsOf(*batch);
    for (const std::uint64_t id : ids) {
        const auto attempt = m_environment.requestByAttempt.find(id);
        if (attempt == m_environment.requestByAttempt.end()) {
            continue;
        }
        // All attempts of a batch belong to one query.
        const std::uint64_t requestNumber = attempt->second;
        m_queries.at(requestNumber).query->onSendFailed(ids, now, actions);
        updateWake(requestNumber);
        break;
    }
    return actions;
}

query_actions query_engine::tick(boot_clock::time_point now)
{
    query_actions actions;
    std::vector<std::uint64_t> due;
    for (const auto &[wake, requestNumber] : m_wakes) {
        if (wake > now) {
            break;
        }
        due.push_back(requestNumber);
    }
    for (const std::uint64_t requestNumber : due) {
        if (m_commands.contains(requestNumber)) {
            endCommand(requestNumber, {outcome::Unknown, "timeout", ""}, now, actions);
            continue;
        }
        m_queries.at(requestNumber).query->tick(now, actions);
        updateWake(requestNumber);
    }
    return actions;
}

std::optional<boot_clock::time_point> query_engine::nextWake() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

std::size_t query_engine::inFlight() const
{
    return m_queries.size() + m_commands.size();
}

std::size_t query_engine::attemptsInFlight() const
{
    return m_environment.requestByAttempt.size();
}

} // namespace balsamhook
