#include <doctest/doctest.h>

#include "node/node_test_support.h"
#include "node/target_limits.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

using time_point = target_limits::clock::time_point;

const time_point Start{1h};
constexpr std::chrono::milliseconds Step{10};
constexpr std::chrono::milliseconds HeartbeatInterval{400};
constexpr std::chrono::milliseconds UpdateInterval{100};
constexpr std::chrono::seconds Window{4};
constexpr std::chrono::seconds ContactTime{4}; ///< A limit binds this long after it was named, and an instance this long after a disruption.

/// Instances that send as much as they are allowed to one target that names a limit, and exchange heartbeats that are late or lost at random.
class limit_simulation
{
public:
    limit_simulation(double limit, std::size_t count, unsigned seed)
        : m_limit(limit)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_instances.push_back(std::make_unique<instance>("i" + std::to_string(i), m_log, m_metrics));
        }
    }

    struct instance
    {
        instance(std::string instanceName, event_log &log, counters &metrics)
            : name(std::move(instanceName))
            , limits(log, metrics, name)
        {
        }

        std::string name;
        target_limits limits;
        double requestsPerSecond = 50;
        bool isRunning = true;
        time_point undisturbedSince = Start;
        time_point toldAt = time_point::max(); ///< When it passed on the first answer with the limit.
        std::map<std::string, std::pair<demand_filter, time_point>> heard;
        std::deque<time_point> counted; ///< Requests that count against the limit.
    };

    instance &at(std::size_t index)
    {
        return *m_instances[index];
    }

    void restart(std::size_t index)
    {
        const double requestsPerSecond = at(index).requestsPerSecond;
        m_instances[index] = std::make_unique<instance>(at(index).name, m_log, m_metrics);
        at(index).requestsPerSecond = requestsPerSecond;
        at(index).undisturbedSince = m_now;
    }

    void setRunning(std::size_t index, bool isRunning)
    {
        at(index).isRunning = isRunning;
        at(index).undisturbedSince = m_now;
    }

    void run(std::chrono::milliseconds time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += Step) {
            for (const auto &current : m_instances) {
                if (current->isRunning) {
                    step(*current);
                }
            }
        }
    }

    std::size_t sent() const
    {
        return m_sent;
    }

    /// Greatest excess of any window over what is allowed; at most 0 when the rule is kept.
    double excess() const
    {
        return m_excess;
    }

    void setLimit(double limit)
    {
        m_limit = limit;
    }

private:
    void step(instance &current)
    {
        if ((m_now - Start) % UpdateInterval == 0ms) {
            std::vector<limit_peer> peers;
            for (const auto &[name, heartbeat] : current.heard) {
                if (m_now - heartbeat.second < aliveTime()) {
                    peers.push_back({name, heartbeat.first});
                }
            }
            current.limits.update(peers, m_now);
        }
        // The more instances there are, the fewer of their heartbeats carry limits.
        if ((m_now - Start) % (HeartbeatInterval * ((m_instances.size() + 3) / 4)) == 0ms) {
            sendHeartbeat(current);
        }
        const double expected = current.requestsPerSecond * std::chrono::duration<double>(Step).count();
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < expected) {
            request(current);
        }
    }

    void sendHeartbeat(instance &current)
    {
        const demand_filter demand = demand_filter::decode(current.limits.demand(m_now));
        const std::vector<peer_limit> announced = current.limits.announcements(m_now);
        for (const auto &other : m_instances) {
            const bool isLost = std::uniform_int_distribution<int>(0, 19)(m_random) == 0;
            if (other.get() != &current && other->isRunning && !isLost) {
                other->heard[current.name] = {demand, m_now};
                other->limits.merge(announced, m_now);
            }
        }
    }

    /// Of a peer after its last heartbeat with limits; its other heartbeats are not simulated.
    std::chrono::milliseconds aliveTime() const
    {
        return HeartbeatInterval * ((m_instances.size() + 3) / 4 + 4);
    }

    void request(instance &current)
    {
        current.limits.onWanted("t0", m_now);
        if (current.limits.availableAt("t0") > m_now) {
            return;
        }
        ++m_sent;
        current.limits.onSent("t0", m_now);
        count(current);
        if (m_limit > 0) {
            current.limits.onNamed("t0", m_limit, m_now);
            current.toldAt = std::min(current.toldAt, m_now);
        } else {
            current.limits.onNotNamed("t0", m_now, m_now + 1ms);
        }
    }

    void count(instance &current)
    {
        const bool isTold = current.toldAt != time_point::max() && m_now - current.toldAt > 500ms;
        const bool isExcused = m_now - current.undisturbedSince < ContactTime;
        if (m_limit <= 0 || !isTold || isExcused) {
            return;
        }
        m_counted.push_back(m_now);
        while (m_now - m_counted.front() > Window) {
            m_counted.pop_front();
        }
        const double allowed = 1.5 * m_limit * std::chrono::duration<double>(Window).count() + 5;
        m_excess = std::max(m_excess, static_cast<double>(m_counted.size()) - allowed);
    }

    double m_limit;
    std::mt19937 m_random;
    event_log m_log{node_fixture::logFile(), "test"};
    counters m_metrics;
    std::vector<std::unique_ptr<instance>> m_instances;
    time_point m_now = Start;
    std::deque<time_point> m_counted;
    std::size_t m_sent = 0;
    double m_excess = -1e9;
};

} // namespace

TEST_CASE("target_limits: instances together keep a target's limit while others start, freeze and are cut (guards against each instance counting alone)")
{
    for (const double limit : {0.1, 0.75, 1.4, 2.4, 7.5, 24.0, 100.0}) {
        for (const std::size_t count : {2UL, 7UL, 16UL, 30UL}) {
            for (unsigned seed = 1; seed <= 4; ++seed) {
                limit_simulation simulation(limit, count, seed);
                // With few requests an instance often has none for a while and saves what it may send.
                const double requestsPerSecond = seed % 2 == 0 ? 0.4 : 50;
                for (std::size_t i = 0; i < count; ++i) {
                    simulation.at(i).requestsPerSecond = requestsPerSecond;
                }
                std::mt19937 random(seed);
                simulation.run(6s);
                for (int disruption = 0; disruption < 8; ++disruption) {
                    const std::size_t index = std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
                    if (disruption % 2 == 0) {
                        simulation.restart(index);
                        simulation.run(3s);
                    } else {
                        simulation.setRunning(index, false);
                        simulation.run(3s);
                        simulation.setRunning(index, true);
                        simulation.run(2s);
                    }
                }
                CAPTURE(limit);
                CAPTURE(count);
                CAPTURE(seed);
                CHECK(simulation.excess() <= 0);
            }
        }
    }
}

TEST_CASE("target_limits: the limit is used by the instances that have requests (guards against shares that idle instances leave unused)")
{
    for (const double limit : {1.4, 7.5, 24.0}) {
        limit_simulation simulation(limit, 7, 1);
        for (std::size_t i = 1; i < 7; ++i) {
            simulation.at(i).requestsPerSecond = 0;
        }
        simulation.run(6s);
        const std::size_t before = simulation.sent();
        simulation.run(20s);
        const double used = static_cast<double>(simulation.sent() - before) / 20;
        CAPTURE(limit);
        CHECK(used > 0.8 * limit);
        CHECK(used < 1.2 * limit);
    }
}

TEST_CASE("target_limits: all instances soon use a target again whose limit has ended (guards against instances that refuse requests for a sound target)")
{
    limit_simulation simulation(0.75, 16, 1);
    simulation.run(10s);
    simulation.setLimit(0);
    simulation.run(8s);
    std::size_t limited = 0;
    for (std::size_t i = 0; i < 16; ++i) {
        limited += simulation.at(i).limits.isLimited("t0") ? 1 : 0;
    }
    CHECK(limited == 0);
}

TEST_CASE("target_limits: a limit ends only with a response to a request that was sent after it was named (guards against late responses that end it)")
{
    event_log log(node_fixture::logFile(), "test");
    counters metrics;
    const std::string instance = "i1";
    target_limits limits(log, metrics, instance);
    limits.onNamed("t0", 2, Start);
    limits.onNotNamed("t0", Start - 1ms, Start + 10ms);
    CHECK(limits.isLimited("t0"));
    CHECK(limits.availableAt("t0") > Start);
    limits.onNotNamed("t0", Start + 1ms, Start + 20ms);
    CHECK_FALSE(limits.isLimited("t0"));
    CHECK(limits.availableAt("t0") <= Start);
    limits.onNamed("t0", 0, Start + 1s);
    CHECK_MESSAGE(limits.isLimited("t0"), "a limit of 0 holds too");
}
