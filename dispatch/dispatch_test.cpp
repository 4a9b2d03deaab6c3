#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "dispatch/dispatch.h"

#include <rapidcheck.h>
#include <set>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

const boot_clock::time_point Start{1h};

/// Ids of the attempts that an action list sends.
std::vector<std::uint64_t> sentIn(const target_scheduler::actions &actions)
{
    std::vector<std::uint64_t> ids;
    for (const target_action &action : actions) {
        if (const auto *send = std::get_if<send_attempt>(&action)) {
            ids.push_back(send->attempt);
        }
    }
    return ids;
}

/// Reason of the only refusal in an action list.
refusal_reason refusalIn(const target_scheduler::actions &actions)
{
    refusal_reason reason = refusal_reason::None;
    int count = 0;
    for (const target_action &action : actions) {
        if (const auto *refused = std::get_if<refuse_attempt>(&action)) {
            reason = refused->reason;
            ++count;
        }
    }
    CHECK(count == 1);
    return reason;
}

/// Lets a permitted scheduler answer sequential attempts until its limit is full; returns the time then.
boot_clock::time_point warmUp(target_scheduler &scheduler, std::uint64_t &nextId, boot_clock::time_point now)
{
    for (int i = 0; i < 200 && scheduler.state() != target_state::Warm; ++i) {
        scheduler.admit(++nextId, now + 1s, now);
        now += 100ms;
        scheduler.finish(nextId, attempt_end::Answered, 10ms, now);
    }
    CHECK(scheduler.state() == target_state::Warm);
    return now;
}

} // namespace

TEST_CASE("a target gets work only between permission and withdrawal")
{
    target_machine machine;
    machine.process(target_event::Assigned);
    CHECK(machine.state() == target_state::AwaitingTakeover);
    machine.process(target_event::FullLimitReached);
    CHECK(machine.state() == target_state::AwaitingTakeover);
    machine.process(target_event::TakeoverAllowed);
    CHECK(machine.state() == target_state::Cold);
    machine.process(target_event::FullLimitReached);
    CHECK(machine.state() == target_state::Warm);
    machine.process(target_event::OwnershipLost);
    CHECK(machine.state() == target_state::Releasing);
    machine.process(target_event::LeaveEnded);
    CHECK(machine.state() == target_state::Releasing);
    machine.process(target_event::Released);
    CHECK(machine.state() == target_state::NotOwned);
}

TEST_CASE("a target that comes back from a leave, an outage or another owner is cold, never warm")
{
    for (const auto &[away, back] : {std::pair(target_event::LeaveStarted, target_event::LeaveEnded),
                                     std::pair(target_event::ConnectFailed, target_event::ConnectSucceeded),
                                     std::pair(target_event::OwnershipLost, target_event::TakeoverAllowed)}) {
        target_machine machine;
        machine.process(target_event::TakeoverAllowed);
        machine.process(target_event::FullLimitReached);
        machine.process(away);
        machine.process(back);
        CHECK(machine.state() == target_state::Cold);
    }
}

TEST_CASE("the limit rises one slot at a time and only on evidence over time")
{
    slot_limit limit(1, 4, Start);
    auto now = Start;
    for (int i = 0; i < 100; ++i) {
        limit.recordAnswer(10ms, now);
    }
    // Many answers within no time don't raise the limit: the target may still be starting.
    CHECK(limit.limit() == 1);
    std::uint32_t before = limit.limit();
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(10ms, now);
        CHECK(limit.limit() <= before + 1);
        before = limit.limit();
    }
    CHECK(limit.limit() == 4);
    CHECK(limit.isWarm());
}

TEST_CASE("one straggling answer keeps the limit, a lasting jump of the service time drops it")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(10ms, now);
    }
    REQUIRE(limit.limit() == 3);
    limit.recordAnswer(500ms, now);
    limit.recordAnswer(10ms, now);
    CHECK(limit.limit() == 3);
    for (int i = 0; i < 6; ++i) {
        limit.recordAnswer(20ms, now);
    }
    CHECK(limit.limit() == 1);
    // Twice the normal time is what a cold target takes, so it isn't evidence for a rise.
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(20ms, now);
    }
    CHECK(limit.limit() == 1);
}

TEST_CASE("four answers in a row at several times the normal time drop the limit, three stragglers don't")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(10ms, now);
    }
    for (int i = 0; i < 3; ++i) {
        limit.recordAnswer(40ms, now);
    }
    CHECK(limit.limit() == 3);
    limit.recordTimeout(40ms, now);
    CHECK(limit.limit() == 1);
}

TEST_CASE("answers that vary by half keep a warm target warm")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 2000; ++i) {
        now += 50ms;
        limit.recordAnswer(std::chrono::milliseconds(10 + i * 7 % 11), now);
        if (i > 200) {
            REQUIRE(limit.limit() == 3);
        }
    }
}

TEST_CASE("a target whose status turns cold falls to its cold bound before its answers show it")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(10ms, now);
    }
    REQUIRE(limit.limit() == 3);
    limit.recordStatus(true, now);
    CHECK(limit.limit() == 1);
}

TEST_CASE("a lasting change of the work becomes the new normal in the end")
{
    slot_limit limit(1, 2, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordAnswer(10ms, now);
    }
    for (int i = 0; i < 600; ++i) {
        now += 50ms;
        limit.recordAnswer(25ms, now);
    }
    CHECK(limit.limit() == 2);
}

TEST_CASE("a status that says cold delays the rise, but a stale one not for ever")
{
    slot_limit limit(1, 2, Start);
    limit.recordStatus(true, Start);
    auto now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        limit.recordAnswer(10ms, now);
    }
    CHECK(limit.limit() == 1);
    for (int i = 0; i < 600; ++i) {
        now += 100ms;
        limit.recordStatus(true, now);
        limit.recordAnswer(10ms, now);
    }
    CHECK(limit.limit() == 2);
}

TEST_CASE("restart, reset and shedding put the target at its cold bound at once")
{
    for (const attempt_end sign : {attempt_end::ConnectionLost, attempt_end::Shedding}) {
        target_scheduler scheduler(1, 3, 64, Start);
        scheduler.permit(Start);
        std::uint64_t id = 0;
        const auto now = warmUp(scheduler, id, Start);
        scheduler.admit(++id, now + 1s, now);
        scheduler.finish(id, sign, 1ms, now);
        CHECK(scheduler.limit() == 1);
        CHECK(scheduler.state() == target_state::Cold);
    }
    target_scheduler scheduler(1, 3, 64, Start);
    scheduler.permit(Start);
    std::uint64_t id = 0;
    scheduler.recordIncarnation("a", Start);
    const auto now = warmUp(scheduler, id, Start);
    scheduler.recordIncarnation("a", now);
    CHECK(scheduler.limit() == 3);
    scheduler.recordIncarnation("b", now);
    CHECK(scheduler.limit() == 1);
}

TEST_CASE("work that would wait longer than it has is refused at once, expired work is never sent")
{
    target_scheduler scheduler(1, 1, 64, Start);
    scheduler.permit(Start);
    std::uint64_t id = 0;
    auto now = warmUp(scheduler, id, Start);
    CHECK(sentIn(scheduler.admit(100, now + 1s, now)).size() == 1);
    CHECK(refusalIn(scheduler.admit(101, now + 20ms, now)) == refusal_reason::DeadlineTooShort);
    CHECK(scheduler.admit(102, now + 30ms, now).empty());
    CHECK(scheduler.admit(103, now + 500ms, now).empty());
    now += 20ms;
    const auto actions = scheduler.finish(100, attempt_end::Answered, 20ms, now);
    CHECK(refusalIn(actions) == refusal_reason::DeadlineTooShort);
    CHECK(sentIn(actions) == std::vector<std::uint64_t>{103});
}

TEST_CASE("an overestimated service time doesn't keep an idle target without work for ever")
{
    target_scheduler scheduler(1, 1, 64, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 10s, Start);
    auto now = Start + 5s;
    scheduler.finish(1, attempt_end::TimedOut, 5s, now);
    for (std::uint64_t id = 2; id < 60; ++id) {
        CHECK(sentIn(scheduler.admit(id, now + 200ms, now)).size() == 1);
        now += 10ms;
        scheduler.finish(id, attempt_end::Answered, 10ms, now);
    }
    scheduler.admit(60, now + 200ms, now);
    CHECK(scheduler.admit(61, now + 200ms, now).empty());
}

TEST_CASE("the queue is bounded and a cancelled entry frees its place")
{
    target_scheduler scheduler(1, 1, 2, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    scheduler.admit(3, Start + 1s, Start);
    CHECK(refusalIn(scheduler.admit(4, Start + 1s, Start)) == refusal_reason::QueueFull);
    CHECK(refusalIn(scheduler.cancel(2)) == refusal_reason::Cancelled);
    CHECK(scheduler.admit(5, Start + 1s, Start).empty());
    const auto cancelled = scheduler.cancel(1);
    REQUIRE(cancelled.size() == 1);
    CHECK(std::holds_alternative<cancel_at_target>(cancelled.front()));
    // The target still works on the cancelled attempt, so its slot stays taken.
    CHECK(scheduler.inFlight() == 1);
}

TEST_CASE("leaving and lost ownership refuse what is queued and let work in flight end")
{
    target_scheduler scheduler(1, 1, 8, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    CHECK(refusalIn(scheduler.leave(refusal_reason::DataCentreOut)) == refusal_reason::DataCentreOut);
    CHECK(scheduler.inFlight() == 1);
    CHECK(refusalIn(scheduler.admit(3, Start + 1s, Start)) == refusal_reason::DataCentreOut);
    scheduler.withdraw();
    CHECK(refusalIn(scheduler.admit(4, Start + 1s, Start)) == refusal_reason::NotOwner);
    CHECK(sentIn(scheduler.finish(1, attempt_end::Answered, 1ms, Start)).empty());
    scheduler.release();
    CHECK(scheduler.state() == target_state::NotOwned);
}

TEST_CASE("a crash is blamed only on a request that ran alone")
{
    target_scheduler scheduler(2, 2, 8, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    CHECK_FALSE(scheduler.ranAlone(1));
    scheduler.finish(1, attempt_end::ConnectionLost, 1ms, Start + 1ms);
    // Lost in the same crash, so it wasn't alone although it is the last one left.
    CHECK_FALSE(scheduler.ranAlone(2));
    scheduler.finish(2, attempt_end::ConnectionLost, 1ms, Start + 1ms);
    scheduler.admit(3, Start + 1s, Start + 2ms);
    CHECK(scheduler.ranAlone(3));
}

TEST_CASE("a fingerprint is refused after crashes on two targets, not after two on one, and only for a time")
{
    quarantine records(1min, 16);
    records.recordCrash(7, "a", Start);
    records.recordCrash(7, "a", Start + 1s);
    CHECK_FALSE(records.isRefused(7, Start + 1s));
    records.recordCrash(7, "b", Start + 2s);
    CHECK(records.isRefused(7, Start + 2s));
    CHECK(records.notices(Start + 2s).size() == 1);
    CHECK_FALSE(records.isRefused(7, Start + 2s + 1min));
    quarantine other(1min, 16);
    other.merge({7, 30000}, Start);
    CHECK(other.isRefused(7, Start + 29s));
    CHECK_FALSE(other.isRefused(7, Start + 31s));
}

TEST_CASE("the quarantine forgets the oldest fingerprint beyond its capacity")
{
    quarantine records(1min, 2);
    for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        records.recordCrash(fingerprint, "a", Start + std::chrono::seconds(fingerprint));
    }
    records.recordCrash(1, "b", Start + 4s);
    CHECK_FALSE(records.isRefused(1, Start + 4s));
    records.recordCrash(3, "b", Start + 4s);
    CHECK(records.isRefused(3, Start + 4s));
}

TEST_CASE("slots stay within the limit and each attempt ends exactly once, under any order of events")
{
    CHECK(rc::check([] {
        const auto cold = *rc::gen::inRange<std::uint32_t>(1, 4);
        const auto slots = *rc::gen::inRange<std::uint32_t>(cold, 6);
        target_scheduler scheduler(cold, slots, 4, Start);
        auto now = Start;
        std::set<std::uint64_t> open;
        std::set<std::uint64_t> sent;
        std::map<std::uint64_t, boot_clock::time_point> deadlines;
        std::uint64_t nextId = 0;
        const auto perform = [&](const target_scheduler::actions &actions) {
            for (const target_action &action : actions) {
                if (const auto *send = std::get_if<send_attempt>(&action)) {
                    RC_ASSERT(open.contains(send->attempt));
                    RC_ASSERT(sent.insert(send->attempt).second);
                    RC_ASSERT(deadlines.at(send->attempt) > now);
                    RC_ASSERT(scheduler.isUsable());
                    RC_ASSERT(scheduler.inFlight() <= scheduler.limit());
                } else if (const auto *refused = std::get_if<refuse_attempt>(&action)) {
                    RC_ASSERT(!sent.contains(refused->attempt));
                    RC_ASSERT(open.erase(refused->attempt) == 1);
                } else {
                    RC_ASSERT(sent.contains(std::get<cancel_at_target>(action).attempt));
                }
            }
        };
        const auto steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            switch (*rc::gen::weightedElement<int>({{12, 0}, {12, 1}, {2, 2}, {2, 3}, {4, 4}, {1, 5}, {1, 6}, {1, 7}, {1, 8}, {1, 9}})) {
            case 0: {
                const std::uint64_t id = ++nextId;
                open.insert(id);
                deadlines[id] = now + std::chrono::milliseconds(*rc::gen::inRange(-5, 500));
                perform(scheduler.admit(id, deadlines[id], now));
                break;
            }
            case 1:
                if (!sent.empty()) {
                    const std::uint64_t id = *sent.begin();
                    sent.erase(id);
                    RC_ASSERT(open.erase(id) == 1);
                    const auto end = *rc::gen::weightedElement<attempt_end>({{20, attempt_end::Answered},
                                                                             {1, attempt_end::NotStarted},
                                                                             {1, attempt_end::Shedding},
                                                                             {1, attempt_end::NotSent},
                                                                             {1, attempt_end::NotConnected},
                                                                             {1, attempt_end::ConnectionLost},
                                                                             {1, attempt_end::TimedOut},
                                                                             {1, attempt_end::Failed}});
                    perform(scheduler.finish(id, end, std::chrono::milliseconds(*rc::gen::inRange(1, 30)), now));
                }
                break;
            case 2:
                perform(scheduler.cancel(*rc::gen::inRange<std::uint64_t>(0, nextId + 2)));
                break;
            case 3:
                perform(scheduler.advance(now));
                break;
            case 4:
                perform(scheduler.permit(now));
                break;
            case 5:
                perform(scheduler.withdraw());
                break;
            case 6:
                perform(scheduler.leave(refusal_reason::TargetLeaving));
                break;
            case 7:
                perform(scheduler.comeBack(now));
                break;
            case 8:
                perform(scheduler.recordConnect(*rc::gen::arbitrary<bool>(), now));
                break;
            case 9:
                perform(scheduler.recordIncarnation(*rc::gen::element<std::string>("a", "b"), now));
                break;
            }
            RC_ASSERT(scheduler.inFlight() == sent.size());
            RC_ASSERT(scheduler.queueLength() <= 4U);
            RC_ASSERT(scheduler.limit() >= cold && scheduler.limit() <= slots);
        }
        // What is left ends: sent attempts by their answers, queued ones by withdrawal.
        perform(scheduler.withdraw());
        while (!sent.empty()) {
            const std::uint64_t id = *sent.begin();
            sent.erase(id);
            RC_ASSERT(open.erase(id) == 1);
            perform(scheduler.finish(id, attempt_end::Answered, 1ms, now));
        }
        RC_ASSERT(open.empty());
    }));
}
