#include <doctest/doctest.h>

#include "emulator/event_simulator.h"
#include "routing/routing.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

using time_point = target_health::clock::time_point;
const time_point Start{1h};

constexpr unsigned Senders = 6;
constexpr std::size_t Shards = 10;
constexpr unsigned Slots = 2;
constexpr std::size_t QueueLength = 12;
constexpr std::chrono::microseconds ServiceTime{14000};
constexpr std::chrono::milliseconds Objective{110};
constexpr std::chrono::milliseconds Deadline{1100};
constexpr std::chrono::milliseconds AdjustInterval{100};
constexpr std::chrono::seconds BurstStart{3};
constexpr std::chrono::seconds BurstEnd{8};
constexpr std::chrono::seconds Duration{12};
constexpr double NormalRate = 80;
constexpr double BurstRate = 400; ///< The targets' capacity is 286 per second.

/// Simulates queries through several instances without shared state: a normal rate, a burst above the targets' capacity, then the normal rate again.
class burst_simulation
{
public:
    explicit burst_simulation(bool usesLimiter)
        : m_usesLimiter(usesLimiter)
    {
        for (sender &each : m_senders) {
            each.health.resize(Shards * 2);
            for (target_health &health : each.health) {
                health.setRoom({Slots, Senders});
            }
        }
    }

    /// Runs the simulation. Returns the share of the burst's queries that complete within the objective.
    double shareInTime()
    {
        for (time_point at = Start; at < Start + Duration;) {
            m_simulator.schedule(at, [this] { arrive(); });
            const bool isBurst = at >= Start + BurstStart && at < Start + BurstEnd;
            const double mean = 1 / (isBurst ? BurstRate : NormalRate);
            at += std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(m_random)));
        }
        for (time_point at = Start; at < Start + Duration; at += AdjustInterval) {
            m_simulator.schedule(at, [this] { adjust(); });
        }
        m_simulator.run();
        return static_cast<double>(m_queriesInTime) / std::max(1, m_queries);
    }

private:
    struct sender
    {
        std::vector<target_health> health; ///< Two replicas for each shard.
        latency_window latency{ServiceTime};
        latency_baseline baseline;
        unqueued_latency unqueued{ServiceTime};
        concurrency_limiter limiter;
    };

    struct query
    {
        std::size_t sender = 0;
        time_point arrivedAt;
        std::size_t parts = 0;
        bool isCounted = false;
        bool isOver = false;
    };

    struct job
    {
        std::shared_ptr<query> parent;
        std::size_t target = 0;
        time_point sentAt;
    };

    struct replica
    {
        std::deque<job> queue;
        std::size_t busy = 0;
    };

    void adjust()
    {
        for (sender &each : m_senders) {
            each.baseline.observe(each.latency, m_simulator.now());
            each.unqueued.observe(each.latency, Objective, m_simulator.now());
            each.limiter.adjust(each.baseline.isOverloaded(Objective));
        }
    }

    void arrive()
    {
        const auto current = std::make_shared<query>();
        current->sender = m_nextSender++ % Senders;
        current->arrivedAt = m_simulator.now();
        current->isCounted = m_simulator.now() >= Start + BurstStart && m_simulator.now() < Start + BurstEnd;
        m_queries += current->isCounted ? 1 : 0;
        sender &origin = m_senders[current->sender];
        if (m_usesLimiter && !origin.limiter.admits({})) {
            return;
        }
        origin.limiter.onStart();
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            send(current, shard);
        }
        m_simulator.schedule(m_simulator.now() + Deadline, [this, current] { end(*current); });
    }

    void send(const std::shared_ptr<query> &current, std::size_t shard)
    {
        sender &origin = m_senders[current->sender];
        std::vector<replica_view> views(2);
        for (std::size_t i = 0; i < 2; ++i) {
            views[i].health = &origin.health[shard * 2 + i];
            views[i].slots = Slots;
            views[i].isLocal = true;
            views[i].hasCapacity = views[i].health->hasCapacity(m_simulator.now());
        }
        const replica_decision decision = chooseReplica(views, ServiceTime, m_simulator.now(), std::uniform_real_distribution<double>(0, 1)(m_random));
        if (!decision.chosen || current->isOver) {
            if (!current->isOver) {
                m_simulator.schedule(m_simulator.now() + 6ms, [this, current, shard] { send(current, shard); });
            }
            return;
        }
        const std::size_t target = shard * 2 + *decision.chosen;
        origin.health[target].onSent(m_simulator.now());
        if (m_replicas[target].queue.size() >= QueueLength) {
            origin.health[target].onRefused(m_simulator.now(), m_simulator.now());
            m_simulator.schedule(m_simulator.now() + 6ms, [this, current, shard] { send(current, shard); });
            return;
        }
        m_replicas[target].queue.push_back({current, target, m_simulator.now()});
        startNext(target);
    }

    void startNext(std::size_t target)
    {
        replica &selected = m_replicas[target];
        while (selected.busy < Slots && !selected.queue.empty()) {
            const job next = selected.queue.front();
            selected.queue.pop_front();
            ++selected.busy;
            const double jitter = std::uniform_real_distribution<double>(0.6, 1.4)(m_random);
            m_simulator.schedule(m_simulator.now() + std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(ServiceTime.count()) * jitter)),
                                 [this, next] { finish(next); });
        }
    }

    void finish(const job &ended)
    {
        --m_replicas[ended.target].busy;
        sender &origin = m_senders[ended.parent->sender];
        origin.health[ended.target].onResponse(ended.sentAt, m_simulator.now(), origin.unqueued.profile(origin.latency, Objective));
        origin.latency.add(std::chrono::duration_cast<std::chrono::microseconds>(m_simulator.now() - ended.sentAt));
        if (++ended.parent->parts == Shards && !ended.parent->isOver) {
            m_queriesInTime += ended.parent->isCounted && m_simulator.now() <= ended.parent->arrivedAt + Objective ? 1 : 0;
            end(*ended.parent);
        }
        startNext(ended.target);
    }

    void end(query &ended)
    {
        if (!ended.isOver) {
            ended.isOver = true;
            m_senders[ended.sender].limiter.onEnd();
        }
    }

    bool m_usesLimiter;
    event_simulator m_simulator{Start};
    std::array<sender, Senders> m_senders;
    std::array<replica, Shards * 2> m_replicas;
    std::mt19937 m_random{11};
    std::size_t m_nextSender = 0;
    int m_queries = 0;
    int m_queriesInTime = 0;
};

latency_window windowOf(std::chrono::microseconds latency)
{
    latency_window window(latency);
    for (int i = 0; i < 256; ++i) {
        window.add(latency);
    }
    return window;
}

} // namespace

TEST_CASE("concurrency_limiter: refusals keep the other queries of a burst above the targets' capacity in time (guards against a burst in which all queries "
          "are late)")
{
    const double without = burst_simulation(false).shareInTime();
    const double with = burst_simulation(true).shareInTime();
    MESSAGE("share of the burst in time: without the limiter ", without, ", with it ", with);
    CHECK(with >= 0.4);
    CHECK(with >= 2 * without);
}

TEST_CASE("latency_baseline: overloaded when the median is far above the baseline and a large part of the objective (guards against refusals without overload)")
{
    latency_baseline baseline;
    time_point now = Start;
    baseline.observe(windowOf(15ms), now);
    CHECK_FALSE(baseline.isOverloaded(100ms));
    baseline.observe(windowOf(28ms), now + 1s);
    CHECK_FALSE(baseline.isOverloaded(100ms));
    baseline.observe(windowOf(40ms), now + 2s);
    CHECK(baseline.isOverloaded(100ms));
    CHECK_FALSE_MESSAGE(baseline.isOverloaded(400ms), "well within the objective");
    baseline.observe(windowOf(40ms), now + 35s);
    CHECK_MESSAGE(baseline.isOverloaded(100ms), "the minimum of the previous period still counts");
    baseline.observe(windowOf(40ms), now + 70s);
    baseline.observe(windowOf(40ms), now + 101s);
    CHECK_FALSE_MESSAGE(baseline.isOverloaded(100ms), "the baseline has changed");
}

TEST_CASE(
    "concurrency_limiter: refuses less urgent queries first and callers' retries last, and the limit is lifted (guards against unfair and lasting refusals)")
{
    concurrency_limiter limiter;
    for (int i = 0; i < 40; ++i) {
        CHECK(limiter.admits({false, false}));
        limiter.onStart();
    }
    limiter.adjust(true);
    CHECK(limiter.isLimited());
    while (limiter.admits({false, false}) == false && limiter.admits({true, false}) == false) {
        limiter.onEnd();
    }
    CHECK(limiter.admits({true, false}));
    CHECK_FALSE(limiter.admits({false, false}));
    while (limiter.admits({true, false})) {
        limiter.onStart();
    }
    CHECK(limiter.admits({true, true}));
    for (int i = 0; i < 100; ++i) {
        limiter.adjust(false);
    }
    CHECK_FALSE(limiter.isLimited());
}
