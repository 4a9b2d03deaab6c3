#include <doctest/doctest.h>

#include "routing/routing.h"
#include "routing/routing_test_support.h"

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

constexpr std::size_t Senders = 6;
constexpr std::size_t Shards = 10;
constexpr std::size_t Slots = 2;
constexpr std::size_t QueueLength = 12;
constexpr std::chrono::microseconds Work{14000};
constexpr std::chrono::milliseconds Objective{110};
constexpr std::chrono::milliseconds Deadline{1100};
constexpr std::chrono::milliseconds ReviewInterval{100};
constexpr std::chrono::seconds BurstFrom{3};
constexpr std::chrono::seconds BurstUntil{8};
constexpr std::chrono::seconds Length{12};
constexpr double UsualRate = 80;
constexpr double BurstRate = 400; ///< Targets bear 286 a second.

/// Plays queries to all shards through several instances that don't know of each other's load: usual, above what the targets bear, usual again.
class burst_play
{
public:
    explicit burst_play(bool isGuarded)
        : m_isGuarded(isGuarded)
    {
        for (sender &each : m_senders) {
            each.health.resize(Shards * 2);
        }
    }

    /// Share of the queries of the burst that were answered in time.
    double shareInTime()
    {
        for (time_point at = Start; at < Start + Length;) {
            m_play.schedule(at, [this] { arrive(); });
            const bool isBurst = at >= Start + BurstFrom && at < Start + BurstUntil;
            const double mean = 1 / (isBurst ? BurstRate : UsualRate);
            at += std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(m_random)));
        }
        for (time_point at = Start; at < Start + Length; at += ReviewInterval) {
            m_play.schedule(at, [this] { review(); });
        }
        m_play.run();
        return static_cast<double>(m_inTime) / std::max(1, m_asked);
    }

private:
    struct sender
    {
        std::vector<target_health> health; ///< Two replicas for each shard.
        latency_window latency{Work};
        latency_baseline baseline;
        overload_guard guard;
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
        std::shared_ptr<query> of;
        std::size_t target = 0;
        time_point sentAt;
    };

    struct replica
    {
        std::deque<job> queue;
        std::size_t busy = 0;
    };

    void review()
    {
        for (sender &each : m_senders) {
            each.baseline.observe(each.latency, m_play.now());
            each.guard.review(each.baseline.isOverloaded(Objective));
        }
    }

    void arrive()
    {
        const auto asked = std::make_shared<query>();
        asked->sender = m_next++ % Senders;
        asked->arrivedAt = m_play.now();
        asked->isCounted = m_play.now() >= Start + BurstFrom && m_play.now() < Start + BurstUntil;
        m_asked += asked->isCounted ? 1 : 0;
        sender &taken = m_senders[asked->sender];
        if (m_isGuarded && !taken.guard.admits({})) {
            return;
        }
        taken.guard.onStart();
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            send(asked, shard);
        }
        m_play.schedule(m_play.now() + Deadline, [this, asked] { end(*asked); });
    }

    void send(const std::shared_ptr<query> &asked, std::size_t shard)
    {
        sender &from = m_senders[asked->sender];
        std::vector<replica_view> views(2);
        for (std::size_t i = 0; i < 2; ++i) {
            views[i].health = &from.health[shard * 2 + i];
            views[i].slots = Slots;
            views[i].isLocal = true;
            views[i].hasRoom = views[i].health->hasCapacity();
        }
        const replica_decision decision = chooseReplica(views, Work, m_play.now(), std::uniform_real_distribution<double>(0, 1)(m_random));
        if (!decision.chosen || asked->isOver) {
            if (!asked->isOver) {
                m_play.schedule(m_play.now() + 6ms, [this, asked, shard] { send(asked, shard); });
            }
            return;
        }
        const std::size_t target = shard * 2 + *decision.chosen;
        from.health[target].onSent(m_play.now());
        if (m_replicas[target].queue.size() >= QueueLength) {
            from.health[target].onRefused(m_play.now(), m_play.now());
            m_play.schedule(m_play.now() + 6ms, [this, asked, shard] { send(asked, shard); });
            return;
        }
        m_replicas[target].queue.push_back({asked, target, m_play.now()});
        startNext(target);
    }

    void startNext(std::size_t target)
    {
        replica &works = m_replicas[target];
        while (works.busy < Slots && !works.queue.empty()) {
            const job next = works.queue.front();
            works.queue.pop_front();
            ++works.busy;
            const double jitter = std::uniform_real_distribution<double>(0.6, 1.4)(m_random);
            m_play.schedule(m_play.now() + std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(Work.count()) * jitter)),
                            [this, next] { finish(next); });
        }
    }

    void finish(const job &ended)
    {
        --m_replicas[ended.target].busy;
        sender &from = m_senders[ended.of->sender];
        from.health[ended.target].onAnswered(ended.sentAt, m_play.now(), from.latency.median());
        from.latency.add(std::chrono::duration_cast<std::chrono::microseconds>(m_play.now() - ended.sentAt));
        if (++ended.of->parts == Shards && !ended.of->isOver) {
            m_inTime += ended.of->isCounted && m_play.now() <= ended.of->arrivedAt + Objective ? 1 : 0;
            end(*ended.of);
        }
        startNext(ended.target);
    }

    void end(query &ended)
    {
        if (!ended.isOver) {
            ended.isOver = true;
            m_senders[ended.sender].guard.onEnd();
        }
    }

    bool m_isGuarded;
    event_play m_play{Start};
    std::array<sender, Senders> m_senders;
    std::array<replica, Shards * 2> m_replicas;
    std::mt19937 m_random{11};
    std::size_t m_next = 0;
    int m_asked = 0;
    int m_inTime = 0;
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

TEST_CASE("Queries of a burst above what targets bear: refusing some keeps the others in time (guards against a burst in which nobody is served in time)")
{
    const double without = burst_play(false).shareInTime();
    const double with = burst_play(true).shareInTime();
    MESSAGE("share of the burst in time: without the guard ", without, ", with it ", with);
    CHECK(with >= 0.4);
    CHECK(with >= 2 * without);
}

TEST_CASE("latency_baseline: overloaded when the median is far above the usual and matters (guards against refusals on calm days)")
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
    CHECK_MESSAGE(baseline.isOverloaded(100ms), "the smallest one of the half minute before still counts");
    baseline.observe(windowOf(40ms), now + 70s);
    baseline.observe(windowOf(40ms), now + 101s);
    CHECK_FALSE_MESSAGE(baseline.isOverloaded(100ms), "the usual latency has changed");
}

TEST_CASE("overload_guard: less urgent queries are refused first, returning callers last, and the bound goes away (guards against unfair and lasting refusals)")
{
    overload_guard guard;
    for (int i = 0; i < 40; ++i) {
        CHECK(guard.admits({false, false}));
        guard.onStart();
    }
    guard.review(true);
    CHECK(guard.isLimited());
    while (guard.admits({false, false}) == false && guard.admits({true, false}) == false) {
        guard.onEnd();
    }
    CHECK(guard.admits({true, false}));
    CHECK_FALSE(guard.admits({false, false}));
    while (guard.admits({true, false})) {
        guard.onStart();
    }
    CHECK(guard.admits({true, true}));
    for (int i = 0; i < 100; ++i) {
        guard.review(false);
    }
    CHECK_FALSE(guard.isLimited());
}
