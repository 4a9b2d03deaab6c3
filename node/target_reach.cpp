#include "node/target_reach.h"

#include <algorithm>
#include <map>

namespace balsamhook
{

namespace
{

constexpr std::chrono::milliseconds ProbeTimeout{250};

} // namespace

target_reach::target_reach(node_context &context, target_pool &pool)
    : m_context(context)
    , m_pool(pool)
{
}

void target_reach::update(const routing_configuration *configuration, clock::time_point now)
{
    updateDataCentres(now);
    const bool isAnySilent = !m_context.reach.unreachable().empty();
    const bool wasImpaired = m_isImpaired;
    m_isImpaired = isAnySilent && configuration != nullptr
        && !std::all_of(configuration->routes().begin(), configuration->routes().end(), [&](const route &served) { return canServe(served, now); });
    if (m_isImpaired != wasImpaired) {
        m_context.log.write(event_class::StateChange, event_line("targets", m_isImpaired ? "impaired" : "unimpaired"), now);
    }
    if (isAnySilent) {
        probeSilent();
    }
}

void target_reach::updateDataCentres(clock::time_point now)
{
    std::map<std::string, std::size_t> overdue;
    for (const auto &[id, link] : m_pool.all()) {
        const auto oldest = link->health.oldestInFlight();
        overdue[link->target.dataCentre] += oldest && now - *oldest > data_centre_monitor::SilenceTimeout ? 1 : 0;
    }
    for (const auto &[dataCentre, count] : overdue) {
        if (m_context.reach.update(dataCentre, count, now)) {
            m_context.metrics.add("data_centres_silent_total");
            m_context.log.write(event_class::StateChange,
                                event_line("targets", "data_centre_silent").add("data_centre", dataCentre).add("overdue", static_cast<std::uint64_t>(count)),
                                now);
        }
    }
}

void target_reach::probeSilent()
{
    for (const std::string &dataCentre : m_context.reach.unreachable()) {
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

void target_reach::probe(const target_link_ptr &link)
{
    const std::string dataCentre = link->target.dataCentre;
    m_probing.insert(dataCentre);
    openIdleConnection(m_context, link, ProbeTimeout, [this, dataCentre](bool isOpen) {
        m_probing.erase(dataCentre);
        if (isOpen) {
            m_context.reach.onActivity(dataCentre, clock::now());
            m_context.log.write(event_class::StateChange, event_line("targets", "data_centre_reached").add("data_centre", dataCentre), clock::now());
        }
    });
}

bool target_reach::canServe(const route &served, clock::time_point now) const
{
    const auto isReachable = [&](const std::string &service) { return m_pool.hasAvailable(service, now, clock::time_point::max()); };
    if (const auto *gather = std::get_if<gather_destination>(&served.destination)) {
        const auto reachable = static_cast<std::size_t>(std::count_if(gather->shards.begin(), gather->shards.end(), isReachable));
        return reachable >= partsNeeded(gather->shards.size(), gather->minimumCoverage);
    }
    const auto &services = std::get<forward_destination>(served.destination).services;
    return std::all_of(services.begin(), services.end(), [&](const weighted_service &part) { return isReachable(part.service); });
}

bool target_reach::isImpaired() const
{
    return m_isImpaired;
}

} // namespace balsamhook
