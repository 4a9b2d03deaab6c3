#include "node/target_pool.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ConnectTimeout{250};
/// A request that must not be repeated uses a connection only if it was idle for less than this: an older one may have been dropped unnoticed.
constexpr std::chrono::milliseconds FreshConnection{1500};
/// Time beyond the deadline handed on after which the connection of an abandoned request is closed.
constexpr std::chrono::milliseconds AbandonSlack{100};
/// After a target reset a new connection, no further one is opened to it for this long while others are open.
constexpr std::chrono::milliseconds ConnectionLimitPause{500};
/// A service without targets gets new ones within seconds, if at all.
constexpr std::chrono::milliseconds WithoutTargets{1000};
constexpr message_reader::limits ResponseLimits{64 * 1024, 16 * 1024 * 1024};
constexpr unsigned Misdirected = 421; ///< The address belongs to another target.

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Keeps a connection that carries no request for later requests to the target.
void keepIdle(const target_link_ptr &link, const std::shared_ptr<target_connection> &connection)
{
    connection->onIdleClose([link, raw = connection.get()] {
        const auto found = std::find_if(link->idle.begin(), link->idle.end(), [raw](const auto &kept) { return kept.get() == raw; });
        if (found != link->idle.end()) {
            link->idle.erase(found);
            --link->connections;
        }
    });
    link->idle.push_back(connection);
}

} // namespace

std::string_view nameOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Success:
        return "success";
    case attempt_outcome::TargetFailure:
        return "target_failure";
    case attempt_outcome::NotRun:
        return "not_run";
    case attempt_outcome::Unreachable:
        return "unreachable";
    case attempt_outcome::Lost:
        return "lost";
    }
    return "unknown";
}

bool mayHaveRun(attempt_outcome outcome)
{
    return outcome != attempt_outcome::Unreachable && outcome != attempt_outcome::NotRun;
}

void asked_targets::onOutcome(const std::string &targetId, const attempt_result &result)
{
    const bool mayAskAgain = result.outcome == attempt_outcome::NotRun && result.response.status != Misdirected;
    if (mayAskAgain) {
        std::erase(tried, targetId);
        refused.push_back(targetId);
    }
}

std::size_t asked_targets::sends() const
{
    return tried.size() + refused.size();
}

std::string asked_targets::last() const
{
    if (!tried.empty()) {
        return tried.back();
    }
    return refused.empty() ? std::string() : refused.back();
}

target_attempt::target_attempt(node_context &context, target_link_ptr link, attempt_order order, handler done)
    : m_context(context)
    , m_link(std::move(link))
    , m_order(std::move(order))
    , m_done(std::move(done))
{
}

const target_link &target_attempt::link() const
{
    return *m_link;
}

bool target_attempt::wasSent() const
{
    return m_wasSent;
}

void target_attempt::start()
{
    m_startedAt = steady::now();
    m_link->health.onSent(m_startedAt);
    if (auto kept = takeIdle(m_startedAt)) {
        send(std::move(kept), true);
        return;
    }
    openConnection();
}

std::shared_ptr<target_connection> target_attempt::takeIdle(steady::time_point now)
{
    while (!m_link->idle.empty()) {
        auto kept = std::move(m_link->idle.back());
        m_link->idle.pop_back();
        const bool isFresh = m_order.mayRepeat || now - kept->idleSince() < FreshConnection;
        if (kept->isReusable(now) && isFresh) {
            return kept;
        }
        kept->close();
        --m_link->connections;
    }
    return nullptr;
}

void target_attempt::openConnection()
{
    ++m_link->connections;
    m_context.numbers.add("target_connections_opened_total");
    m_connection = std::make_shared<target_connection>(m_context.io, m_link->target.address, ResponseLimits);
    m_timer = m_context.timers.start(m_startedAt + ConnectTimeout, [self = shared_from_this()] {
        self->m_timer = 0;
        self->failToOpen();
    });
    m_connection->open([self = shared_from_this()](bool isOpen) {
        self->m_context.timers.stop(self->m_timer);
        if (self->m_isOver) {
            return;
        }
        if (!isOpen) {
            self->m_context.crashes.onTargetDown(self->m_link->target.id, boot_clock::now());
            self->failToOpen();
            return;
        }
        self->m_context.reach.onSign(self->m_link->target.dataCentre, steady::now());
        self->send(std::move(self->m_connection), false);
    });
}

void target_attempt::failToOpen()
{
    m_link->health.onUnreachable(steady::now());
    release(false);
    finish({attempt_outcome::Unreachable, {}, {}});
}

void target_attempt::send(std::shared_ptr<target_connection> connection, bool isReused)
{
    m_connection = std::move(connection);
    m_isReused = isReused;
    m_wasSent = true;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_order.deadline - steady::now());
    const outgoing_request &request = *m_order.request;
    m_connection->exchange(request.bytes(m_link->target.id, left),
                           request.requestId(),
                           request.expectsBody(),
                           [self = shared_from_this()](exchange_result exchanged) { self->onExchanged(std::move(exchanged)); });
}

attempt_outcome target_attempt::classify(const exchange_result &exchanged) const
{
    if (exchanged.outcome == exchange_outcome::NotSent) {
        return attempt_outcome::Unreachable;
    }
    if (exchanged.outcome == exchange_outcome::Lost) {
        return attempt_outcome::Lost;
    }
    const http_message &response = exchanged.response;
    if (response.status == Misdirected || response.find(platform_header::NotRun) != nullptr) {
        return attempt_outcome::NotRun;
    }
    if (!isSuccess(response.status)) {
        return attempt_outcome::TargetFailure;
    }
    const std::string *id = response.find(platform_header::RequestId);
    const bool isMine = id != nullptr && *id == m_order.request->requestId();
    const bool isWhole = response.find(platform_header::Signature) != nullptr && response.find("Content-Encoding") == nullptr;
    return isMine && isWhole ? attempt_outcome::Success : attempt_outcome::Lost;
}

void target_attempt::updateHealth(attempt_outcome outcome, const exchange_result &exchanged, steady::time_point now)
{
    constexpr unsigned GatewayTimeout = 504;
    constexpr unsigned ServerError = 500;
    target_health &health = m_link->health;
    const bool wasDropped = outcome == attempt_outcome::Lost && exchanged.wasReset && !exchanged.sawBytes;
    // An idle connection that the target dropped says nothing about the target.
    const bool wasStale = wasDropped && m_isReused;
    // A target that has all the connections it accepts resets a new one.
    const bool wasOverLimit = wasDropped && !m_isReused;
    switch (outcome) {
    case attempt_outcome::Success:
        health.onAnswered(m_startedAt, now, m_order.typical);
        break;
    case attempt_outcome::TargetFailure:
        if (exchanged.response.status >= ServerError && exchanged.response.status != GatewayTimeout) {
            health.onFailed(m_startedAt, now);
        } else {
            health.onAbandoned(m_startedAt, now, m_order.typical);
        }
        break;
    case attempt_outcome::NotRun:
        if (exchanged.response.status == Misdirected) {
            health.onFailed(m_startedAt, now);
        } else {
            health.onRefused(m_startedAt, now);
        }
        break;
    case attempt_outcome::Unreachable:
    case attempt_outcome::Lost:
        if (wasStale) {
            health.onAbandoned(m_startedAt, now, std::chrono::hours(1));
        } else if (wasOverLimit) {
            health.onRefused(m_startedAt, now);
            m_link->noNewConnectionsUntil = now + ConnectionLimitPause;
        } else {
            health.onFailed(m_startedAt, now);
        }
        break;
    }
}

void target_attempt::onExchanged(exchange_result exchanged)
{
    if (m_isOver) {
        return;
    }
    const auto now = steady::now();
    const attempt_outcome outcome = classify(exchanged);
    updateHealth(outcome, exchanged, now);
    m_context.reach.onSign(m_link->target.dataCentre, now);
    if (outcome == attempt_outcome::Lost && exchanged.wasReset && !exchanged.sawBytes) {
        m_context.crashes.onLost(m_link->target.id, *m_order.request, boot_clock::now());
    }
    m_context.numbers.add(std::string("attempts_total{outcome=\"").append(nameOf(outcome)).append("\"}"));
    m_context.timers.stop(m_timer);
    release(true);
    attempt_result result;
    result.outcome = outcome;
    result.response = std::move(exchanged.response);
    result.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - m_startedAt);
    finish(std::move(result));
}

void target_attempt::release(bool keep)
{
    const auto connection = std::move(m_connection);
    m_connection = nullptr;
    if (!connection) {
        return;
    }
    if (!keep || m_link->isRemoved || !connection->isReusable(steady::now())) {
        connection->close();
        --m_link->connections;
        return;
    }
    keepIdle(m_link, connection);
}

void target_attempt::finish(attempt_result result)
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    if (!m_wasSent) {
        // Nothing was sent, so the target's health was updated by whoever found out; only the entry of the request is removed.
        m_link->health.onAbandoned(m_startedAt, m_startedAt, m_order.typical);
    }
    const handler done = std::move(m_done);
    m_done = nullptr;
    if (done) {
        done(std::move(result));
    }
}

void target_attempt::abandon(bool callerLeft)
{
    if (m_isOver) {
        return;
    }
    m_done = nullptr;
    const auto now = steady::now();
    if (callerLeft || !m_wasSent) {
        m_isOver = true;
        m_context.timers.stop(m_timer);
        m_link->health.onAbandoned(m_startedAt, now, m_order.typical);
        release(false);
        return;
    }
    m_timer = m_context.timers.start(m_order.deadline + AbandonSlack, [self = shared_from_this()] {
        self->m_timer = 0;
        self->abandon(true);
    });
}

void openKeptConnection(node_context &context, const target_link_ptr &link, std::chrono::milliseconds timeout, std::function<void(bool isOpen)> done)
{
    ++link->connections;
    context.numbers.add("target_connections_opened_total");
    const auto connection = std::make_shared<target_connection>(context.io, link->target.address, ResponseLimits);
    const auto timer = std::make_shared<timer_queue::handle>(0);
    const auto finish = [link, connection, done = std::move(done)](bool isOpen) {
        if (isOpen && !link->isRemoved) {
            keepIdle(link, connection);
        } else {
            connection->close();
            --link->connections;
        }
        done(isOpen);
    };
    *timer = context.timers.start(steady::now() + timeout, [finish] { finish(false); });
    connection->open([&context, timer, finish](bool isOpen) {
        context.timers.stop(*timer);
        finish(isOpen);
    });
}

target_pool::target_pool(node_context &context)
    : m_context(context)
{
}

void target_pool::detach(const target_link_ptr &link)
{
    link->isRemoved = true;
    closeIdle(*link);
    auto &group = m_byService[link->target.service];
    std::erase(group, link);
    if (group.empty()) {
        m_byService.erase(link->target.service);
    }
}

void target_pool::closeIdle(target_link &link)
{
    for (const auto &connection : link.idle) {
        connection->close();
        --link.connections;
    }
    link.idle.clear();
}

void target_pool::update(const target_catalogue::record &known, bool hasRestarted)
{
    target_link_ptr &link = m_byId[known.target.id];
    if (link && hasRestarted) {
        m_context.crashes.onTargetDown(known.target.id, boot_clock::now());
        detach(link);
        link = nullptr;
    }
    if (!link) {
        link = std::make_shared<target_link>();
        m_byService[known.target.service].push_back(link);
    }
    link->target = known.target;
    link->isLapsed = known.lapsed;
    link->learnedAt = known.updatedAt;
    if (known.target.condition == target_condition::Draining) {
        closeIdle(*link);
    }
}

void target_pool::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    detach(found->second);
    m_byId.erase(found);
    m_context.crashes.forget(id);
}

void target_pool::setEvacuated(std::set<std::string> dataCentres)
{
    m_evacuated = std::move(dataCentres);
}

void target_pool::setLimits(std::shared_ptr<const routing_configuration> configuration, unsigned instances)
{
    m_configuration = std::move(configuration);
    m_instances = std::max(1U, instances);
}

bool target_pool::isUsable(const target_link &link) const
{
    return link.target.condition == target_condition::Ready && m_evacuated.count(link.target.dataCentre) == 0;
}

std::optional<steady::time_point> target_pool::firstAvailable(const std::string &service, steady::time_point now) const
{
    std::optional<steady::time_point> first;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return first;
    }
    for (const target_link_ptr &link : found->second) {
        if (isUsable(*link) && !m_context.reach.isSilent(link->target.dataCentre)) {
            const auto at = std::max(now, link->health.availableAt());
            first = first ? std::min(*first, at) : at;
        }
    }
    return first;
}

bool target_pool::hasAvailable(const std::string &service, steady::time_point now, steady::time_point before) const
{
    const auto first = firstAvailable(service, now);
    return first && (*first == now || *first < before);
}

steady::time_point target_pool::expectedAvailable(const std::string &service, steady::time_point now) const
{
    if (const auto first = firstAvailable(service, now)) {
        return *first;
    }
    return m_registrationsDue > now ? m_registrationsDue : now + WithoutTargets;
}

void target_pool::expectRegistrations(steady::time_point before)
{
    m_registrationsDue = before;
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

unsigned target_pool::connectionLimit(const target_link &link) const
{
    const service_settings *service = m_configuration ? m_configuration->findService(link.target.service) : nullptr;
    connection_demand demand;
    demand.connectionsOfTarget = service == nullptr ? 0 : service->maxConnections;
    demand.slots = link.target.slots;
    demand.senders = m_instances;
    demand.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - m_startedAt);
    return connectionShare(demand);
}

std::chrono::milliseconds target_pool::warmupLeft(const target_link &link, steady::time_point now) const
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - link.learnedAt);
    return std::max(std::chrono::milliseconds(0), link.target.warmupLeft - passed);
}

double target_pool::coldRate(const target_link &link, steady::time_point now) const
{
    if (!m_configuration || warmupLeft(link, now).count() == 0) {
        return 0;
    }
    const service_settings *service = m_configuration->findService(link.target.service);
    return service != nullptr ? service->warmupRequestsPerSecond : 0;
}

bool target_pool::isColdLimitReached(target_link &link, steady::time_point now) const
{
    const double rate = coldRate(link, now);
    if (rate <= 0) {
        return false;
    }
    return m_isCutOff || !isFirstSender(m_context.settings.instance, m_senders, link.target.id) || !link.coldBound.allows(rate, now);
}

void target_pool::setSenders(std::set<std::string> senders, bool isCutOff)
{
    m_isCutOff = isCutOff;
    m_senders = std::move(senders);
}

replica_view target_pool::view(target_link &link, steady::time_point now) const
{
    replica_view seen;
    seen.health = &link.health;
    seen.slots = link.target.slots;
    seen.isLocal = link.target.dataCentre == m_context.settings.dataCentre;
    seen.isLapsed = link.isLapsed;
    seen.isUnreachable = m_context.reach.isSilent(link.target.dataCentre);
    const bool mayOpen = link.connections == 0 || (link.connections < connectionLimit(link) && now >= link.noNewConnectionsUntil);
    seen.hasRoom = link.health.hasCapacity() && (!link.idle.empty() || mayOpen);
    seen.warmupLeft = warmupLeft(link, now);
    if (seen.hasRoom && isColdLimitReached(link, now)) {
        seen.hasRoom = false;
    }
    return seen;
}

std::vector<replica_view> target_pool::views(const std::vector<target_link_ptr> &links, const asked_targets &asked, steady::time_point now) const
{
    const auto holds = [](const std::vector<std::string> &ids, const std::string &id) { return std::find(ids.begin(), ids.end(), id) != ids.end(); };
    std::vector<replica_view> seen;
    seen.reserve(links.size());
    for (const target_link_ptr &link : links) {
        replica_view &added = seen.emplace_back(view(*link, now));
        added.isTried = holds(asked.tried, link->target.id);
        added.hasRefused = holds(asked.refused, link->target.id);
    }
    return seen;
}

target_attempt_ptr target_pool::send(const target_link_ptr &link, attempt_order order, target_attempt::handler done)
{
    if (coldRate(*link, steady::now()) > 0) {
        link->coldBound.onSent();
    }
    auto attempt = std::make_shared<target_attempt>(m_context, link, std::move(order), std::move(done));
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
