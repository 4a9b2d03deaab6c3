#include "dispatch/dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds AdvanceInterval{10};
constexpr milliseconds ReportInterval{100};
constexpr std::size_t MaxAttemptsPerFront = 16384;
// Relative to the larger value. Smaller changes of the service time don't change which replica a front end chooses, so they aren't reported.
constexpr double MinServiceTimeChange = 0.25;

bool isServiceTimeSimilar(std::int64_t left, std::int64_t right)
{
    const auto difference = static_cast<double>(std::abs(left - right));
    return difference <= MinServiceTimeChange * static_cast<double>(std::max(left, right));
}

bool isSimilar(const target_report &left, const target_report &right)
{
    const bool sameState = left.snapshots == right.snapshots && left.usable == right.usable && left.cold == right.cold && left.slotLimit == right.slotLimit;
    return sameState && (left.queueLength == 0) == (right.queueLength == 0)
        && isServiceTimeSimilar(left.serviceTimeMicroseconds, right.serviceTimeMicroseconds);
}

std::string searchBody(const sub_query_batch &batch, const sub_query_item &item)
{
    const json body{{"shard", item.shard},
                    {"layout_epoch", batch.pinned.layoutEpoch},
                    {"index_version", batch.pinned.indexVersion},
                    {"text", batch.text},
                    {"limit", batch.limit}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string executeBody(const command_request &request)
{
    json payload = json::parse(request.payload, nullptr, false);
    if (payload.is_discarded()) {
        payload = request.payload;
    }
    const json body{{"key", request.key}, {"payload", std::move(payload)}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

sub_response makeResponse(std::uint64_t attemptId, const attempt_result &ended)
{
    sub_response response;
    response.attemptId = attemptId;
    response.ended = ended.ended;
    response.reason = ended.reason;
    response.readFrom = ended.readFrom;
    response.hits = ended.payload;
    response.serviceTimeMicroseconds = ended.serviceTime.count();
    return response;
}

} // namespace

/// Connection of a front end and its open attempts.
struct dispatcher::session
{
    struct open_attempt
    {
        target_task::pointer target;
        std::uint64_t id = 0;
    };

    frame_connection::pointer connection;
    std::map<std::uint64_t, open_attempt> attempts;
};

dispatcher::dispatcher(
    asio::io_context &context, dispatcher_settings settings, object_store &store, counters &metrics, span_store &spans, dispatcher_control control)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_control(std::move(control))
    , m_quarantine(m_settings.quarantinePeriod, m_settings.quarantineCapacity)
    , m_environment{context,
                    metrics,
                    spans,
                    m_quarantine,
                    [this](const target_crash &crash) {
                        broadcast(crash_notice{{crash}, {}});
                    },
                    m_control.isEntitled,
                    m_control.onStatusChanged,
                    m_settings.bindAddress,
                    m_settings.identity.instance + "-" + m_settings.identity.incarnation + "-",
                    m_settings.queueLimit}
    , m_claims(std::make_shared<claim_task>(context, store, m_settings.claims, metrics))
    , m_advanceTimer(context)
    , m_reportTimer(context)
{
}

dispatcher::~dispatcher()
{
    stop();
}

void dispatcher::start()
{
    m_claims->start();
    asio::co_spawn(m_context, advancePeriodically(), asio::detached);
    asio::co_spawn(m_context, reportPeriodically(), asio::detached);
}

void dispatcher::stop()
{
    m_stopped = true;
    m_claims->stop();
    m_advanceTimer.cancel();
    m_reportTimer.cancel();
    for (const auto &[name, target] : m_targets) {
        target->stop();
    }
}

void dispatcher::apply(const control_state &state)
{
    auto parsed = parseDocument(state.configuration);
    if (!parsed) {
        logError("dispatch", "rejected configuration revision " + std::to_string(state.configurationRevision) + ": " + describe(parsed.error()));
        m_metrics.add("dispatch_bad_configurations_total");
        return;
    }
    m_document = std::move(parsed.value());
    m_revision = state.configurationRevision;
    m_memberListVersion = state.memberListVersion;
    m_owned = {state.ownedTargets.begin(), state.ownedTargets.end()};
    m_hasState = true;
    for (const target_configuration &target : m_document.targets) {
        applyTarget(target, state);
    }
    removeUnknownTargets();
    sendChangedReports();
}

void dispatcher::applyTarget(const target_configuration &target, const control_state &state)
{
    const bool isPermitted = m_owned.contains(target.name);
    const bool isAssigned = std::any_of(state.owners.begin(), state.owners.end(), [&](const target_owner &owner) {
        return owner.target == target.name && owner.instance == m_settings.identity.instance;
    });
    auto found = m_targets.find(target.name);
    if (found != m_targets.end() && found->second->address() != target.address) {
        // A changed address means another process, so the old target is released like one whose ownership was withdrawn.
        found->second->withdraw();
        found->second->stop();
        m_targets.erase(found);
        found = m_targets.end();
    }
    if (found == m_targets.end()) {
        if (!isPermitted && !isAssigned) {
            return;
        }
        found = m_targets.emplace(target.name, std::make_shared<target_task>(m_environment, target)).first;
        found->second->start();
    }
    target_task &task = *found->second;
    task.configure(target);
    if (isPermitted) {
        task.permit();
    } else {
        task.withdraw();
    }
    if (isAssigned && !isPermitted) {
        task.assign();
    }
    if (m_document.isUsable(target)) {
        task.resume();
    } else {
        task.drain(target.leaving ? refusal_reason::TargetLeaving : refusal_reason::DataCentreOut);
    }
}

void dispatcher::removeUnknownTargets()
{
    for (auto entry = m_targets.begin(); entry != m_targets.end();) {
        target_task &task = *entry->second;
        if (m_document.findTarget(entry->first) == nullptr) {
            task.withdraw();
        }
        const bool isRemovable = m_document.findTarget(entry->first) == nullptr && task.state() == target_state::NotOwned && !task.isActive();
        if (!isRemovable) {
            ++entry;
            continue;
        }
        task.stop();
        entry = m_targets.erase(entry);
    }
}

program_status dispatcher::status() const
{
    program_status current;
    current.role = program_role::Dispatch;
    current.appliedRevision = m_revision;
    current.appliedMemberListVersion = m_memberListVersion;
    for (const auto &[name, target] : m_targets) {
        if (target->isActive()) {
            current.activeTargets.push_back(name);
        }
        current.inFlight += target->inFlight();
    }
    return current;
}

asio::awaitable<void> dispatcher::advancePeriodically()
{
    while (!m_stopped) {
        boost::system::error_code ignored;
        m_advanceTimer.expires_after(AdvanceInterval);
        co_await m_advanceTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for (const auto &[name, target] : m_targets) {
            target->advance();
        }
    }
}

asio::awaitable<void> dispatcher::reportPeriodically()
{
    while (!m_stopped) {
        boost::system::error_code ignored;
        m_reportTimer.expires_after(ReportInterval);
        co_await m_reportTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        removeUnknownTargets();
        sendChangedReports();
    }
}

void dispatcher::sendChangedReports()
{
    target_reports changed;
    for (const auto &[name, target] : m_targets) {
        target_report current = target->report();
        const auto last = m_lastReports.find(name);
        if (last != m_lastReports.end() && isSimilar(last->second, current)) {
            continue;
        }
        changed.reports.push_back(current);
        m_lastReports.insert_or_assign(name, std::move(current));
    }
    std::erase_if(m_lastReports, [&](const auto &entry) { return !m_targets.contains(entry.first); });
    if (changed.reports.empty()) {
        return;
    }
    broadcast(std::move(changed));
}

void dispatcher::broadcast(const message &update)
{
    for (const session_pointer &front : m_sessions) {
        send(front, update);
    }
}

target_reports dispatcher::ownedReports() const
{
    target_reports current;
    for (const std::string &name : m_owned) {
        const auto found = m_targets.find(name);
        if (found != m_targets.end()) {
            current.reports.push_back(found->second->report());
        }
    }
    return current;
}

asio::awaitable<void> dispatcher::serve(frame_connection::pointer connection)
{
    const auto front = std::make_shared<session>();
    front->connection = connection;
    send(front, m_settings.identity);
    const auto firstMessage = co_await connection->receive();
    const auto *identity = firstMessage ? std::get_if<hello>(&firstMessage.value()) : nullptr;
    if (identity == nullptr || identity->role != program_role::Front) {
        m_metrics.add("dispatch_bad_hellos_total");
        connection->close();
        co_return;
    }
    m_sessions.insert(front);
    m_metrics.set("dispatch_front_connections", static_cast<std::int64_t>(m_sessions.size()));
    send(front, ownedReports());
    send(front, m_quarantine.snapshot(boot_clock::now()));
    while (connection->isOpen()) {
        const auto received = co_await connection->receive();
        if (!received) {
            break;
        }
        handleMessage(front, received.value());
    }
    m_sessions.erase(front);
    m_metrics.set("dispatch_front_connections", static_cast<std::int64_t>(m_sessions.size()));
    cancelAll(front);
}

void dispatcher::handleMessage(const session_pointer &front, const message &received)
{
    if (const auto *batch = std::get_if<sub_query_batch>(&received)) {
        startSubQueries(front, *batch);
    } else if (const auto *cancels = std::get_if<cancel_attempts>(&received)) {
        cancelAttempts(front, *cancels);
    } else if (const auto *request = std::get_if<command_request>(&received)) {
        startCommand(front, *request);
    } else {
        m_metrics.add("dispatch_unexpected_messages_total");
        front->connection->close();
    }
}

void dispatcher::startSubQueries(const session_pointer &front, const sub_query_batch &batch)
{
    const auto deadline = boot_clock::now() + microseconds(batch.remainingMicroseconds);
    const std::uint64_t fingerprint = queryFingerprint(batch.service, batch.text);
    for (const sub_query_item &item : batch.items) {
        startSubQuery(front, batch, item, {attempt_kind::Search, {}, batch.traceparent, fingerprint, deadline});
    }
}

void dispatcher::startSubQuery(const session_pointer &front, const sub_query_batch &batch, const sub_query_item &item, attempt_request request)
{
    const std::uint64_t attemptId = item.attemptId;
    if (front->attempts.contains(attemptId)) {
        // A response with this id would end the earlier attempt, so the duplicate gets none.
        m_metrics.add("dispatch_repeated_attempt_ids_total");
        return;
    }
    const bool isFull = front->attempts.size() >= MaxAttemptsPerFront;
    const refusal_reason refused = isFull ? refusal_reason::QueueFull : checkAdmission(item.target);
    if (refused != refusal_reason::None) {
        m_metrics.add("dispatch_refused_at_entry_total");
        const attempt_result ended{outcome::NotRun, refused};
        send(front, makeResponse(attemptId, ended));
        return;
    }
    const target_task::pointer target = m_targets.find(item.target)->second;
    front->attempts.emplace(attemptId, session::open_attempt{target, 0});
    request.body = searchBody(batch, item);
    const auto onEnded = [this, front, target, attemptId](const attempt_result &result) {
        front->attempts.erase(attemptId);
        sub_response response = makeResponse(attemptId, result);
        response.report = target->report();
        send(front, response);
    };
    const std::uint64_t id = target->startAttempt(std::move(request), onEnded);
    const auto open = front->attempts.find(attemptId);
    if (open != front->attempts.end()) {
        open->second = {target, id};
    }
}

void dispatcher::startCommand(const session_pointer &front, const command_request &request)
{
    const refusal_reason refused = checkCommand(request);
    if (refused != refusal_reason::None) {
        m_metrics.add("dispatch_refused_at_entry_total");
        send(front, command_response{request.attemptId, outcome::NotRun, refused, {}});
        return;
    }
    const auto deadline = boot_clock::now() + microseconds(request.remainingMicroseconds);
    const attempt_request attempt{
        attempt_kind::Execute, executeBody(request), request.traceparent, commandFingerprint(request.service, request.key, request.payload), deadline};
    claimed_command command;
    command.service = request.service;
    command.key = request.key;
    command.expiresAt = milliseconds(request.expiresAtUnixMilliseconds);
    command.deadline = deadline;
    command.onClaimed = [this, attempt, target = m_targets.find(request.target)->second](std::uint64_t id) {
        target->startAttempt(attempt, [this, id](const attempt_result &result) { m_claims->finish(id, result.ended, result.reason, result.payload); });
    };
    // A command isn't cancelled when its front end disconnects: it may have run already, and a repeated key needs its recorded outcome.
    command.onEnded = [this, front, attemptId = request.attemptId](const end_command &ended) {
        send(front, command_response{attemptId, ended.ended, ended.reason, ended.result});
    };
    m_claims->submit(std::move(command));
}

void dispatcher::cancelAttempts(const session_pointer &front, const cancel_attempts &request)
{
    for (const std::uint64_t attemptId : request.attemptIds) {
        const auto open = front->attempts.find(attemptId);
        if (open != front->attempts.end()) {
            const session::open_attempt attempt = open->second;
            attempt.target->cancel(attempt.id);
        }
    }
}

void dispatcher::cancelAll(const session_pointer &front)
{
    // Copied because cancel() ends queued attempts immediately, which erases them from the map.
    const auto attempts = front->attempts;
    for (const auto &[attemptId, attempt] : attempts) {
        attempt.target->cancel(attempt.id);
    }
}

void dispatcher::send(const session_pointer &front, const message &response)
{
    if (front->connection->isOpen() && !front->connection->send(response)) {
        m_metrics.add("dispatch_send_failures_total");
    }
}

refusal_reason dispatcher::checkAdmission(const std::string &target) const
{
    const target_configuration *const configuration = m_document.findTarget(target);
    if (configuration == nullptr) {
        return refusal_reason::UnknownTarget;
    }
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !m_owned.contains(target) || !m_control.isEntitled()) {
        return refusal_reason::NotOwner;
    }
    return found->second->stateRefusal();
}

refusal_reason dispatcher::checkCommand(const command_request &request) const
{
    const service_configuration *const service = m_document.findService(request.service);
    const bool isServed = service != nullptr && service->kind == service_kind::Command
        && std::any_of(service->shards.begin(), service->shards.end(), [&](const shard_configuration &shard) {
                              return std::find(shard.targets.begin(), shard.targets.end(), request.target) != shard.targets.end();
                          });
    if (!isServed) {
        return refusal_reason::UnknownTarget;
    }
    const std::uint64_t fingerprint = commandFingerprint(request.service, request.key, request.payload);
    return m_quarantine.isRefused(fingerprint, boot_clock::now()) ? refusal_reason::Quarantined : checkAdmission(request.target);
}

http_response dispatcher::describeTargets() const
{
    json targets = json::array();
    for (const auto &[name, target] : m_targets) {
        targets.push_back(json::parse(target->describeJson()));
    }
    return jsonResponse(200, json{{"targets", targets}}.dump());
}

bool dispatcher::isIdle() const
{
    return m_claims->size() == 0 && std::all_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
               return entry.second->inFlight() == 0 && entry.second->report().queueLength == 0;
           });
}

bool dispatcher::isReleased() const
{
    return m_owned.empty() || !m_control.isEntitled();
}

bool dispatcher::isReady() const
{
    return m_hasState && m_control.isEntitled();
}

} // namespace balsamhook
