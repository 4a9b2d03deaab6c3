#include "node/query_node.h"

#include <algorithm>
#include <unistd.h>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds HousekeepingInterval{100};
/// Housekeeping is more frequent during the startup period, so that a new process soon detects that it is a sender.
constexpr std::chrono::milliseconds StartupHousekeepingInterval{20};
constexpr std::chrono::milliseconds StartupPeriod{1000};
/// Callers may use an address for up to three times its time to live, so an instance that stops being a sender keeps its catalogue active for this long.
constexpr std::chrono::seconds CatalogueRetentionPeriod{20};
constexpr std::chrono::seconds UnusedCatalogueRetentionPeriod{1}; ///< While no callers are connected.
/// Limits how long callers that use the directory keep the address of an instance that is shutting down.
constexpr std::chrono::milliseconds MaxAddressTtl{1000};
/// Time that a registration takes to arrive here through the store.
constexpr std::chrono::milliseconds RegistrationMargin{300};
/// Retry-After of a leaving instance while others serve.
constexpr std::chrono::milliseconds OtherInstanceRetryAfter{30};
/// Retry-After of a leaving instance while no other serves: those that left before it are back by then.
constexpr std::chrono::milliseconds NoInstanceRetryAfter{1000};
/// An address may still be in use for a moment, by the connection of another process on the machine or by the process before this one.
constexpr std::chrono::seconds ListenTimeout{10};
constexpr std::chrono::milliseconds ListenRetryInterval{200};
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned NotFound = 404;

http_limits internalLimits()
{
    http_limits limits;
    limits.bodyBytes = 16 * 1024; // No request to these ports needs a body.
    limits.idleTimeout = std::chrono::seconds(20);
    return limits;
}

/// Returns what a peer that asks for a copy holds. Parameters that are missing or malformed are taken for none.
known_revisions knownRevisions(const http_request &request)
{
    const auto revision = [&request](std::string_view name) { return std::strtoull(std::string(request.parameter(name)).c_str(), nullptr, 10); };
    return {decodeStoreEra(request.parameter("era")), revision("configuration"), revision("targets"), revision("evacuations")};
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
                m_metrics,
                m_settings,
                retry_budget({m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow}, clock::now())}
    , m_store(m_settings.store, m_metrics, &m_context.storeResponses)
    , m_pool(m_context)
    , m_reachability(m_context, m_pool)
    , m_callers(m_context, m_pool)
    , m_peers(m_context, m_store)
    , m_catalogue(m_context, m_store, catalogueHandlers())
    , m_stop(m_context, m_callers, stopHandlers())
    , m_directoryServer(
          m_io, internalLimits(), m_metrics, [this](http_request request) { return resolve(std::move(request)); }, &m_context.connections)
    , m_readinessServer(
          m_io, internalLimits(), m_metrics, [this](http_request request) { return checkReadiness(std::move(request)); }, &m_context.connections)
    , m_internalServer(
          m_io, internalLimits(), m_metrics, [this](http_request request) { return serveInternal(std::move(request)); }, &m_context.connections)
    , m_metricsServer(
          m_io, internalLimits(), m_metrics, [this](http_request request) { return serveInternal(std::move(request)); }, &m_context.connections)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    m_context.connections.onEvicted([this](shortage kind, std::size_t bytes) { onEvicted(kind, bytes); });
    m_callers.setRequestListener([this] { m_catalogueActiveUntil = clock::now() + CatalogueRetentionPeriod; });
}

query_node::~query_node() = default;

void query_node::onEvicted(shortage kind, std::size_t bytes)
{
    m_metrics.add(std::string("connections_evicted_total{shortage=\"").append(nameOf(kind)).append("\"}"));
    m_log.write(event_class::Decision,
                event_line("connections", "evicted").add("shortage", nameOf(kind)).add("held_bytes", static_cast<std::uint64_t>(bytes)),
                clock::now());
}

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
    handlers.onTargetListRecovered = [this] { m_pool.expectRegistrations(clock::now() + m_settings.targetHeartbeat + RegistrationMargin); };
    handlers.onStoreRestored = [this] { m_peers.onStoreRestored(); };
    handlers.onEvacuations = [this](std::set<std::string> dataCentres) { m_pool.setEvacuated(std::move(dataCentres)); };
    handlers.peers = [this] { return catalogueSources(); };
    return handlers;
}

std::vector<endpoint> query_node::catalogueSources()
{
    constexpr std::size_t MaxPeers = 3;
    std::vector<endpoint> addresses;
    for (const peer_table::peer &peer : m_peers.peers().alive(clock::now())) {
        addresses.push_back({peer.status.address, m_settings.internal.port});
    }
    // Seeds serve as candidates too, for a start before any heartbeat has arrived.
    for (const std::string &seed : m_settings.seeds) {
        const bool isKnown = std::any_of(addresses.begin(), addresses.end(), [&](const endpoint &known) { return known.address == seed; });
        if (!isKnown && seed != m_settings.address) {
            addresses.push_back({seed, m_settings.internal.port});
        }
    }
    std::shuffle(addresses.begin(), addresses.end(), m_context.random);
    addresses.resize(std::min(addresses.size(), MaxPeers));
    return addresses;
}

bool query_node::isServing() const
{
    return m_catalogue.isReady() && !m_stop.hasStarted();
}

void query_node::updateCatalogueActivity(clock::time_point now)
{
    if (m_peers.isSender() && m_peers.isDiscoveryComplete()) {
        // Callers that have connected may connect again for as long as they keep the address.
        m_catalogueActiveUntil
            = std::max(m_catalogueActiveUntil, now + (m_callers.connections() > 0 ? CatalogueRetentionPeriod : UnusedCatalogueRetentionPeriod));
    }
    m_catalogue.setActive(now < m_catalogueActiveUntil);
}

instance_status query_node::localStatus() const
{
    instance_status status;
    status.isServing = isServing();
    status.isImpaired = m_reachability.isImpaired();
    if (!m_configuration || !m_catalogue.isReady()) {
        return status;
    }
    status.maxSenders = maxSendersFor(m_configuration->minConnectionLimit());
    const auto counts = m_pool.targetsOfDataCentre();
    for (const auto &[dataCentre, count] : counts) {
        status.targetDataCentres.push_back(dataCentre);
    }
    std::stable_sort(status.targetDataCentres.begin(), status.targetDataCentres.end(), [&counts](const std::string &left, const std::string &right) {
        return counts.at(left) > counts.at(right);
    });
    return status;
}

std::map<std::string, std::size_t> query_node::targetsOfDataCentre() const
{
    if (m_catalogue.isReady()) {
        return m_pool.targetsOfDataCentre();
    }
    // An instance without an active catalogue uses the data centres that its peers announce.
    std::map<std::string, std::size_t> counts;
    for (const peer_table::peer &peer : m_peers.peers().alive(clock::now())) {
        for (const std::string &dataCentre : peer.status.targetDataCentres) {
            counts[dataCentre] = 1;
        }
    }
    return counts;
}

std::vector<limit_peer> query_node::limitPeers(clock::time_point now) const
{
    std::vector<limit_peer> peers;
    for (const peer_table::peer &peer : m_peers.peers().alive(now)) {
        const peer_status &status = peer.status;
        // An instance that has ceased to be a sender may still have callers.
        const demand_filter demand = demand_filter::decode(status.limitDemand);
        if (m_peers.senders().count(status.instance) > 0 || !demand.isEmpty()) {
            peers.push_back({status.instance, demand});
        }
    }
    return peers;
}

std::vector<placement_candidate> query_node::placementCandidates() const
{
    std::vector<placement_candidate> candidates;
    if (isServing()) {
        candidates.push_back({m_settings.instance, m_settings.dataCentre, m_settings.callers, m_peers.isSender(), m_reachability.isImpaired(), true});
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
    placement_request placement;
    placement.callerDataCentre = std::string(request.parameter(ResolveDataCentre));
    placement.targetsOfDataCentre = targetsOfDataCentre();
    placement.localDataCentre = m_settings.dataCentre;
    // A standby instance may have an inactive catalogue, which doesn't call the store.
    placement.isStoreReachable = m_catalogue.isStoreReachable() || !m_peers.isSender();
    const std::vector<endpoint> addresses = placeCallers(placementCandidates(), placement);
    m_metrics.add("directory_requests_total");
    if (addresses.empty()) {
        co_return errorResponse(ServiceUnavailable, "no instance is ready");
    }
    co_return jsonResponse(200, encodeAddresses(addresses, std::min(MaxAddressTtl, m_settings.addressTtl)));
}

asio::awaitable<http_response> query_node::checkReadiness(http_request request)
{
    if (request.path != ReadyPath) {
        co_return errorResponse(NotFound, "unknown path");
    }
    co_return isServing() ? textResponse(200, "ready\n") : errorResponse(ServiceUnavailable, m_stop.hasStarted() ? "leaving" : "starting");
}

asio::awaitable<http_response> query_node::serveInternal(http_request request)
{
    if (request.path == "/metrics") {
        m_metrics.set("callers_connected", static_cast<std::int64_t>(m_callers.connections()));
        m_metrics.set("requests_under_way", static_cast<std::int64_t>(m_callers.requestsInFlight()));
        m_metrics.set("targets_known", static_cast<std::int64_t>(m_pool.size()));
        m_metrics.set("configuration_version", m_configuration ? static_cast<std::int64_t>(m_configuration->version()) : 0);
        m_metrics.set("senders", static_cast<std::int64_t>(m_peers.senders().size()));
        m_metrics.set("is_sender", m_peers.isSender() ? 1 : 0);
        m_metrics.set("peers_alive", static_cast<std::int64_t>(m_peers.peers().alive(clock::now()).size()));
        m_metrics.set("store_reached", m_catalogue.isStoreReachable() ? 1 : 0);
        m_metrics.set("store_era", static_cast<std::int64_t>(m_catalogue.era().value_or(0)));
        m_metrics.set("response_bytes", static_cast<std::int64_t>(m_context.responses.used()));
        m_metrics.set("connection_bytes", static_cast<std::int64_t>(m_context.connections.bytes()));
        m_metrics.set("connections", static_cast<std::int64_t>(m_context.connections.connections()));
        m_metrics.set("log_lines_dropped", static_cast<std::int64_t>(m_log.dropped()));
        co_return textResponse(200, m_metrics.text());
    }
    if (request.path == "/internal/catalogue") {
        const auto held = m_catalogue.snapshot(knownRevisions(request));
        co_return held ? jsonResponse(200, encodeSnapshot(*held)) : errorResponse(ServiceUnavailable, "no current catalogue");
    }
    co_return errorResponse(NotFound, "unknown path");
}

result<void> query_node::listen()
{
    while (!m_pendingListens.empty()) {
        BOOST_OUTCOME_TRY(m_pendingListens.back()());
        m_pendingListens.pop_back();
    }
    return success();
}

void query_node::listenOnMetricsPort()
{
    if (m_options.metricsPort == 0) {
        return;
    }
    const auto bound = m_metricsServer.listen({m_settings.address, m_options.metricsPort});
    if (!bound) {
        // The internal address serves the same metrics, so the instance can run without this port.
        m_log.write(event_class::StateChange, event_line("node", "metrics_unavailable").add("reason", describe(bound.error())), clock::now());
    }
}

int query_node::run()
{
    // Callers are accepted last, when everything else is in place.
    m_pendingListens = {[this] { return m_callers.listen(); },
                        [this] { return m_peers.start(); },
                        [this] { return m_internalServer.listen(m_settings.internal); },
                        [this] { return m_readinessServer.listen(m_settings.readiness); },
                        [this] { return m_directoryServer.listen(m_settings.directory); }};
    waitForSignal();
    start();
    m_io.run();
    m_log.flush();
    return m_exitCode;
}

void query_node::start()
{
    const auto now = clock::now();
    const auto listening = listen();
    if (listening) {
        onListening();
        return;
    }
    const bool isFinal = now - m_startedAt > ListenTimeout;
    m_log.write(event_class::StateChange, event_line("node", isFinal ? "start_failed" : "start_delayed").add("reason", describe(listening.error())), now);
    m_log.flush();
    if (isFinal) {
        m_exitCode = 1;
        m_io.stop();
        return;
    }
    m_timers.start(now + ListenRetryInterval, [this] { start(); });
}

void query_node::onListening()
{
    m_isListening = true;
    listenOnMetricsPort();
    m_log.write(event_class::StateChange,
                event_line("node", "start")
                    .add("data_centre", m_settings.dataCentre)
                    .add("callers", describe(m_settings.callers))
                    .add("store", describe(m_settings.store))
                    .add("processor_share", m_settings.processorShare),
                clock::now());
    m_catalogue.start();
    housekeeping();
}

void query_node::housekeeping()
{
    const auto now = clock::now();
    updateCatalogueActivity(now);
    const unsigned recentSenders = m_peers.recentSenders();
    m_context.budget.setInstances(recentSenders);
    m_pool.setLimits(m_configuration, recentSenders);
    // Without the store, an instance that has lost contact to half of the recent senders may be on the smaller side of a network partition.
    const bool isPartitioned = !m_catalogue.isStoreReachable() && m_peers.senders().size() * 2 <= recentSenders;
    m_pool.setSenders(m_peers.senders(), isPartitioned && recentSenders > 1);
    m_context.limits.update(limitPeers(now), now);
    m_callers.updateConcurrencyLimit();
    m_reachability.update(m_configuration.get(), now);
    m_peers.setStatus(localStatus());
    constexpr std::chrono::seconds SettingsInterval{1};
    if (now - m_settingsCheckedAt > SettingsInterval) {
        m_settingsCheckedAt = now;
        reload("file");
    }
    m_log.flush();
    m_timers.start(now + (now - m_startedAt < StartupPeriod ? StartupHousekeepingInterval : HousekeepingInterval), [this] { housekeeping(); });
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
        m_log.write(event_class::StateChange, event_line("node", "reload_failed").add("reason", describe(read.error())).add("trigger", reason), clock::now());
        return;
    }
    // Only the settings below can change at run time; listening addresses, for example, are bound at the start.
    const platform_settings &loaded = read.value();
    platform_settings changed = m_settings;
    changed.seeds = loaded.seeds;
    changed.retrySlack = loaded.retrySlack;
    changed.retryRatio = loaded.retryRatio;
    changed.stopGrace = loaded.stopGrace;
    changed.addressTtl = loaded.addressTtl;
    changed.descriptors = loaded.descriptors;
    const bool isUnchanged = changed == m_settings;
    if (isUnchanged && reason != "signal") {
        return;
    }
    m_settings = std::move(changed);
    m_context.connections.setLimits(connectionLimits(m_settings));
    m_context.budget.setLimits({m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow});
    m_log.write(event_class::StateChange, event_line("node", "reload").add("trigger", reason).add("changed", !isUnchanged), clock::now());
}

planned_stop::handlers query_node::stopHandlers()
{
    planned_stop::handlers handlers;
    handlers.retryAfter = [this] { return retryAfterLeaving(); };
    handlers.onFinished = [this] { m_io.stop(); };
    return handlers;
}

std::chrono::milliseconds query_node::retryAfterLeaving() const
{
    return placementCandidates().empty() ? NoInstanceRetryAfter : OtherInstanceRetryAfter;
}

void query_node::startLeaving()
{
    if (!m_isListening) {
        m_log.write(event_class::StateChange, event_line("node", "exit").add("reason", "stopped before it listened"), clock::now());
        m_io.stop();
        return;
    }
    m_stop.start(m_settings.stopGrace);
    m_peers.setStatus(localStatus());
    m_log.flush();
}

} // namespace balsamhook
