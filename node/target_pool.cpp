#include "node/target_pool.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

using steady = std::chrono::steady_clock;

/// Retry-After for a service without targets. New targets register within seconds.
constexpr std::chrono::milliseconds NoTargetsRetryDelay{1000};
/// Limits Retry-After where far more is requested than the targets' request limits permit.
constexpr std::chrono::seconds MaxReservation{30};
/// The store removes the registration of a target after this many heartbeat intervals of silence.
constexpr int MissedHeartbeats = 3;
/// Time until the removal is known here.
constexpr std::chrono::milliseconds RegistrationDelay{2000};

} // namespace

target_pool::target_pool(node_context &context)
    : m_context(context)
{
}

void target_pool::detach(const target_link_ptr &link)
{
    link->isRemoved = true;
    closeIdleConnections(*link);
    auto &group = m_byService[link->target.service];
    std::erase(group, link);
    if (group.empty()) {
        m_byService.erase(link->target.service);
    }
}

void target_pool::update(const target_catalogue::record &record, bool hasRestarted)
{
    target_link_ptr &link = m_byId[record.target.id];
    if (link && hasRestarted) {
        m_context.crashes.onTargetDown(record.target.id, boot_clock::now());
        m_context.limits.onTargetEnded(record.target.id);
        detach(link);
        link = nullptr;
    }
    if (!link) {
        link = std::make_shared<target_link>();
        m_byService[record.target.service].push_back(link);
    }
    link->target = record.target;
    link->isStale = record.isStale;
    link->registrationReadAt = record.updatedAt;
    setRoom(*link);
    if (record.target.condition == target_condition::Draining) {
        closeIdleConnections(*link);
    }
}

void target_pool::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    const target_link_ptr link = found->second;
    detach(link);
    m_byId.erase(found);
    m_context.limits.onTargetEnded(id);
    m_context.notices.onRemoved(id, steady::now());
    if (link->target.condition == target_condition::Draining) {
        m_context.crashes.onTargetLeft(id);
    } else {
        const auto lapse = m_context.settings.targetHeartbeat * MissedHeartbeats + RegistrationDelay;
        m_context.crashes.onTargetExpired(id, lapse, boot_clock::now());
    }
}

void target_pool::setEvacuated(std::set<std::string> dataCentres)
{
    m_evacuated = std::move(dataCentres);
}

void target_pool::setLimits(std::shared_ptr<const routing_configuration> configuration, unsigned senderCount)
{
    m_configuration = std::move(configuration);
    m_senderCount = std::max(1U, senderCount);
    for (const auto &[id, link] : m_byId) {
        setRoom(*link);
    }
}

void target_pool::setRoom(target_link &link) const
{
    link.health.setRoom({std::max(1U, link.target.slots), m_senderCount});
}

bool target_pool::isUsable(const target_link &link) const
{
    const bool isLeaving = link.target.condition == target_condition::Draining || m_context.notices.isLeaving(processOf(link.target));
    return !isLeaving && m_evacuated.count(link.target.dataCentre) == 0;
}

template<typename time_of>
std::optional<steady::time_point> target_pool::earliest(const std::string &service, time_of availableAt) const
{
    std::optional<steady::time_point> first;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return first;
    }
    for (const target_link_ptr &link : found->second) {
        if (isUsable(*link) && !m_context.dataCentres.isUnreachable(link->target.dataCentre)) {
            const auto at = availableAt(*link);
            first = first ? std::min(*first, at) : at;
        }
    }
    return first;
}

std::optional<steady::time_point> target_pool::earliestAvailable(const std::string &service, steady::time_point now) const
{
    return earliest(service, [now](const target_link &link) { return std::max(now, link.health.availableAt()); });
}

std::optional<steady::time_point> target_pool::earliestPermitted(const std::string &service, steady::time_point now) const
{
    return earliest(service, [this, now](const target_link &link) { return std::max({now, link.health.availableAt(), permittedAt(link.target, false)}); });
}

steady::time_point target_pool::permittedAt(const registered_target &target, bool isHedge) const
{
    return std::max(m_context.limits.availableAt(target.id, isHedge), m_context.notices.pausedUntil(processOf(target)));
}

bool target_pool::hasAvailable(const std::string &service, steady::time_point now, steady::time_point before) const
{
    const auto first = earliestPermitted(service, now);
    return first && (*first == now || *first < before);
}

bool target_pool::isReachable(const std::string &service, steady::time_point now) const
{
    return earliestAvailable(service, now).has_value();
}

steady::time_point target_pool::expectedAvailable(const std::string &service, steady::time_point now) const
{
    const auto first = earliestPermitted(service, now);
    if (!first) {
        return m_registrationsDueAt > now ? m_registrationsDueAt : now + NoTargetsRetryDelay;
    }
    const auto reserved = m_reservedUntil.find(service);
    const bool isReserved = reserved != m_reservedUntil.end() && reserved->second > now && *first > now;
    if (*first != steady::time_point::max()) {
        return isReserved ? std::max(*first, reserved->second) : *first;
    }
    return isReserved ? reserved->second : now + NoTargetsRetryDelay;
}

void target_pool::onWanted(const std::string &service, steady::time_point now)
{
    if (m_context.limits.isEmpty()) {
        return;
    }
    for (const target_link_ptr &link : usable(service)) {
        m_context.limits.onWanted(link->target.id, now);
    }
}

double target_pool::limitedRate(const std::string &service) const
{
    double rate = 0;
    for (const target_link_ptr &link : usable(service)) {
        rate += m_context.limits.meanShare(link->target.id);
    }
    return rate;
}

steady::time_point target_pool::reserveLimited(const std::string &service, steady::time_point now)
{
    const double rate = limitedRate(service);
    if (rate > 0) {
        steady::time_point &until = m_reservedUntil[service];
        const auto next = std::max(until, now) + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(1 / rate));
        until = std::min(next, now + MaxReservation);
    }
    return expectedAvailable(service, now);
}

void target_pool::expectRegistrations(steady::time_point before)
{
    m_registrationsDueAt = before;
}

std::vector<target_link_ptr> target_pool::usable(const std::string &service) const
{
    std::vector<target_link_ptr> links;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return links;
    }
    for (const target_link_ptr &link : found->second) {
        if (isUsable(*link)) {
            links.push_back(link);
        }
    }
    return links;
}

unsigned target_pool::connectionLimit(const target_link &link, steady::time_point now) const
{
    const service_settings *service = m_configuration ? m_configuration->findService(link.target.service) : nullptr;
    connection_demand demand;
    demand.targetConnectionLimit = service == nullptr ? 0 : service->maxConnections;
    demand.slots = link.target.slots;
    demand.senders = m_senderCount;
    demand.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
    return connectionShare(demand);
}

std::chrono::milliseconds target_pool::warmupLeft(const target_link &link, steady::time_point now) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - link.registrationReadAt);
    return std::max(std::chrono::milliseconds(0), link.target.warmupLeft - elapsed);
}

double target_pool::coldStartRate(const target_link &link, steady::time_point now) const
{
    if (!m_configuration || warmupLeft(link, now).count() == 0) {
        return 0;
    }
    const service_settings *service = m_configuration->findService(link.target.service);
    return service != nullptr ? service->warmupRequestsPerSecond : 0;
}

bool target_pool::isColdStartLimited(target_link &link, steady::time_point now) const
{
    const double rate = coldStartRate(link, now);
    if (rate <= 0) {
        return false;
    }
    return m_isPartitioned || !isFirstSender(m_context.settings.instance, m_senders, link.target.id) || !link.coldStartLimiter.allows(rate, now);
}

void target_pool::setSenders(std::set<std::string> senders, bool isPartitioned)
{
    m_isPartitioned = isPartitioned;
    m_senders = std::move(senders);
}

unsigned target_pool::room(const target_link &link, unsigned most, steady::time_point now) const
{
    const auto isBackedOff = link.connections > 0 && now < link.connectBackoffUntil;
    const unsigned limit = isBackedOff ? link.connections : std::max(1U, connectionLimit(link, now));
    const auto idle = static_cast<unsigned>(link.idle.size());
    unsigned requests = std::min(most, idle + (limit > link.connections ? limit - link.connections : 0));
    while (requests > 0 && !link.health.hasCapacityFor(requests, now)) {
        --requests;
    }
    return requests;
}

bool target_pool::hasRoomFor(unsigned requests, const std::string &service, steady::time_point now) const
{
    unsigned found = 0;
    for (const target_link_ptr &link : usable(service)) {
        found += link->health.isAvailable(now) ? room(*link, requests, now) : 0;
    }
    return found >= requests;
}

replica_view target_pool::view(target_link &link, steady::time_point now) const
{
    replica_view replica;
    replica.health = &link.health;
    replica.slots = link.target.slots;
    replica.isLocal = link.target.dataCentre == m_context.settings.dataCentre;
    replica.isStale = link.isStale;
    replica.isUnreachable = m_context.dataCentres.isUnreachable(link.target.dataCentre);
    const bool mayOpenConnection = link.connections == 0 || (link.connections < connectionLimit(link, now) && now >= link.connectBackoffUntil);
    const bool hasConnection = !link.idle.empty() || mayOpenConnection;
    replica.hasCapacity = link.health.hasCapacity(now) && hasConnection;
    replica.fullReason = hasConnection ? full_reason::InFlight : full_reason::Connections;
    replica.warmupLeft = warmupLeft(link, now);
    replica.limitedUntil = permittedAt(link.target, false);
    replica.isSavingLimit = m_context.limits.availableAt(link.target.id, true) > now;
    if (replica.hasCapacity && isColdStartLimited(link, now)) {
        replica.hasCapacity = false;
        replica.fullReason = full_reason::ColdStart;
    }
    return replica;
}

std::vector<replica_view>
target_pool::views(const std::vector<target_link_ptr> &links, const attempted_targets &attempted, bool isHedge, steady::time_point now) const
{
    const auto contains = [](const std::vector<std::string> &ids, const std::string &id) { return std::find(ids.begin(), ids.end(), id) != ids.end(); };
    std::vector<replica_view> replicas;
    replicas.reserve(links.size());
    for (const target_link_ptr &link : links) {
        replica_view &replica = replicas.emplace_back(view(*link, now));
        replica.isTried = contains(attempted.tried, link->target.id);
        replica.hasRefused = contains(attempted.refused, link->target.id);
        if (isHedge && m_context.limits.isLimited(link->target.id)) {
            replica.limitedUntil = permittedAt(link->target, true);
        }
    }
    return replicas;
}

target_attempt_ptr target_pool::send(const target_link_ptr &link, attempt_options options, target_attempt::handler done)
{
    if (coldStartRate(*link, steady::now()) > 0) {
        link->coldStartLimiter.onSent();
    }
    m_context.limits.onSent(link->target.id, steady::now());
    auto attempt = std::make_shared<target_attempt>(m_context, link, std::move(options), std::move(done));
    attempt->start();
    return attempt;
}

std::map<std::string, std::size_t> target_pool::targetsOfDataCentre() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, link] : m_byId) {
        if (isUsable(*link)) {
            ++counts[link->target.dataCentre];
        }
    }
    return counts;
}

const std::unordered_map<std::string, target_link_ptr> &target_pool::all() const
{
    return m_byId;
}

std::size_t target_pool::size() const
{
    return m_byId.size();
}

} // namespace balsamhook
