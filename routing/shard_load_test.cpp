#include <doctest/doctest.h>

#include "emulator/event_simulator.h"
#include "routing/routing.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

using time_point = target_health::clock::time_point;
const time_point Start{1h};

constexpr unsigned Senders = 6;
constexpr unsigned Slots = 2;
constexpr std::size_t QueueLength = 12;
constexpr std::chrono::microseconds ServiceTime{12000};
constexpr std::chrono::milliseconds Objective{100};
constexpr latency_profile Usual{ServiceTime, ServiceTime + Objective / 4, 0.01};
constexpr std::chrono::milliseconds RequestDeadline{1500};
constexpr std::chrono::milliseconds ArrivalInterval{9};
constexpr std::chrono::seconds SlowUntil{4};
constexpr std::chrono::seconds Duration{14};

/// Mechanisms that are enabled in a simulation.
struct policy
{
    bool limitsInFlight = true;
    bool skipsLateShards = true;
};

/// Simulates one shard with two replicas, each with two slots and a queue, and several senders without shared state. Until
/// SlowUntil, replicas run at a sixth of their speed; afterwards they get slower the fuller their queue is.
class shard_simulation
{
public:
    explicit shard_simulation(policy enabled)
        : m_policy(enabled)
    {
        for (auto &sender : m_health) {
            sender.resize(2);
            for (target_health &health : sender) {
                health.setRoom({Slots, Senders});
            }
        }
    }

    /// Runs the simulation. Returns the share of queries, from 2 s after SlowUntil, whose part arrived within the objective.
    double shareInTime()
    {
        for (time_point at = Start; at < Start + Duration; at += ArrivalInterval) {
            m_simulator.schedule(at, [this, at] { arrive(at); });
        }
        m_simulator.run();
        return static_cast<double>(m_partsInTime) / std::max(1, m_countedQueries);
    }

private:
    struct job
    {
        int sender = 0;
        time_point sentAt;
        time_point arrivedAt;
        std::shared_ptr<bool> isDone;
    };

    struct replica
    {
        std::deque<job> queue;
        std::size_t busy = 0;
    };

    void arrive(time_point arrivedAt)
    {
        const int sender = m_nextSender++ % Senders;
        const bool isCounted = arrivedAt > Start + SlowUntil + 2s;
        m_countedQueries += isCounted ? 1 : 0;
        const auto isDone = std::make_shared<bool>(false);
        const auto chosen = send(sender, arrivedAt, -1, isDone);
        if (chosen >= 0) {
            m_simulator.schedule(arrivedAt + 30ms, [this, sender, arrivedAt, chosen, isDone] {
                if (!*isDone) {
                    send(sender, arrivedAt, chosen, isDone);
                }
            });
        }
    }

    int send(int sender, time_point arrivedAt, int tried, const std::shared_ptr<bool> &isDone)
    {
        std::vector<replica_view> views(2);
        for (int i = 0; i < 2; ++i) {
            views[i].health = &m_health[sender][i];
            views[i].slots = Slots;
            views[i].isLocal = true;
            views[i].isTried = i == tried;
            views[i].hasCapacity = !m_policy.limitsInFlight || m_health[sender][i].hasCapacity(m_simulator.now());
        }
        const replica_decision decision = chooseReplica(views, ServiceTime, m_simulator.now(), std::uniform_real_distribution<double>(0, 1)(m_random));
        if (!decision.chosen) {
            return -1;
        }
        shard_load load{decision.expected, std::chrono::duration_cast<std::chrono::microseconds>(arrivedAt + Objective - m_simulator.now()), 0, 20, 0.89};
        if (m_policy.skipsLateShards && isShardSkipped(load)) {
            return -1;
        }
        const int chosen = static_cast<int>(*decision.chosen);
        m_health[sender][chosen].onSent(m_simulator.now());
        replica &target = m_replicas[chosen];
        const job sent{sender, m_simulator.now(), arrivedAt, isDone};
        if (target.queue.size() >= QueueLength) {
            m_health[sender][chosen].onRefused(m_simulator.now(), m_simulator.now());
            return -1;
        }
        target.queue.push_back(sent);
        startNext(chosen);
        return chosen;
    }

    void startNext(int index)
    {
        replica &target = m_replicas[index];
        while (target.busy < Slots && !target.queue.empty()) {
            const job next = target.queue.front();
            target.queue.pop_front();
            if (m_simulator.now() > next.sentAt + RequestDeadline) {
                m_health[next.sender][index].onRefused(next.sentAt, m_simulator.now());
                continue;
            }
            ++target.busy;
            const double slowness = m_simulator.now() < Start + SlowUntil ? 6 : 1 + static_cast<double>(target.queue.size()) / 4;
            const double jitter = std::uniform_real_distribution<double>(0.6, 1.4)(m_random);
            const auto duration = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(ServiceTime.count()) * slowness * jitter));
            m_simulator.schedule(m_simulator.now() + duration, [this, index, next] { finish(index, next); });
        }
    }

    void finish(int index, const job &ended)
    {
        --m_replicas[index].busy;
        m_health[ended.sender][index].onResponse(ended.sentAt, m_simulator.now(), Usual);
        if (!*ended.isDone) {
            *ended.isDone = true;
            const bool isCounted = ended.arrivedAt > Start + SlowUntil + 2s;
            m_partsInTime += isCounted && m_simulator.now() <= ended.arrivedAt + Objective ? 1 : 0;
        }
        startNext(index);
    }

    policy m_policy;
    event_simulator m_simulator{Start};
    std::array<std::vector<target_health>, Senders> m_health;
    std::array<replica, 2> m_replicas;
    std::mt19937 m_random{7};
    int m_nextSender = 0;
    int m_countedQueries = 0;
    int m_partsInTime = 0;
};

} // namespace

TEST_CASE(
    "target_health and isShardSkipped: a shard recovers from a slow period (guards against senders that keep its replicas overloaded after the cause is gone)")
{
    const double without = shard_simulation({false, false}).shareInTime();
    const double with = shard_simulation({true, true}).shareInTime();
    MESSAGE("share of parts in time after the slow period: without limits ", without, ", with limits ", with);
    CHECK(with >= 0.95);
    CHECK(with > without);
}
