#include "dispatch/target_scheduler.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

// Consecutive failed connects after which a target is unreachable. A single failure may come from a full accept queue.
constexpr std::uint32_t UnreachableThreshold = 2;

// Applied to the mean service time. Without a margin, half of the attempts that are sent with just enough time left end after their deadline.
constexpr double RunTimeFactor = 1.5;

} // namespace

target_scheduler::target_scheduler(std::uint32_t coldSlots, std::uint32_t slots, std::size_t queueLimit, time_point now)
    : m_limit(coldSlots, slots, now)
    , m_queueLimit(queueLimit)
{
    BALSAM_ASSERT(queueLimit >= 1);
}

target_scheduler::actions target_scheduler::resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now)
{
    m_limit.resize(coldSlots, slots, now);
    updateWarmState();
    actions out;
    sendQueued(out, now);
    return out;
}

target_scheduler::actions target_scheduler::assign()
{
    m_machine.process(target_event::Assigned);
    return {};
}

target_scheduler::actions target_scheduler::permit(time_point now)
{
    const target_state before = state();
    m_machine.process(target_event::TakeoverAllowed);
    if (before != state()) {
        m_limit.reset(now);
        m_failedConnects = 0;
    }
    return {};
}

target_scheduler::actions target_scheduler::withdraw()
{
    m_machine.process(target_event::OwnershipLost);
    return refuseAll(refusal_reason::NotOwner);
}

void target_scheduler::release()
{
    BALSAM_ASSERT(m_sent.empty());
    m_machine.process(target_event::Released);
}

target_scheduler::actions target_scheduler::drain(refusal_reason reason)
{
    m_drainReason = reason;
    m_machine.process(target_event::DrainStarted);
    return state() == target_state::Draining ? refuseAll(reason) : actions{};
}

target_scheduler::actions target_scheduler::resume(time_point now)
{
    if (state() == target_state::Draining) {
        m_machine.process(target_event::DrainEnded);
        m_limit.reset(now);
    }
    return {};
}

target_scheduler::actions target_scheduler::admit(std::uint64_t attempt, time_point deadline, time_point now)
{
    const refusal_reason refused = stateRefusal();
    if (refused != refusal_reason::None) {
        return {refuse_attempt{attempt, refused}};
    }
    const bool startsImmediately = m_queue.empty() && m_sent.size() < m_limit.limit();
    if (deadline <= now || (!startsImmediately && expectedQueueTime() + expectedRunTime() > deadline - now)) {
        return {refuse_attempt{attempt, refusal_reason::DeadlineTooShort}};
    }
    actions out = advance(now);
    if (m_queue.size() >= m_queueLimit) {
        out.push_back(refuse_attempt{attempt, refusal_reason::QueueFull});
        return out;
    }
    m_queue.push_back({attempt, deadline});
    sendQueued(out, now);
    return out;
}

refusal_reason target_scheduler::stateRefusal() const
{
    switch (state()) {
    case target_state::Cold:
    case target_state::Warm:
        return refusal_reason::None;
    case target_state::Draining:
        return m_drainReason;
    case target_state::Unreachable:
        return refusal_reason::TargetUnreachable;
    case target_state::NotOwned:
    case target_state::AwaitingTakeover:
    case target_state::Releasing:
        break;
    }
    return refusal_reason::NotOwner;
}

target_scheduler::actions target_scheduler::finish(std::uint64_t attempt, attempt_end end, std::chrono::microseconds serviceTime, time_point now)
{
    const std::size_t erased = m_sent.erase(attempt);
    BALSAM_ASSERT(erased == 1);
    actions out;
    switch (end) {
    case attempt_end::Answered:
        m_limit.recordResponse(serviceTime, now);
        break;
    case attempt_end::TimedOut:
        m_limit.recordTimeout(serviceTime, now);
        break;
    case attempt_end::Shedding:
        m_limit.reset(now);
        break;
    case attempt_end::ConnectionLost:
        m_lastLoss = now;
        m_limit.reset(now);
        break;
    case attempt_end::NotConnected:
        out = recordConnect(false, now);
        break;
    case attempt_end::NotStarted:
    case attempt_end::NotSent:
    case attempt_end::Failed:
        break;
    }
    updateWarmState();
    sendQueued(out, now);
    return out;
}

target_scheduler::actions target_scheduler::cancel(std::uint64_t attempt)
{
    if (m_sent.contains(attempt)) {
        return {cancel_at_target{attempt}};
    }
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [&](const queued_attempt &entry) { return entry.attempt == attempt; });
    if (found == m_queue.end()) {
        return {};
    }
    m_queue.erase(found);
    return {refuse_attempt{attempt, refusal_reason::Cancelled}};
}

target_scheduler::actions target_scheduler::advance(time_point now)
{
    actions out;
    std::erase_if(m_queue, [&](const queued_attempt &entry) {
        const bool expired = entry.deadline <= now;
        if (expired) {
            out.push_back(refuse_attempt{entry.attempt, refusal_reason::DeadlineTooShort});
        }
        return expired;
    });
    return out;
}

target_scheduler::actions target_scheduler::recordIncarnation(std::string_view incarnation, time_point now)
{
    if (incarnation.empty() || incarnation == m_incarnation) {
        return {};
    }
    const bool restarted = !m_incarnation.empty();
    m_incarnation = incarnation;
    if (restarted) {
        resetLimit(now);
    }
    return {};
}

void target_scheduler::recordStatus(bool cold, time_point now)
{
    m_limit.recordStatus(cold, now);
    updateWarmState();
}

target_scheduler::actions target_scheduler::recordConnect(bool succeeded, time_point now)
{
    if (!succeeded) {
        ++m_failedConnects;
        if (m_failedConnects < UnreachableThreshold) {
            return {};
        }
        m_machine.process(target_event::ConnectFailed);
        return state() == target_state::Unreachable ? refuseAll(refusal_reason::TargetUnreachable) : actions{};
    }
    m_failedConnects = 0;
    if (state() == target_state::Unreachable) {
        m_machine.process(target_event::ConnectSucceeded);
        m_limit.reset(now);
    }
    return {};
}

target_state target_scheduler::state() const
{
    return m_machine.state();
}

bool target_scheduler::isUsable() const
{
    return stateRefusal() == refusal_reason::None;
}

std::uint32_t target_scheduler::limit() const
{
    return m_limit.limit();
}

std::size_t target_scheduler::queueLength() const
{
    return m_queue.size();
}

std::size_t target_scheduler::inFlight() const
{
    return m_sent.size();
}

const slot_limit &target_scheduler::serviceTimes() const
{
    return m_limit;
}

bool target_scheduler::canAttributeCrash(std::uint64_t attempt) const
{
    const auto found = m_sent.find(attempt);
    return found != m_sent.end() && m_sent.size() == 1 && m_lastLoss < found->second;
}

target_scheduler::actions target_scheduler::refuseAll(refusal_reason reason)
{
    actions out;
    for (const queued_attempt &entry : m_queue) {
        out.push_back(refuse_attempt{entry.attempt, reason});
    }
    m_queue.clear();
    return out;
}

void target_scheduler::resetLimit(time_point now)
{
    m_limit.reset(now);
    updateWarmState();
}

void target_scheduler::updateWarmState()
{
    m_machine.process(m_limit.isWarm() ? target_event::FullLimitReached : target_event::LimitReset);
}

void target_scheduler::sendQueued(actions &out, time_point now)
{
    while (isUsable() && !m_queue.empty() && m_sent.size() < m_limit.limit()) {
        const queued_attempt next = m_queue.front();
        m_queue.pop_front();
        // An attempt that is expected to miss its deadline isn't sent, because it would take the slot of one that can meet it. An idle target
        // gets it nevertheless, because without new samples an overestimated service time would never be corrected.
        const bool isTargetIdle = m_queue.empty() && m_sent.empty();
        if (next.deadline <= now + (isTargetIdle ? std::chrono::microseconds(0) : expectedRunTime())) {
            out.push_back(refuse_attempt{next.attempt, refusal_reason::DeadlineTooShort});
            continue;
        }
        m_sent.emplace(next.attempt, now);
        out.push_back(send_attempt{next.attempt});
    }
}

std::chrono::microseconds target_scheduler::expectedRunTime() const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(m_limit.mean().count()) * RunTimeFactor));
}

std::chrono::microseconds target_scheduler::expectedQueueTime() const
{
    if (m_sent.size() < m_limit.limit()) {
        return std::chrono::microseconds(0);
    }
    const auto position = static_cast<std::int64_t>(m_queue.size() + 1);
    return m_limit.mean() * position / static_cast<std::int64_t>(m_limit.limit());
}

} // namespace balsamhook
