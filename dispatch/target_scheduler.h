#pragma once

#include "base/base.h"
#include "dispatch/slot_limit.h"
#include "dispatch/target_machine.h"
#include "wire/protocol.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamhook
{

/// The task sends the attempt to the target now and calls finish() once when the attempt has ended.
struct send_attempt
{
    std::uint64_t attempt = 0;
};

/// The attempt ends without being sent.
struct refuse_attempt
{
    std::uint64_t attempt = 0;
    refusal_reason reason = refusal_reason::None;
};

/// The task requests cancellation at the target. The attempt keeps its slot until finish().
struct cancel_at_target
{
    std::uint64_t attempt = 0;
};

using target_action = std::variant<send_attempt, refuse_attempt, cancel_at_target>;

/// How a sent attempt ended.
enum class attempt_end : std::uint8_t {
    Answered,
    NotStarted, ///< The target reported that it didn't start the request, for a reason other than load.
    Shedding, ///< The target reported that it didn't start the request because of load.
    NotSent, ///< Ended before the first byte was sent; no evidence about the target.
    NotConnected, ///< No connection could be opened.
    ConnectionLost,
    TimedOut,
    Failed, ///< The response is an error or malformed; its duration is no sample of the service time.
};

/// Decides for one target which attempts are queued, sent or refused. Pure logic: time points in, actions out. Not thread-safe.
class target_scheduler
{
public:
    using time_point = boot_clock::time_point;
    using actions = std::vector<target_action>;

    /// Precondition: 1 <= coldSlots <= slots and queueLimit >= 1.
    target_scheduler(std::uint32_t coldSlots, std::uint32_t slots, std::size_t queueLimit, time_point now);

    /// Applies new limits from the configuration.
    actions resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Changes of ownership: assigned but not yet permitted to send, permitted, and withdrawn. Withdrawal refuses all queued attempts.
    actions assign();
    actions permit(time_point now);
    actions withdraw();

    /// Completes the release after the connections have been closed. Precondition: inFlight() is 0.
    void release();

    /// Refuses queued and new attempts with this reason (TargetLeaving or DataCentreOut). Sent attempts continue.
    actions drain(refusal_reason reason);

    /// Ends draining. The limit restarts at the cold slots.
    actions resume(time_point now);

    /// Submits a new attempt. Precondition: the id is unique.
    actions admit(std::uint64_t attempt, time_point deadline, time_point now);

    /// Reason for which the target's state makes admit() refuse an attempt now; None when it accepts attempts.
    refusal_reason stateRefusal() const;

    /// Ends a sent attempt. Precondition: send_attempt was returned for the attempt and finish() wasn't called for it.
    actions finish(std::uint64_t attempt, attempt_end end, std::chrono::microseconds serviceTime, time_point now);

    /// Cancels an attempt. Unknown ids are ignored, because the attempt may have ended already.
    actions cancel(std::uint64_t attempt);

    /// Refuses the queued attempts whose deadline has passed.
    actions advance(time_point now);

    /// Records the target's incarnation from a status or a response. A changed incarnation means that the target restarted.
    actions recordIncarnation(std::string_view incarnation, time_point now);

    /// Records the result of a status poll.
    void recordStatus(bool cold, time_point now);

    /// Records whether a connection could be opened.
    actions recordConnect(bool succeeded, time_point now);

    target_state state() const;
    bool isUsable() const;
    std::uint32_t limit() const;
    std::size_t queueLength() const;
    std::size_t inFlight() const;
    const slot_limit &serviceTimes() const;

    /// True when the attempt is the only one in flight and no connection was lost since it was sent. Only then is a lost connection
    /// attributed to its request; when a crash loses several attempts, the cause is unknown.
    bool canAttributeCrash(std::uint64_t attempt) const;

private:
    struct queued_attempt
    {
        std::uint64_t attempt;
        time_point deadline;
    };

    actions refuseAll(refusal_reason reason);
    void resetLimit(time_point now);
    void updateWarmState();
    void sendQueued(actions &out, time_point now);

    /// Expected time that an attempt takes at the target, with a margin.
    std::chrono::microseconds expectedRunTime() const;
    std::chrono::microseconds expectedQueueTime() const;

    target_machine m_machine;
    slot_limit m_limit;
    std::size_t m_queueLimit;
    refusal_reason m_drainReason = refusal_reason::None;
    std::deque<queued_attempt> m_queue;
    std::map<std::uint64_t, time_point> m_sent; ///< Attempts in flight and when they were sent.
    time_point m_lastLoss{};
    std::string m_incarnation;
    std::uint32_t m_failedConnects = 0;
};

} // namespace balsamhook
