#include "emulator/target_emulator.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace balsamhook
{

namespace
{

using time_point = event_simulator::time_point;
using std::chrono::microseconds;

const time_point Start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds PollInterval{6};
constexpr std::chrono::milliseconds ObserveInterval{100};
constexpr std::size_t MinResponses = 32; ///< New responses between two observations of the latency.
constexpr int ReplicaWaitDivisor = 5; ///< A request waits for room for a fifth of its objective.
constexpr std::chrono::seconds SettlingTime{1}; ///< After a slow period.

microseconds toMicroseconds(double value)
{
    return microseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(value)));
}

class emulation
{
public:
    emulation(const emulated_site &site, std::uint32_t seed)
        : m_site(site)
        , m_targets(site.targets)
        , m_random(seed)
    {
        const auto initialLatency = std::chrono::duration_cast<microseconds>(site.objective) / 8;
        for (std::size_t i = 0; i < site.senders; ++i) {
            m_senders.push_back({std::vector<target_health>(site.targets), latency_window(initialLatency), unqueued_latency(initialLatency)});
            for (target_health &health : m_senders.back().health) {
                health.setRoom({site.slots, static_cast<unsigned>(site.senders)});
            }
        }
    }

    emulation_report run()
    {
        std::exponential_distribution<double> gap(m_site.requestsPerSecond);
        for (time_point at = Start; at < Start + m_site.duration;) {
            m_simulator.schedule(at, [this] { arrive(); });
            at += std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(gap(m_random)));
        }
        for (time_point at = Start; at < Start + m_site.duration; at += ObserveInterval) {
            m_simulator.schedule(at, [this] { observe(); });
        }
        m_simulator.run();
        if (!m_latencies.empty()) {
            std::sort(m_latencies.begin(), m_latencies.end());
            m_report.percentile99 = m_latencies[m_latencies.size() * 99 / 100];
        }
        return m_report;
    }

private:
    struct sender
    {
        std::vector<target_health> health; ///< Of each target.
        latency_window latency;
        unqueued_latency unqueued;
        std::size_t responses = 0; ///< Since the last observation of the latency.
    };

    struct request
    {
        std::size_t sender = 0;
        time_point arrivedAt;
        microseconds work{0};
        std::vector<bool> hasRefused; ///< Of each target.
    };
    using request_pointer = std::shared_ptr<request>;

    struct job
    {
        request_pointer origin;
        time_point sentAt;
    };

    struct target
    {
        std::deque<job> queue;
        unsigned busy = 0;
    };

    void observe()
    {
        for (sender &each : m_senders) {
            if (each.responses >= MinResponses) {
                each.responses = 0;
                each.unqueued.observe(each.latency, m_site.objective, m_simulator.now());
            }
        }
    }

    void arrive()
    {
        ++m_report.requests;
        const auto arrived = std::make_shared<request>();
        arrived->sender = std::uniform_int_distribution<std::size_t>(0, m_site.senders - 1)(m_random);
        arrived->arrivedAt = m_simulator.now();
        arrived->work = m_site.work(m_random);
        arrived->hasRefused.resize(m_site.targets);
        trySend(arrived);
    }

    void trySend(const request_pointer &waiting)
    {
        const time_point now = m_simulator.now();
        sender &origin = m_senders[waiting->sender];
        std::vector<replica_view> views(m_site.targets);
        for (std::size_t i = 0; i < m_site.targets; ++i) {
            views[i].health = &origin.health[i];
            views[i].slots = m_site.slots;
            views[i].isLocal = true;
            views[i].hasRefused = waiting->hasRefused[i];
            views[i].hasCapacity = origin.health[i].hasCapacity(now);
        }
        const auto decision = chooseReplica(views, origin.latency.median(), now, std::uniform_real_distribution<double>(0, 1)(m_random));
        if (decision.chosen) {
            send(waiting, *decision.chosen);
        } else if (now + PollInterval > waiting->arrivedAt + m_site.objective / ReplicaWaitDivisor) {
            refuse();
        } else {
            m_simulator.schedule(now + PollInterval, [this, waiting] { trySend(waiting); });
        }
    }

    void refuse()
    {
        const time_point now = m_simulator.now();
        ++m_report.refused;
        std::size_t inService = 0;
        std::size_t queued = 0;
        for (const target &each : m_targets) {
            inService += each.busy;
            queued += each.queue.size();
        }
        m_report.refusedWithFreeSlots += inService + queued < m_site.targets * m_site.slots ? 1 : 0;
        const bool isSettled = m_site.slowUntil.count() > 0 && now > Start + m_site.slowUntil + SettlingTime;
        m_report.refusedAfterSlowPeriod += isSettled ? 1 : 0;
    }

    void send(const request_pointer &sent, std::size_t index)
    {
        const time_point now = m_simulator.now();
        target_health &health = m_senders[sent->sender].health[index];
        health.onSent(now);
        target &chosen = m_targets[index];
        if (chosen.busy >= m_site.slots && chosen.queue.size() >= m_site.queueLength) {
            health.onRefused(now, now);
            sent->hasRefused[index] = true;
            trySend(sent);
            return;
        }
        chosen.queue.push_back({sent, now});
        startNext(index);
    }

    void startNext(std::size_t index)
    {
        target &worker = m_targets[index];
        while (worker.busy < m_site.slots && !worker.queue.empty()) {
            const job next = worker.queue.front();
            worker.queue.pop_front();
            ++worker.busy;
            const time_point now = m_simulator.now();
            const bool isSlow = now >= Start + m_site.slowFrom && now < Start + m_site.slowUntil;
            const double work = static_cast<double>(next.origin->work.count()) * (isSlow ? m_site.slowFactor : 1);
            m_simulator.schedule(now + toMicroseconds(work), [this, index, next] { finish(index, next); });
        }
    }

    void finish(std::size_t index, const job &ended)
    {
        const time_point now = m_simulator.now();
        --m_targets[index].busy;
        sender &origin = m_senders[ended.origin->sender];
        origin.health[index].onResponse(ended.sentAt, now, origin.unqueued.profile(origin.latency, m_site.objective));
        origin.latency.add(std::chrono::duration_cast<microseconds>(now - ended.sentAt));
        ++origin.responses;
        const auto latency = std::chrono::duration_cast<microseconds>(now - ended.origin->arrivedAt);
        m_report.answered += latency <= m_site.timeout ? 1 : 0;
        m_report.answeredInTime += latency <= m_site.objective ? 1 : 0;
        m_latencies.push_back(latency);
        startNext(index);
    }

    const emulated_site &m_site;
    event_simulator m_simulator{Start};
    std::vector<sender> m_senders;
    std::vector<target> m_targets;
    std::mt19937 m_random;
    std::vector<microseconds> m_latencies;
    emulation_report m_report;
};

double shareOf(int count, int requests)
{
    return static_cast<double>(count) / std::max(1, requests);
}

} // namespace

work_distribution constantWork(microseconds mean)
{
    return [mean](std::mt19937 &) { return mean; };
}

work_distribution exponentialWork(microseconds mean)
{
    return [mean](std::mt19937 &random) { return toMicroseconds(std::exponential_distribution<double>(1 / static_cast<double>(mean.count()))(random)); };
}

work_distribution twoModeWork(microseconds mean)
{
    // One request in five takes 16 times as long as the others, which take a quarter of the mean.
    return [mean](std::mt19937 &random) { return std::bernoulli_distribution(0.2)(random) ? mean * 4 : mean / 4; };
}

work_distribution paretoWork(microseconds mean)
{
    constexpr double Shape = 1.5;
    const double minimum = static_cast<double>(mean.count()) * (Shape - 1) / Shape;
    return [minimum](std::mt19937 &random) {
        constexpr double MaxRatio = 200;
        const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
        return toMicroseconds(minimum * std::min(MaxRatio, std::pow(1 - drawn, -1 / Shape)));
    };
}

work_distribution logNormalWork(microseconds median)
{
    constexpr double Sigma = 1.75;
    return [median](std::mt19937 &random) {
        constexpr double MaxRatio = 22;
        const double ratio = std::exp(std::normal_distribution<double>(0, Sigma)(random));
        return toMicroseconds(static_cast<double>(median.count()) * std::clamp(ratio, 0.04, MaxRatio));
    };
}

double emulation_report::shareRefusedWithFreeSlots() const
{
    return shareOf(refusedWithFreeSlots, requests);
}

double emulation_report::shareInTime() const
{
    return shareOf(answeredInTime, requests);
}

double emulation_report::shareAnswered() const
{
    return shareOf(answered, requests);
}

emulation_report emulate(const emulated_site &site, std::uint32_t seed)
{
    BALSAM_ASSERT(site.work && site.senders > 0 && site.targets > 0 && site.slots > 0);
    return emulation(site, seed).run();
}

} // namespace balsamhook
