#include "node/target_reachability.h"

#include <algorithm>
#include <map>

namespace balsamhook
{

namespace
{

constexpr std::chrono::milliseconds ProbeTimeout{250};

} // namespace

target_reachability::target_reachability(node_context &context, target_pool &pool)
    : m_context(context)
    , m_pool(pool)
{
}

void target_reachability::update(const routing_configuration *configuration, clock::time_point now)
{
    updateDataCentres(now);
    const bool isAnyUnreachable = !m_context.dataCentres.unreachable().empty();
    const bool wasImpaired = m_isImpaired;
    m_isImpaired = isAnyUnreachable && configuration != nullptr
        && !std::all_of(configuration->routes().begin(), configuration->routes().end(), [&](const route &served) { return canServe(served, now); });
    if (m_isImpaired != wasImpaired) {
        m_context.log.write(event_class::StateChange, event_line("targets", m_isImpaired ? "impaired" : "unimpaired"), now);
    }
    if (isAnyUnreachable) {
        probeUnreachable();
    }
}

void target_reachability::updateDataCentres(clock::time_point now)
{
    std::map<std::string, std::size_t> overdue;
    for (const auto &[id, link] : m_pool.all()) {
        const auto oldest = link->health.oldestInFlight();
        overdue[link->target.dataCentre] += oldest && now - *oldest > data_centre_monitor::SilenceTimeout ? 1 : 0;
    }
    for (const auto &[dataCentre, count] : overdue) {
        if (m_context.dataCentres.update(dataCentre, count, now)) {
            m_context.metrics.add("data_centres_silent_total");
            m_context.log.write(
                event_class::StateChange,
                event_line("targets", "data_centre_unreachable").add("data_centre", dataCentre).add("overdue", static_cast<std::uint64_t>(count)),
                now);
        }
    }
}

void target_reachability::probeUnreachable()
{
    for (const std::string &dataCentre : m_context.dataCentres.unreachable()) {
        if (m_probing.count(dataCentre) > 0) {
            continue;
        }
        std::vector<target_link_ptr> candidates;
        for (const auto &[id, link] : m_pool.all()) {
            if (link->target.dataCentre == dataCentre && link->target.condition == target_condition::Ready) {
                candidates.push_back(link);
            }
        }
        if (!candidates.empty()) {
            const auto index = static_cast<std::size_t>(m_context.draw() * static_cast<double>(candidates.size()));
            probe(candidates[std::min(index, candidates.size() - 1)]);
        }
    }
}

void target_reachability::probe(const target_link_ptr &link)
{
    const std::string dataCentre = link->target.dataCentre;
    m_probing.insert(dataCentre);
    openIdleConnection(m_context, link, ProbeTimeout, [this, dataCentre](connect_outcome outcome) {
        m_probing.erase(dataCentre);
        if (outcome == connect_outcome::Open) {
            m_context.dataCentres.onActivity(dataCentre, clock::now());
            m_context.log.write(event_class::StateChange, event_line("targets", "data_centre_reachable").add("data_centre", dataCentre), clock::now());
        }
    });
}

bool target_reachability::canServe(const route &served, clock::time_point now) const
{
    const auto isReachable = [&](const std::string &service) { return m_pool.isReachable(service, now); };
    if (const auto *gather = std::get_if<gather_destination>(&served.destination)) {
        const auto reachable = static_cast<std::size_t>(std::count_if(gather->shards.begin(), gather->shards.end(), isReachable));
        return reachable >= partsNeeded(gather->shards.size(), gather->minimumCoverage);
    }
    const auto &services = std::get<forward_destination>(served.destination).services;
    return std::all_of(services.begin(), services.end(), [&](const weighted_service &weighted) { return isReachable(weighted.service); });
}

bool target_reachability::isImpaired() const
{
    return m_isImpaired;
}

} // namespace balsamhook
