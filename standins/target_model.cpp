#include "standins/target_model.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::microseconds ShortestService{200};
constexpr double ColdFactor = 2.0; ///< Caches are empty in cold start.
constexpr double CollapseFactor = 5.0; ///< A target in cold start with more work than it bears.
constexpr double SlowdownPerWaiting = 0.05; ///< Each waiting request slows the running ones.
constexpr std::uint32_t ShedPerSlot = 16; ///< Longest queue inside the target, for each slot.

} // namespace

target_model::target_model(site_target shape, service_behaviour behaviour, std::uint64_t seed)
    : m_shape(std::move(shape))
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
    m_draining = false;
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

void target_model::setDraining(bool draining)
{
    m_draining = draining;
}

void target_model::setExtraDelay(std::chrono::milliseconds delay)
{
    m_extraDelay = delay;
}

bool target_model::openConnection()
{
    if (m_connections >= m_shape.connections) {
        ++m_figures.connectionViolations;
        return false;
    }
    ++m_connections;
    m_figures.peakConnections = std::max(m_figures.peakConnections, m_connections);
    return true;
}

void target_model::closeConnection()
{
    BALSAM_ASSERT(m_connections > 0);
    --m_connections;
}

target_admission target_model::admit(std::uint64_t id, time_point now)
{
    if (m_draining) {
        return target_admission::Draining;
    }
    if (m_waiting.size() >= std::size_t{ShedPerSlot} * m_shape.slots) {
        ++m_figures.shed;
        return target_admission::Shedding;
    }
    if (isCold(now) && concurrent() >= m_shape.coldSlots) {
        ++m_figures.coldViolations;
    }
    m_waiting.push_back(id);
    m_figures.peakConcurrent = std::max(m_figures.peakConcurrent, concurrent());
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
    while (!m_waiting.empty() && m_running.size() < m_shape.slots) {
        const std::uint64_t id = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(id);
        m_started.push_back({id, drawDuration(now)});
    }
}

std::chrono::microseconds target_model::drawDuration(time_point now)
{
    std::normal_distribution<double> time(static_cast<double>(m_behaviour.serviceTime.count()), static_cast<double>(m_behaviour.spread.count()));
    std::uniform_real_distribution<double> share(0.0, 1.0);
    double duration = std::max(time(m_random), static_cast<double>(ShortestService.count()));
    if (share(m_random) < m_behaviour.stragglerShare) {
        duration *= m_behaviour.stragglerFactor;
    }
    duration *= 1.0 + SlowdownPerWaiting * static_cast<double>(m_waiting.size());
    if (isCold(now)) {
        duration *= concurrent() > m_shape.coldSlots ? CollapseFactor : ColdFactor;
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
    if (m_draining) {
        return "draining";
    }
    return isCold(now) ? "cold" : "warm";
}

const std::string &target_model::incarnation() const
{
    return m_incarnation;
}

std::uint32_t target_model::concurrent() const
{
    return static_cast<std::uint32_t>(m_running.size() + m_waiting.size());
}

std::uint32_t target_model::connections() const
{
    return m_connections;
}

const target_figures &target_model::figures() const
{
    return m_figures;
}

void target_model::countSearch()
{
    ++m_figures.searches;
}

void target_model::countExecution()
{
    ++m_figures.executions;
}

void target_model::countCrash()
{
    ++m_figures.crashes;
}

} // namespace balsamhook
