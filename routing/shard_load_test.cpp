#include <doctest/doctest.h>

#include "routing/routing.h"
#include "routing/routing_test_support.h"

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

constexpr int Senders = 6;
constexpr std::size_t Slots = 2;
constexpr std::size_t QueueLength = 12;
constexpr std::chrono::microseconds Work{12000};
constexpr std::chrono::milliseconds Objective{100};
constexpr std::chrono::milliseconds HandedDeadline{1500};
constexpr std::chrono::milliseconds ArrivalInterval{9};
constexpr std::chrono::seconds SlowUntil{4};
constexpr std::chrono::seconds Length{14};

/// Which of the two decisions is played.
struct policy
{
    bool limitsRequests = true;
    bool skipsLate = true;
};

/// Plays one shard of two replicas, each with two slots and a queue, asked by several senders that don't know of each other. Replicas work slower the
/// fuller their queue is. For the first seconds they work at a sixth of their speed. Returns the share of queries whose part came within the objective,
/// after the cause has gone.
class shard_play
{
public:
    explicit shard_play(policy played)
        : m_policy(played)
    {
        for (auto &sender : m_health) {
            sender.resize(2);
        }
    }

    double shareInTime()
    {
        for (time_point at = Start; at < Start + Length; at += ArrivalInterval) {
            m_play.schedule(at, [this, at] { ask(at); });
        }
        m_play.run();
        return static_cast<double>(m_inTime) / std::max(1, m_counted);
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

    void ask(time_point arrivedAt)
    {
        const int sender = m_next++ % Senders;
        const bool isCounted = arrivedAt > Start + SlowUntil + 2s;
        m_counted += isCounted ? 1 : 0;
        const auto isDone = std::make_shared<bool>(false);
        const auto used = send(sender, arrivedAt, -1, isDone);
        if (used >= 0) {
            m_play.schedule(arrivedAt + 30ms, [this, sender, arrivedAt, used, isDone] {
                if (!*isDone) {
                    send(sender, arrivedAt, used, isDone);
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
            views[i].hasRoom = !m_policy.limitsRequests || m_health[sender][i].hasCapacity();
        }
        const replica_decision decision = chooseReplica(views, Work, m_play.now(), std::uniform_real_distribution<double>(0, 1)(m_random));
        if (!decision.chosen) {
            return -1;
        }
        shard_load load{decision.expected, std::chrono::duration_cast<std::chrono::microseconds>(arrivedAt + Objective - m_play.now()), 0, 20, 0.89};
        if (m_policy.skipsLate && isShardSkipped(load)) {
            return -1;
        }
        const int chosen = static_cast<int>(*decision.chosen);
        m_health[sender][chosen].onSent(m_play.now());
        replica &target = m_replicas[chosen];
        const job sent{sender, m_play.now(), arrivedAt, isDone};
        if (target.queue.size() >= QueueLength) {
            m_health[sender][chosen].onRefused(m_play.now(), m_play.now());
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
            if (m_play.now() > next.sentAt + HandedDeadline) {
                m_health[next.sender][index].onRefused(next.sentAt, m_play.now());
                continue;
            }
            ++target.busy;
            const double slowness = m_play.now() < Start + SlowUntil ? 6 : 1 + static_cast<double>(target.queue.size()) / 4;
            const double jitter = std::uniform_real_distribution<double>(0.6, 1.4)(m_random);
            const auto duration = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(Work.count()) * slowness * jitter));
            m_play.schedule(m_play.now() + duration, [this, index, next] { finish(index, next); });
        }
    }

    void finish(int index, const job &ended)
    {
        --m_replicas[index].busy;
        m_health[ended.sender][index].onAnswered(ended.sentAt, m_play.now(), Work);
        if (!*ended.isDone) {
            *ended.isDone = true;
            const bool isCounted = ended.arrivedAt > Start + SlowUntil + 2s;
            m_inTime += isCounted && m_play.now() <= ended.arrivedAt + Objective ? 1 : 0;
        }
        startNext(index);
    }

    policy m_policy;
    event_play m_play{Start};
    std::array<std::vector<target_health>, Senders> m_health;
    std::array<replica, 2> m_replicas;
    std::mt19937 m_random{7};
    int m_next = 0;
    int m_counted = 0;
    int m_inTime = 0;
};

} // namespace

TEST_CASE("A shard that was slow for a while recovers (guards against senders that keep its replicas overloaded after the cause is gone)")
{
    const double without = shard_play({false, false}).shareInTime();
    const double with = shard_play({true, true}).shareInTime();
    MESSAGE("parts in time after the cause is gone: without limits ", without, ", with limits ", with);
    CHECK(with >= 0.95);
    CHECK(with > without);
}
