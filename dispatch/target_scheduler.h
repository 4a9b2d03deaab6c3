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

/// The task sends the attempt to the target now and calls finish() once when it has ended.
struct send_attempt
{
    std::uint64_t attempt = 0;
};

/// The attempt has ended without being sent.
struct refuse_attempt
{
    std::uint64_t attempt = 0;
    refusal_reason reason = refusal_reason::None;
};

/// The task asks the target to cancel the attempt, which keeps its slot until finish().
struct cancel_at_target
{
    std::uint64_t attempt = 0;
};

using target_action = std::variant<send_attempt, refuse_attempt, cancel_at_target>;

/// How a sent attempt ended.
enum class attempt_end : std::uint8_t {
    Answered,
    NotStarted, ///< The target said that it didn't start it, for a reason other than its load.
    Shedding, ///< The target said that it didn't start it because of its load.
    NotSent, ///< Stopped before the first byte; says nothing about the target.
    NotConnected, ///< No connection could be opened.
    ConnectionLost,
    TimedOut,
    Failed, ///< An answer that says nothing about the target's speed.
};

/// Decides for one target which attempts are queued, sent or refused. Pure logic: time points in, actions out. Not thread-safe.
class target_scheduler
{
public:
    using time_point = boot_clock::time_point;
    using actions = std::vector<target_action>;

    /// Precondition: 1 <= coldSlots <= slots and queueLimit >= 1.
    target_scheduler(std::uint32_t coldSlots, std::uint32_t slots, std::size_t queueLimit, time_point now);

    /// Takes new bounds from the configuration.
    actions resize(std::uint32_t coldSlots, std::uint32_t slots, time_point now);

    /// Ownership: assigned without permission yet, permitted, or withdrawn. Withdrawal refuses what is queued.
    actions assign();
    actions permit(time_point now);
    actions withdraw();

    /// The work in flight has ended and the connections are closed. Precondition: inFlight() is 0.
    void release();

    /// Stops new work with this reason (TargetLeaving or DataCentreOut).
    actions leave(refusal_reason reason);

    /// Takes new work again, from the cold bound.
    actions comeBack(time_point now);

    /// Offers a new attempt. Precondition: the id was never used before.
    actions admit(std::uint64_t attempt, time_point deadline, time_point now);

    /// Refusal that admit() would give now because of the target's state; None when there is none.
    refusal_reason stateRefusal() const;

    /// Ends a sent attempt. Precondition: send_attempt was returned for it and finish() wasn't called for it yet.
    actions finish(std::uint64_t attempt, attempt_end end, std::chrono::microseconds serviceTime, time_point now);

    /// Cancels an attempt. Unknown ids are ignored, because the attempt may have ended meanwhile.
    actions cancel(std::uint64_t attempt);

    /// Refuses expired entries.
    actions advance(time_point now);

    /// Learns the target's incarnation from its status or an answer; another one than before means that it restarted.
    actions recordIncarnation(std::string_view incarnation, time_point now);

    /// Learns from a status poll.
    void recordStatus(bool cold, time_point now);

    /// A connection could be opened, or not.
    actions recordConnect(bool succeeded, time_point now);

    target_state state() const;
    bool isUsable() const;
    std::uint32_t limit() const;
    std::size_t queueLength() const;
    std::size_t inFlight() const;
    const slot_limit &serviceTimes() const;

    /// True when the attempt runs at the target, no other does, and none was lost there since it was sent. A lost connection is then
    /// its own fault; several attempts lost in one crash are never blamed.
    bool ranAlone(std::uint64_t attempt) const;

private:
    struct queued_attempt
    {
        std::uint64_t attempt;
        time_point deadline;
    };

    actions refuseAll(refusal_reason reason);
    void resetLimit(time_point now);
    void updateWarmth();
    void sendQueued(actions &out, time_point now);

    /// Time that an attempt takes at the target, with a margin.
    std::chrono::microseconds expectedRun() const;
    std::chrono::microseconds expectedWait() const;

    target_machine m_machine;
    slot_limit m_limit;
    std::size_t m_queueLimit;
    refusal_reason m_leaveReason = refusal_reason::None;
    std::deque<queued_attempt> m_queue;
    std::map<std::uint64_t, time_point> m_sent; ///< With the time of sending.
    time_point m_lastLoss{};
    std::string m_incarnation;
    std::uint32_t m_failedConnects = 0;
};

} // namespace balsamhook
