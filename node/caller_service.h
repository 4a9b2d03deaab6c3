#pragma once

#include "node/caller_request.h"
#include "node/stop_plan.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamhook
{

/// Accepts connections of callers, finds the route of each request and runs it. Not thread-safe.
class caller_service
{
public:
    /// Precondition: context and pool outlive the service.
    caller_service(node_context &context, target_pool &pool);

    /// Listens on the address for callers from the settings.
    result<void> listen();

    /// Adapts the limit of concurrent queries to the targets' latency; to be called a few times per second.
    void updateConcurrencyLimit();

    /// Sets the configuration for requests that arrive from now on; requests in flight keep theirs. May be nullptr.
    void setConfiguration(std::shared_ptr<const routing_configuration> configuration);

    /// Sets the handler that is called for each request before it is routed; a standby instance then activates its catalogue. Precondition: called before
    /// the first request arrives.
    void setRequestListener(std::function<void()> handler);

    /// Closes connections after their next response, so that callers connect to another instance, and refuses requests that the plan doesn't admit.
    /// retryAfter returns when a refused caller finds another instance. Precondition: called at most once.
    void startLeaving(const stop_plan &plan, std::function<std::chrono::milliseconds()> retryAfter);

    /// Closes idle connections and stops accepting new ones; requests in flight are completed.
    void closeIdleConnections();

    /// Responds to all requests in flight at once. Precondition: startLeaving() was called.
    void endRequests();

    std::size_t requestsInFlight() const;
    std::size_t connections() const;

private:
    using clock = std::chrono::steady_clock;

    struct running_request
    {
        std::string id;
        std::string routeName;
        std::uint64_t configurationVersion = 0;
        bool isGather = false;
        clock::time_point arrivedAt;
        std::function<void()> cancel;
        std::function<void()> expire;
    };

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void onRequest(const caller_connection::pointer &connection, http_message message);
    void onDisconnected(const caller_connection::pointer &connection);
    bool refuseIfUnroutable(const caller_connection::pointer &connection, const http_message &message, const route *matched);
    incoming_request makeIncomingRequest(const http_message &message, const route &matched, route_statistics &statistics) const;
    bool refuseIfOverloaded(const caller_connection::pointer &connection, const incoming_request &request, const route_statistics &statistics);
    bool refuseIfLeaving(const caller_connection::pointer &connection, const incoming_request &request, const route_statistics &statistics);
    void run(const caller_connection::pointer &connection, incoming_request request, route_statistics &statistics);
    void respond(const caller_connection::pointer &connection, request_outcome outcome, caller_response response);
    void respondLocally(const caller_connection::pointer &connection, caller_response response, std::string_view reason, std::string_view requestId);
    void recordRejection(unsigned status);
    void recordEnd(const running_request &ended, request_outcome outcome, unsigned status);
    route_statistics &statisticsOf(const route &matched);

    node_context &m_context;
    target_pool &m_pool;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<const routing_configuration> m_configuration;
    std::unordered_map<caller_connection *, caller_connection::pointer> m_connections;
    std::unordered_map<caller_connection *, running_request> m_running;
    std::unordered_map<std::string, route_statistics> m_statistics; ///< Key: route name.
    concurrency_limiter m_queryLimiter; ///< Applies to gather routes only.
    unsigned m_minQueryPriority = 0; ///< Smallest priority value, the most urgent one, of the gather routes.
    std::function<void()> m_requestListener;
    clock::time_point m_startedAt = clock::now();
    std::optional<stop_plan> m_stopPlan; ///< Set once the instance is leaving.
    std::function<std::chrono::milliseconds()> m_leavingRetryAfter;
};

} // namespace balsamhook
