#include "standins/target_model.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::microseconds MinServiceTime{200};
constexpr double ColdFactor = 2.0; ///< Slowdown during cold start, when caches are empty.
constexpr double ColdOverloadFactor = 5.0; ///< Slowdown during cold start with more than cold_slots requests.
constexpr double SlowdownPerWaitingRequest = 0.05; ///< Relative increase of the service time for each waiting request.
constexpr std::uint32_t MaxWaitingPerSlot = 16; ///< Queue limit for each slot. Further requests are shed.

} // namespace

target_model::target_model(site_target description, service_behaviour behaviour, std::uint64_t seed)
    : m_description(std::move(description))
    , m_behaviour(std::move(behaviour))
    , m_random(seed)
{
}

void target_model::restart(time_point now)
{
    m_incarnation = randomId();
    m_connections = 0;
    m_waiting.clear();
    m_running.clear();
    m_started.clear();
    m_isDraining = false;
    makeCold(now);
}

void target_model::makeCold(time_point now)
{
    m_warmAt = now + m_behaviour.coldStart;
}

void target_model::makeWarm()
{
    m_warmAt = time_point{};
}

void target_model::setDraining(bool isDraining)
{
    m_isDraining = isDraining;
}

void target_model::setExtraDelay(std::chrono::milliseconds delay)
{
    m_extraDelay = delay;
}

bool target_model::openConnection()
{
    if (m_connections >= m_description.connections) {
        ++m_statistics.connectionViolations;
        return false;
    }
    ++m_connections;
    m_statistics.peakConnections = std::max(m_statistics.peakConnections, m_connections);
    return true;
}

void target_model::closeConnection()
{
    BALSAM_ASSERT(m_connections > 0);
    --m_connections;
}

target_admission target_model::admit(std::uint64_t id, time_point now)
{
    if (m_isDraining) {
        return target_admission::Draining;
    }
    if (m_waiting.size() >= std::size_t{MaxWaitingPerSlot} * m_description.slots) {
        ++m_statistics.shed;
        return target_admission::Shedding;
    }
    if (isCold(now) && concurrentRequests() >= m_description.coldSlots) {
        ++m_statistics.coldViolations;
    }
    m_waiting.push_back(id);
    m_statistics.peakConcurrent = std::max(m_statistics.peakConcurrent, concurrentRequests());
    startWaiting(now);
    return target_admission::Accepted;
}

void target_model::remove(std::uint64_t id, time_point now)
{
    m_running.erase(id);
    std::erase(m_waiting, id);
    std::erase_if(m_started, [id](const started_work &work) { return work.id == id; });
    startWaiting(now);
}

void target_model::startWaiting(time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_description.slots) {
        const std::uint64_t id = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(id);
        m_started.push_back({id, drawDuration(now)});
    }
}

std::chrono::microseconds target_model::drawDuration(time_point now)
{
    std::normal_distribution<double> serviceTime(static_cast<double>(m_behaviour.serviceTime.count()),
                                                 static_cast<double>(m_behaviour.serviceTimeDeviation.count()));
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    double duration = std::max(serviceTime(m_random), static_cast<double>(MinServiceTime.count()));
    if (uniform(m_random) < m_behaviour.stragglerShare) {
        duration *= m_behaviour.stragglerFactor;
    }
    duration *= 1.0 + SlowdownPerWaitingRequest * static_cast<double>(m_waiting.size());
    if (isCold(now)) {
        duration *= concurrentRequests() > m_description.coldSlots ? ColdOverloadFactor : ColdFactor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(duration)) + m_extraDelay;
}

std::vector<started_work> target_model::takeStarted()
{
    return std::exchange(m_started, {});
}

bool target_model::isRunning(std::uint64_t id) const
{
    return m_running.contains(id);
}

bool target_model::isCold(time_point now) const
{
    return now < m_warmAt;
}

std::string_view target_model::stateName(time_point now) const
{
    if (m_isDraining) {
        return "draining";
    }
    return isCold(now) ? "cold" : "warm";
}

const std::string &target_model::incarnation() const
{
    return m_incarnation;
}

std::uint32_t target_model::concurrentRequests() const
{
    return static_cast<std::uint32_t>(m_running.size() + m_waiting.size());
}

std::uint32_t target_model::connections() const
{
    return m_connections;
}

const target_statistics &target_model::statistics() const
{
    return m_statistics;
}

void target_model::countSearch()
{
    ++m_statistics.searches;
}

void target_model::countExecution()
{
    ++m_statistics.executions;
}

void target_model::countCrash()
{
    ++m_statistics.crashes;
}

} // namespace balsamhook
