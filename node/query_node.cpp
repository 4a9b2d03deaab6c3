#include "node/query_node.h"

#include <algorithm>
#include <unistd.h>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds HousekeepingInterval{100};
/// A process that has just started finds out sooner what it is needed for.
constexpr std::chrono::milliseconds StartInterval{20};
constexpr std::chrono::milliseconds StartTime{1000};
/// Callers may use an address for up to three times as long as the directory allows, so an instance that is no longer a sender keeps its catalogue.
constexpr std::chrono::seconds NeededTime{20};
constexpr std::chrono::seconds UnusedTime{1};
/// Callers that ask the directory learn of an instance that leaves after at most this time.
constexpr std::chrono::milliseconds AddressTimeToLive{1000};
/// An instance that leaves closes idle connections this long before it is killed.
constexpr std::chrono::milliseconds CloseBeforeKill{1600};
constexpr std::chrono::milliseconds ExitBeforeKill{400};
/// Time that a registration takes to reach this instance.
constexpr std::chrono::milliseconds RegistrationMargin{300};
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned NotFound = 404;

http_limits internalLimits()
{
    http_limits limits;
    limits.connections = 512;
    limits.idleTimeout = std::chrono::seconds(20);
    return limits;
}

} // namespace

query_node::query_node(platform_settings settings, node_options options)
    : m_settings(std::move(settings))
    , m_options(options)
    , m_timers(m_io)
    , m_log(STDOUT_FILENO, m_settings.instance)
    , m_context{m_io,
                m_timers,
                m_log,
                m_numbers,
                m_settings,
                retry_budget({m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow}, clock::now())}
    , m_store(m_settings.store, m_numbers)
    , m_pool(m_context)
    , m_reach(m_context, m_pool)
    , m_callers(m_context, m_pool)
    , m_peers(m_context, m_store)
    , m_catalogue(m_context, m_store, catalogueHandlers())
    , m_directory(m_io, internalLimits(), m_numbers, [this](http_request request) { return resolve(std::move(request)); })
    , m_readiness(m_io, internalLimits(), m_numbers, [this](http_request request) { return checkReadiness(std::move(request)); })
    , m_internal(m_io, internalLimits(), m_numbers, [this](http_request request) { return serveInternal(std::move(request)); })
    , m_metrics(m_io, internalLimits(), m_numbers, [this](http_request request) { return serveInternal(std::move(request)); })
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    m_callers.onNeeded([this] { m_neededUntil = clock::now() + NeededTime; });
}

query_node::~query_node() = default;

catalogue_sync::handlers query_node::catalogueHandlers()
{
    catalogue_sync::handlers handlers;
    handlers.onConfiguration = [this](std::shared_ptr<const routing_configuration> configuration) {
        m_configuration = std::move(configuration);
        m_callers.setConfiguration(m_configuration);
        m_pool.setLimits(m_configuration, m_peers.recentSenders());
    };
    handlers.onTarget = [this](const target_catalogue::record &known, bool hasRestarted) { m_pool.update(known, hasRestarted); };
    handlers.onTargetRemoved = [this](const std::string &id) { m_pool.remove(id); };
    handlers.onTargetsRegained = [this] { m_pool.expectRegistrations(clock::now() + m_settings.targetHeartbeat + RegistrationMargin); };
    handlers.onEvacuations = [this](std::set<std::string> dataCentres) { m_pool.setEvacuated(std::move(dataCentres)); };
    handlers.peers = [this] { return peersToAsk(); };
    return handlers;
}

std::vector<endpoint> query_node::peersToAsk()
{
    constexpr std::size_t MostPeers = 3;
    std::vector<endpoint> addresses;
    for (const peer_table::peer &peer : m_peers.peers().alive(clock::now())) {
        addresses.push_back({peer.status.address, m_settings.internal.port});
    }
    // Peers seen by UDP first; seeds when none has been heard yet.
    for (const std::string &seed : m_settings.seeds) {
        const bool isKnown = std::any_of(addresses.begin(), addresses.end(), [&](const endpoint &known) { return known.address == seed; });
        if (!isKnown && seed != m_settings.address) {
            addresses.push_back({seed, m_settings.internal.port});
        }
    }
    std::shuffle(addresses.begin(), addresses.end(), m_context.random);
    addresses.resize(std::min(addresses.size(), MostPeers));
    return addresses;
}

bool query_node::isServing() const
{
    return m_catalogue.isReady() && !m_isLeaving;
}

void query_node::updateNeed(clock::time_point now)
{
    if (m_peers.isSender() && m_peers.isSettled()) {
        // Once callers came, they may come again for as long as they keep the address.
        m_neededUntil = std::max(m_neededUntil, now + (m_callers.connections() > 0 ? NeededTime : UnusedTime));
    }
    m_catalogue.setNeeded(now < m_neededUntil);
}

own_status query_node::ownStatus() const
{
    own_status status;
    status.isServing = isServing();
    status.isImpaired = m_reach.isImpaired();
    if (!m_configuration || !m_catalogue.isReady()) {
        return status;
    }
    status.mostSenders = sendersFor(m_configuration->fewestConnections());
    for (const auto &[dataCentre, count] : m_pool.targetsOfDataCentre()) {
        status.targetDataCentres.push_back(dataCentre);
    }
    return status;
}

std::map<std::string, std::size_t> query_node::targetsOfDataCentre() const
{
    if (m_catalogue.isReady()) {
        return m_pool.targetsOfDataCentre();
    }
    // An instance that follows no catalogue goes by what the senders say.
    std::map<std::string, std::size_t> counts;
    for (const peer_table::peer &peer : m_peers.peers().alive(clock::now())) {
        for (const std::string &dataCentre : peer.status.targetDataCentres) {
            counts[dataCentre] = 1;
        }
    }
    return counts;
}

std::vector<placement_candidate> query_node::placementCandidates() const
{
    std::vector<placement_candidate> candidates;
    if (isServing()) {
        candidates.push_back({m_settings.instance, m_settings.dataCentre, m_settings.callers, m_peers.isSender(), m_reach.isImpaired(), true});
    }
    const auto now = clock::now();
    const std::set<std::string> &senders = m_peers.senders();
    for (const peer_table::peer &peer : m_peers.peers().recent(now)) {
        const peer_status &status = peer.status;
        if (status.isServing) {
            candidates.push_back({status.instance,
                                  status.dataCentre,
                                  status.callers,
                                  senders.count(status.instance) > 0,
                                  status.isImpaired,
                                  m_peers.peers().isAlive(status.instance, now)});
        }
    }
    return candidates;
}

asio::awaitable<http_response> query_node::resolve(http_request request)
{
    if (request.path != ResolvePath) {
        co_return errorResponse(NotFound, "unknown path");
    }
    placement_request wanted;
    wanted.callerDataCentre = std::string(request.parameter(ResolveDataCentre));
    wanted.targetsOfDataCentre = targetsOfDataCentre();
    wanted.ownDataCentre = m_settings.dataCentre;
    wanted.isStoreReached = m_catalogue.isStoreReached() || !m_peers.isSender();
    const std::vector<endpoint> addresses = placeCallers(placementCandidates(), wanted);
    m_numbers.add("directory_requests_total");
    if (addresses.empty()) {
        co_return errorResponse(ServiceUnavailable, "no instance is ready");
    }
    co_return jsonResponse(200, encodeAddresses(addresses, std::min(AddressTimeToLive, m_settings.addressTtl)));
}

asio::awaitable<http_response> query_node::checkReadiness(http_request request)
{
    if (request.path != ReadyPath) {
        co_return errorResponse(NotFound, "unknown path");
    }
    co_return isServing() ? textResponse(200, "ready\n") : errorResponse(ServiceUnavailable, m_isLeaving ? "leaving" : "starting");
}

asio::awaitable<http_response> query_node::serveInternal(http_request request)
{
    if (request.path == "/metrics") {
        m_numbers.set("callers_connected", static_cast<std::int64_t>(m_callers.connections()));
        m_numbers.set("requests_under_way", static_cast<std::int64_t>(m_callers.requestsUnderWay()));
        m_numbers.set("targets_known", static_cast<std::int64_t>(m_pool.size()));
        m_numbers.set("configuration_version", m_configuration ? static_cast<std::int64_t>(m_configuration->version()) : 0);
        m_numbers.set("senders", static_cast<std::int64_t>(m_peers.senders().size()));
        m_numbers.set("is_sender", m_peers.isSender() ? 1 : 0);
        m_numbers.set("peers_alive", static_cast<std::int64_t>(m_peers.peers().alive(clock::now()).size()));
        m_numbers.set("store_reached", m_catalogue.isStoreReached() ? 1 : 0);
        m_numbers.set("log_lines_dropped", static_cast<std::int64_t>(m_log.dropped()));
        co_return textResponse(200, m_numbers.text());
    }
    if (request.path == "/internal/catalogue") {
        const std::string body = m_catalogue.snapshot(std::strtoull(std::string(request.parameter("version")).c_str(), nullptr, 10));
        co_return body.empty() ? errorResponse(ServiceUnavailable, "no current catalogue") : jsonResponse(200, body);
    }
    co_return errorResponse(NotFound, "unknown path");
}

result<void> query_node::listen()
{
    BOOST_OUTCOME_TRY(m_callers.listen());
    BOOST_OUTCOME_TRY(m_directory.listen(m_settings.directory));
    BOOST_OUTCOME_TRY(m_readiness.listen(m_settings.readiness));
    BOOST_OUTCOME_TRY(m_internal.listen(m_settings.internal));
    if (m_options.metricsPort != 0) {
        const auto bound = m_metrics.listen({m_settings.address, m_options.metricsPort});
        if (!bound) {
            // The same numbers are served on the internal address, so this is no reason not to serve callers.
            m_log.write(event_class::StateChange, event_line("node", "metrics_unavailable").add("why", describe(bound.error())), clock::now());
        }
    }
    return m_peers.start();
}

int query_node::run()
{
    const auto listening = listen();
    if (!listening) {
        m_log.write(event_class::StateChange, event_line("node", "start_failed").add("why", describe(listening.error())), clock::now());
        m_log.flush();
        return 1;
    }
    m_log.write(event_class::StateChange,
                event_line("node", "start")
                    .add("data_centre", m_settings.dataCentre)
                    .add("callers", describe(m_settings.callers))
                    .add("store", describe(m_settings.store))
                    .add("processor_share", m_settings.processorShare),
                clock::now());
    m_catalogue.start();
    housekeeping();
    waitForSignal();
    m_io.run();
    m_log.flush();
    return 0;
}

void query_node::housekeeping()
{
    const auto now = clock::now();
    updateNeed(now);
    const unsigned senders = m_peers.recentSenders();
    m_context.budget.setInstances(senders);
    m_pool.setLimits(m_configuration, senders);
    const bool isCutOff = !m_catalogue.isStoreReached() && m_peers.senders().size() * 2 <= senders;
    m_pool.setSenders(m_peers.senders(), isCutOff && senders > 1);
    m_callers.reviewLoad();
    m_reach.review(m_configuration.get(), now);
    m_peers.setStatus(ownStatus());
    constexpr std::chrono::seconds SettingsInterval{1};
    if (now - m_settingsCheckedAt > SettingsInterval) {
        m_settingsCheckedAt = now;
        reload("file");
    }
    if (m_isLeaving) {
        checkLeaving();
    }
    m_log.flush();
    m_timers.start(now + (now - m_startedAt < StartTime ? StartInterval : HousekeepingInterval), [this] { housekeeping(); });
}

void query_node::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &failed, int signal) {
        if (failed) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else {
            startLeaving();
        }
        waitForSignal();
    });
}

void query_node::reload(std::string_view reason)
{
    const auto read = readPlatformSettings();
    if (!read) {
        m_log.write(event_class::StateChange, event_line("node", "reload_failed").add("why", describe(read.error())).add("reason", reason), clock::now());
        return;
    }
    // Addresses are bound at the start; only what can change while the process runs is taken over.
    const platform_settings &fresh = read.value();
    platform_settings changed = m_settings;
    changed.seeds = fresh.seeds;
    changed.retrySlack = fresh.retrySlack;
    changed.retryRatio = fresh.retryRatio;
    changed.stopGrace = fresh.stopGrace;
    changed.addressTtl = fresh.addressTtl;
    changed.descriptors = fresh.descriptors;
    const bool isSame = changed == m_settings;
    if (isSame && reason != "signal") {
        return;
    }
    m_settings = std::move(changed);
    m_context.budget.setLimits({m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow});
    m_log.write(event_class::StateChange, event_line("node", "reload").add("reason", reason).add("changed", !isSame), clock::now());
}

void query_node::startLeaving()
{
    if (m_isLeaving) {
        return;
    }
    m_isLeaving = true;
    m_leavingSince = clock::now();
    m_log.write(
        event_class::StateChange, event_line("node", "stop").add("under_way", static_cast<std::uint64_t>(m_callers.requestsUnderWay())), m_leavingSince);
    m_callers.startLeaving();
    m_peers.setStatus(ownStatus());
    m_log.flush();
}

void query_node::checkLeaving()
{
    const auto passed = clock::now() - m_leavingSince;
    if (passed < m_settings.stopGrace - CloseBeforeKill) {
        return;
    }
    m_callers.closeIdle();
    const bool isQuiet = m_callers.requestsUnderWay() == 0 && m_callers.connections() == 0;
    if (isQuiet || passed >= m_settings.stopGrace - ExitBeforeKill) {
        m_log.write(
            event_class::StateChange, event_line("node", "exit").add("under_way", static_cast<std::uint64_t>(m_callers.requestsUnderWay())), clock::now());
        m_io.stop();
    }
}

} // namespace balsamhook
