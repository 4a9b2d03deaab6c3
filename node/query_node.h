#pragma once

#include "node/caller_service.h"
#include "node/catalogue_sync.h"
#include "node/peer_task.h"
#include "node/planned_stop.h"
#include "node/target_reachability.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace balsamhook
{

/// Command line options.
struct node_options
{
    std::uint16_t metricsPort = 0; ///< 0: metrics are served on the internal address only.
};

/// The process of one instance. Runs all its tasks on one thread.
class query_node
{
public:
    query_node(platform_settings settings, node_options options);
    ~query_node();

    /// Listens and runs until SIGTERM or SIGINT has been handled. Addresses that are in use are tried again for some seconds. Returns the exit code of the
    /// process: 1 if the addresses stayed in use.
    int run();

private:
    using clock = std::chrono::steady_clock;

    void onEvicted(shortage kind, std::size_t bytes);
    result<void> listen();
    void listenOnMetricsPort();
    void start();
    void onListening();
    boost::asio::awaitable<http_response> resolve(http_request request);
    boost::asio::awaitable<http_response> checkReadiness(http_request request);
    boost::asio::awaitable<http_response> serveInternal(http_request request);
    catalogue_sync::handlers catalogueHandlers();
    std::vector<limit_peer> limitPeers(clock::time_point now) const;
    std::vector<placement_candidate> placementCandidates() const;
    std::vector<endpoint> catalogueSources();
    bool isServing() const;
    void updateCatalogueActivity(clock::time_point now);
    instance_status localStatus() const;
    std::map<std::string, std::size_t> targetsOfDataCentre() const;
    void housekeeping();
    void waitForSignal();
    void reload(std::string_view reason);
    planned_stop::handlers stopHandlers();
    std::chrono::milliseconds retryAfterLeaving() const;
    void startLeaving();

    platform_settings m_settings;
    node_options m_options;
    boost::asio::io_context m_io{1};
    counters m_metrics;
    timer_queue m_timers;
    event_log m_log;
    node_context m_context;
    metadata_store m_store;
    target_pool m_pool;
    target_reachability m_reachability;
    caller_service m_callers;
    peer_task m_peers;
    catalogue_sync m_catalogue;
    planned_stop m_stop;
    http_server m_directoryServer;
    http_server m_readinessServer;
    http_server m_internalServer;
    http_server m_metricsServer;
    boost::asio::signal_set m_signals;
    std::shared_ptr<const routing_configuration> m_configuration;
    clock::time_point m_startedAt = clock::now();
    std::vector<std::function<result<void>()>> m_pendingListens; ///< Addresses that are not bound yet.
    bool m_isListening = false;
    int m_exitCode = 0;
    clock::time_point m_catalogueActiveUntil{}; ///< The catalogue stays active until then, also on a standby instance.
    clock::time_point m_settingsCheckedAt{};
};

} // namespace balsamhook
