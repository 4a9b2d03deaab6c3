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

/// Ids of the attempts that the actions send.
std::vector<std::uint64_t> sentAttempts(const target_scheduler::actions &actions)
{
    std::vector<std::uint64_t> ids;
    for (const target_action &action : actions) {
        if (const auto *send = std::get_if<send_attempt>(&action)) {
            ids.push_back(send->attempt);
        }
    }
    return ids;
}

/// Reason of the only refusal in the actions.
refusal_reason onlyRefusal(const target_scheduler::actions &actions)
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

/// Finishes sequential attempts of a permitted scheduler until the target is warm. Returns the simulated time at the end.
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

TEST_CASE("target_machine: a target is usable only between permission and withdrawal")
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
    machine.process(target_event::DrainEnded);
    CHECK(machine.state() == target_state::Releasing);
    machine.process(target_event::Released);
    CHECK(machine.state() == target_state::NotOwned);
}

TEST_CASE("target_machine: a target is cold after draining, a failed connection or a change of owner")
{
    for (const auto &[interruption, recovery] : {std::pair(target_event::DrainStarted, target_event::DrainEnded),
                                                 std::pair(target_event::ConnectFailed, target_event::ConnectSucceeded),
                                                 std::pair(target_event::OwnershipLost, target_event::TakeoverAllowed)}) {
        target_machine machine;
        machine.process(target_event::TakeoverAllowed);
        machine.process(target_event::FullLimitReached);
        machine.process(interruption);
        machine.process(recovery);
        CHECK(machine.state() == target_state::Cold);
    }
}

TEST_CASE("slot_limit: the limit rises one slot at a time and not before the step interval")
{
    slot_limit limit(1, 4, Start);
    auto now = Start;
    for (int i = 0; i < 100; ++i) {
        limit.recordResponse(10ms, now);
    }
    // Many responses at the same time don't raise the limit: the target may still be starting.
    CHECK(limit.limit() == 1);
    std::uint32_t before = limit.limit();
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(10ms, now);
        CHECK(limit.limit() <= before + 1);
        before = limit.limit();
    }
    CHECK(limit.limit() == 4);
    CHECK(limit.isWarm());
}

TEST_CASE("slot_limit: a single straggler keeps the limit, a lasting increase of the service time resets it")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(10ms, now);
    }
    REQUIRE(limit.limit() == 3);
    limit.recordResponse(500ms, now);
    limit.recordResponse(10ms, now);
    CHECK(limit.limit() == 3);
    for (int i = 0; i < 6; ++i) {
        limit.recordResponse(20ms, now);
    }
    CHECK(limit.limit() == 1);
    // A cold target takes twice the baseline, so this service time doesn't raise the limit.
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(20ms, now);
    }
    CHECK(limit.limit() == 1);
}

TEST_CASE("slot_limit: four consecutive responses at several times the baseline reset the limit, three don't")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(10ms, now);
    }
    for (int i = 0; i < 3; ++i) {
        limit.recordResponse(40ms, now);
    }
    CHECK(limit.limit() == 3);
    limit.recordTimeout(40ms, now);
    CHECK(limit.limit() == 1);
}

TEST_CASE("slot_limit: service times that vary by a factor of two keep a warm target warm")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 2000; ++i) {
        now += 50ms;
        limit.recordResponse(std::chrono::milliseconds(10 + i * 7 % 11), now);
        if (i > 200) {
            REQUIRE(limit.limit() == 3);
        }
    }
}

TEST_CASE("slot_limit: a status that changes to cold resets the limit before responses become slow")
{
    slot_limit limit(1, 3, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(10ms, now);
    }
    REQUIRE(limit.limit() == 3);
    limit.recordStatus(true, now);
    CHECK(limit.limit() == 1);
}

TEST_CASE("slot_limit: the baseline adapts to a lasting change of the service time")
{
    slot_limit limit(1, 2, Start);
    auto now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 50ms;
        limit.recordResponse(10ms, now);
    }
    for (int i = 0; i < 600; ++i) {
        now += 50ms;
        limit.recordResponse(25ms, now);
    }
    CHECK(limit.limit() == 2);
}

TEST_CASE("slot_limit: a cold status delays the rise, but a stale one only for a limited time")
{
    slot_limit limit(1, 2, Start);
    limit.recordStatus(true, Start);
    auto now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        limit.recordResponse(10ms, now);
    }
    CHECK(limit.limit() == 1);
    for (int i = 0; i < 600; ++i) {
        now += 100ms;
        limit.recordStatus(true, now);
        limit.recordResponse(10ms, now);
    }
    CHECK(limit.limit() == 2);
}

TEST_CASE("target_scheduler: a restart, a lost connection and load shedding reset the limit immediately")
{
    for (const attempt_end end : {attempt_end::ConnectionLost, attempt_end::Shedding}) {
        target_scheduler scheduler(1, 3, 64, Start);
        scheduler.permit(Start);
        std::uint64_t id = 0;
        const auto now = warmUp(scheduler, id, Start);
        scheduler.admit(++id, now + 1s, now);
        scheduler.finish(id, end, 1ms, now);
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

TEST_CASE("target_scheduler: an attempt that can't meet its deadline is refused immediately, and an expired one is never sent")
{
    target_scheduler scheduler(1, 1, 64, Start);
    scheduler.permit(Start);
    std::uint64_t id = 0;
    auto now = warmUp(scheduler, id, Start);
    CHECK(sentAttempts(scheduler.admit(100, now + 1s, now)).size() == 1);
    CHECK(onlyRefusal(scheduler.admit(101, now + 20ms, now)) == refusal_reason::DeadlineTooShort);
    CHECK(scheduler.admit(102, now + 30ms, now).empty());
    CHECK(scheduler.admit(103, now + 500ms, now).empty());
    now += 20ms;
    const auto actions = scheduler.finish(100, attempt_end::Answered, 20ms, now);
    CHECK(onlyRefusal(actions) == refusal_reason::DeadlineTooShort);
    CHECK(sentAttempts(actions) == std::vector<std::uint64_t>{103});
}

TEST_CASE("target_scheduler: an overestimated service time doesn't block an idle target permanently")
{
    target_scheduler scheduler(1, 1, 64, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 10s, Start);
    auto now = Start + 5s;
    scheduler.finish(1, attempt_end::TimedOut, 5s, now);
    for (std::uint64_t id = 2; id < 60; ++id) {
        CHECK(sentAttempts(scheduler.admit(id, now + 200ms, now)).size() == 1);
        now += 10ms;
        scheduler.finish(id, attempt_end::Answered, 10ms, now);
    }
    scheduler.admit(60, now + 200ms, now);
    CHECK(scheduler.admit(61, now + 200ms, now).empty());
}

TEST_CASE("target_scheduler: the queue is limited, and a cancelled entry frees its place")
{
    target_scheduler scheduler(1, 1, 2, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    scheduler.admit(3, Start + 1s, Start);
    CHECK(onlyRefusal(scheduler.admit(4, Start + 1s, Start)) == refusal_reason::QueueFull);
    CHECK(onlyRefusal(scheduler.cancel(2)) == refusal_reason::Cancelled);
    CHECK(scheduler.admit(5, Start + 1s, Start).empty());
    const auto cancelled = scheduler.cancel(1);
    REQUIRE(cancelled.size() == 1);
    CHECK(std::holds_alternative<cancel_at_target>(cancelled.front()));
    // The target still processes the cancelled attempt, so the slot stays in use.
    CHECK(scheduler.inFlight() == 1);
}

TEST_CASE("target_scheduler: draining and withdrawal refuse queued attempts and let those in flight finish")
{
    target_scheduler scheduler(1, 1, 8, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    CHECK(onlyRefusal(scheduler.drain(refusal_reason::DataCentreOut)) == refusal_reason::DataCentreOut);
    CHECK(scheduler.inFlight() == 1);
    CHECK(onlyRefusal(scheduler.admit(3, Start + 1s, Start)) == refusal_reason::DataCentreOut);
    scheduler.withdraw();
    CHECK(onlyRefusal(scheduler.admit(4, Start + 1s, Start)) == refusal_reason::NotOwner);
    CHECK(sentAttempts(scheduler.finish(1, attempt_end::Answered, 1ms, Start)).empty());
    scheduler.release();
    CHECK(scheduler.state() == target_state::NotOwned);
}

TEST_CASE("target_scheduler: a crash is attributed to a request only when no other was in flight")
{
    target_scheduler scheduler(2, 2, 8, Start);
    scheduler.permit(Start);
    scheduler.admit(1, Start + 1s, Start);
    scheduler.admit(2, Start + 1s, Start);
    CHECK_FALSE(scheduler.canAttributeCrash(1));
    scheduler.finish(1, attempt_end::ConnectionLost, 1ms, Start + 1ms);
    // Lost in the same crash as the first attempt, although it is now the only one in flight.
    CHECK_FALSE(scheduler.canAttributeCrash(2));
    scheduler.finish(2, attempt_end::ConnectionLost, 1ms, Start + 1ms);
    scheduler.admit(3, Start + 1s, Start + 2ms);
    CHECK(scheduler.canAttributeCrash(3));
}

TEST_CASE("target_scheduler: attempts in flight stay within the limit and each attempt ends exactly once, under any order of events")
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
                perform(scheduler.drain(refusal_reason::TargetLeaving));
                break;
            case 7:
                perform(scheduler.resume(now));
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
        // Ends the remaining attempts: withdrawal refuses queued ones, sent ones get a response.
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
