#include "query/query_engine.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// The owner decides this much earlier than the caller's deadline, so that its "not run" arrives in time. Without it, commands that waited for their
/// claim until the deadline ended as unknown.
std::chrono::microseconds answerMargin(std::chrono::microseconds remaining)
{
    constexpr std::chrono::microseconds LongestMargin{20000};
    return std::min(remaining / 10, LongestMargin);
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

query_engine::query_engine(engine_settings settings, counters &numbers)
    : m_settings(std::move(settings))
    , m_numbers(numbers)
    , m_admission(m_settings.inFlightLimit)
    , m_quarantine(m_settings.quarantinePeriod, m_settings.quarantineCapacity)
    , m_environment{{}, m_settings.dataCentre, std::mt19937_64(m_settings.randomSeed), m_settings.firstAttemptId, {}, false, numbers}
{
}

void query_engine::setLayouts(service_layouts layouts)
{
    m_layouts = std::move(layouts);
    for (auto &[name, memory] : m_memories) {
        const auto service = findService(name);
        if (service != nullptr) {
            memory.budget.setPercent(service->hedgePercent);
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

service_memory &query_engine::memoryOf(const service_layout &service)
{
    const auto found = m_memories.find(service.name);
    if (found != m_memories.end()) {
        return found->second;
    }
    return m_memories.emplace(service.name, service_memory{token_budget(service.hedgePercent, m_settings.budgetBurst), {}}).first->second;
}

query_actions query_engine::startQuery(std::uint64_t request, std::string queryId, trace_context trace, query_request wanted, boot_clock::time_point now)
{
    BALSAM_ASSERT(!m_queries.contains(request) && !m_commands.contains(request));
    const auto service = findService(wanted.service);
    BALSAM_ASSERT(service != nullptr && service->kind == service_kind::Query);
    query_actions actions;
    const double lowest = wanted.minimumCoverage.value_or(service->minimumCoverage);
    const auto remaining = wanted.deadline.value_or(service->deadline);
    const bool crashesTargets = m_quarantine.isRefused(queryFingerprint(wanted.service, wanted.text), now);
    const std::string_view refusal
        = crashesTargets ? reasonName(refusal_reason::Quarantined) : m_admission.refusal(inFlight(), *service, m_environment.targets, lowest, remaining);
    if (!refusal.empty()) {
        m_numbers.add("queries_refused_total{reason=\"" + std::string(refusal) + "\"}");
        actions.emplace_back(finish_query{request, refusedQuery(std::move(queryId), *service, refusal)});
        return actions;
    }
    m_environment.overloaded = m_admission.isOverloaded(inFlight());
    auto query
        = std::make_unique<running_query>(request, std::move(queryId), std::move(trace), std::move(wanted), service, memoryOf(*service), m_environment, now);
    query->start(now, actions);
    if (query->isFinished()) {
        return actions;
    }
    const boot_clock::time_point wake = query->nextWake();
    m_queries.emplace(request, query_entry{std::move(query), wake});
    m_wakes.emplace(wake, request);
    return actions;
}

void query_engine::updateWake(std::uint64_t request)
{
    query_entry &entry = m_queries.at(request);
    if (entry.query->isFinished()) {
        removeFinishedQuery(request);
        return;
    }
    const boot_clock::time_point wake = entry.query->nextWake();
    if (wake != entry.wake) {
        m_wakes.erase({entry.wake, request});
        m_wakes.emplace(wake, request);
        entry.wake = wake;
    }
}

void query_engine::removeFinishedQuery(std::uint64_t request)
{
    const auto found = m_queries.find(request);
    m_wakes.erase({found->second.wake, request});
    m_queries.erase(found);
    m_environment.overloaded = m_admission.isOverloaded(inFlight());
}

query_actions query_engine::startCommand(std::uint64_t request, trace_context trace, const caller_command &wanted, boot_clock::time_point now)
{
    BALSAM_ASSERT(!m_queries.contains(request) && !m_commands.contains(request));
    const auto service = findService(wanted.service);
    BALSAM_ASSERT(service != nullptr && service->kind == service_kind::Command);
    query_actions actions;
    if (inFlight() >= m_settings.inFlightLimit) {
        actions.emplace_back(finish_command{request, {outcome::NotRun, "overloaded", ""}});
        return actions;
    }
    if (m_quarantine.isRefused(commandFingerprint(wanted.service, wanted.key, wanted.payload), now)) {
        actions.emplace_back(finish_command{request, {outcome::NotRun, std::string(reasonName(refusal_reason::Quarantined)), ""}});
        return actions;
    }
    const auto route = routeCommand(*service, m_environment.targets, wanted.key);
    if (!route) {
        actions.emplace_back(finish_command{request, {outcome::NotRun, "no_replica", ""}});
        return actions;
    }
    const std::chrono::microseconds remaining = wanted.deadline.value_or(service->deadline);
    running_command command{m_environment.nextAttemptId++, route->target, route->instance, trace, trace.child(), now, now + remaining};
    command_request sent;
    sent.attemptId = command.attemptId;
    sent.traceparent = command.attemptTrace.header();
    sent.service = wanted.service;
    sent.target = route->target;
    sent.key = wanted.key;
    sent.expiresAtUnixMilliseconds = wanted.expiresAtUnixMilliseconds;
    sent.remainingMicroseconds = (remaining - answerMargin(remaining)).count();
    sent.payload = wanted.payload;
    m_environment.requestOfAttempt.emplace(command.attemptId, request);
    m_wakes.emplace(command.deadline, request);
    m_commands.emplace(request, std::move(command));
    m_numbers.add("command_attempts_total");
    actions.emplace_back(send_message{route->instance, std::move(sent)});
    return actions;
}

void query_engine::endCommand(std::uint64_t request, command_result result, boot_clock::time_point now, query_actions &actions)
{
    const auto found = m_commands.find(request);
    BALSAM_ASSERT(found != m_commands.end());
    const running_command command = std::move(found->second);
    m_commands.erase(found);
    m_wakes.erase({command.deadline, request});
    m_environment.requestOfAttempt.erase(command.attemptId);
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(now - command.start);
    const std::string ended(result.reason.empty() ? outcomeName(result.ended) : std::string_view(result.reason));
    actions.emplace_back(record_attempt{command.attemptTrace, command.trace.spanId, command.target + "@" + command.instance, ended, duration});
    actions.emplace_back(finish_command{request, std::move(result)});
}

query_actions query_engine::receive(const std::string &instance, const sub_response &ended, boot_clock::time_point now)
{
    // The report is true even when nobody waits for the answer any more.
    m_environment.targets.update(instance, ended.report);
    query_actions actions;
    const auto waiting = m_environment.requestOfAttempt.find(ended.attemptId);
    if (waiting == m_environment.requestOfAttempt.end()) {
        m_numbers.add("late_answers_dropped_total");
        return actions;
    }
    const std::uint64_t request = waiting->second;
    const auto found = m_queries.find(request);
    const std::string *asked = found == m_queries.end() ? nullptr : found->second.query->instanceOf(ended.attemptId);
    if (asked == nullptr || *asked != instance) {
        m_numbers.add("crossed_answers_dropped_total");
        return actions;
    }
    found->second.query->answer(ended, now, actions);
    updateWake(request);
    return actions;
}

query_actions query_engine::receive(const std::string &instance, const command_response &ended, boot_clock::time_point now)
{
    query_actions actions;
    const auto waiting = m_environment.requestOfAttempt.find(ended.attemptId);
    if (waiting == m_environment.requestOfAttempt.end()) {
        m_numbers.add("late_answers_dropped_total");
        return actions;
    }
    const std::uint64_t request = waiting->second;
    const auto found = m_commands.find(request);
    if (found == m_commands.end() || found->second.instance != instance) {
        m_numbers.add("crossed_answers_dropped_total");
        return actions;
    }
    const std::string reason(ended.ended == outcome::Answered ? "" : reasonName(ended.reason));
    endCommand(request, {ended.ended, reason, ended.ended == outcome::Answered ? ended.result : ""}, now, actions);
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
    m_numbers.add("crash_notices_total");
    m_quarantine.merge(notice, now);
}

query_actions query_engine::queriesLost(const std::string &instance, boot_clock::time_point now)
{
    query_actions actions;
    std::vector<std::uint64_t> requests;
    requests.reserve(m_queries.size());
    for (const auto &[request, entry] : m_queries) {
        requests.push_back(request);
    }
    std::sort(requests.begin(), requests.end());
    for (const std::uint64_t request : requests) {
        m_queries.at(request).query->connectionLost(instance, now, actions);
        updateWake(request);
    }
    return actions;
}

void query_engine::commandsLost(const std::string &instance, boot_clock::time_point now, query_actions &actions)
{
    std::vector<std::uint64_t> requests;
    for (const auto &[request, command] : m_commands) {
        if (command.instance == instance) {
            requests.push_back(request);
        }
    }
    for (const std::uint64_t request : requests) {
        endCommand(request, {outcome::Unknown, "connection_lost", ""}, now, actions);
    }
}

query_actions query_engine::connectionLost(const std::string &instance, boot_clock::time_point now)
{
    m_environment.targets.forget(instance);
    query_actions actions = queriesLost(instance, now);
    commandsLost(instance, now, actions);
    return actions;
}

void query_engine::commandNotSent(std::uint64_t attemptId, boot_clock::time_point now, query_actions &actions)
{
    const auto waiting = m_environment.requestOfAttempt.find(attemptId);
    if (waiting != m_environment.requestOfAttempt.end()) {
        endCommand(waiting->second, {outcome::NotRun, "not_sent", ""}, now, actions);
    }
}

query_actions query_engine::sendFailed(const send_message &unsent, boot_clock::time_point now)
{
    query_actions actions;
    if (const auto *command = std::get_if<command_request>(&unsent.content)) {
        m_environment.targets.forget(unsent.instance);
        commandNotSent(command->attemptId, now, actions);
        return actions;
    }
    const auto *batch = std::get_if<sub_query_batch>(&unsent.content);
    if (batch == nullptr) {
        return actions;
    }
    m_environment.targets.forget(unsent.instance);
    const std::vector<std::uint64_t> ids = attemptIdsOf(*batch);
    for (const std::uint64_t id : ids) {
        const auto waiting = m_environment.requestOfAttempt.find(id);
        if (waiting == m_environment.requestOfAttempt.end()) {
            continue;
        }
        // All attempts of a batch are of one query.
        const std::uint64_t request = waiting->second;
        m_queries.at(request).query->sendFailed(ids, now, actions);
        updateWake(request);
        break;
    }
    return actions;
}

query_actions query_engine::tick(boot_clock::time_point now)
{
    query_actions actions;
    std::vector<std::uint64_t> due;
    for (const auto &[wake, request] : m_wakes) {
        if (wake > now) {
            break;
        }
        due.push_back(request);
    }
    for (const std::uint64_t request : due) {
        if (m_commands.contains(request)) {
            endCommand(request, {outcome::Unknown, "timeout", ""}, now, actions);
            continue;
        }
        m_queries.at(request).query->tick(now, actions);
        updateWake(request);
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

std::size_t query_engine::waitingAttempts() const
{
    return m_environment.requestOfAttempt.size();
}

} // namespace balsamhook
