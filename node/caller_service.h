#pragma once

#include "node/caller_request.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace balsamhook
{

/// Accepts callers, finds the route of each request and runs it. Not thread-safe.
class caller_service
{
public:
    /// Precondition: context and pool outlive the service.
    caller_service(node_context &context, target_pool &pool);

    /// Listens on the address of the settings.
    result<void> listen();

    /// Adapts to the load; to be called a few times a second.
    void reviewLoad();

    /// The configuration for requests that arrive from now on.
    void setConfiguration(std::shared_ptr<const routing_configuration> configuration);

    /// Called for each request, so that an instance that isn't a sender learns that it is needed.
    void onNeeded(std::function<void()> handler);

    /// From now on each answer asks its caller to connect elsewhere.
    void startLeaving();

    /// Closes idle connections and accepts no new ones; requests under way are finished.
    void closeIdle();

    std::size_t requestsUnderWay() const;
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
    };

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void onRequest(const caller_connection::pointer &connection, http_message message);
    void onGone(const caller_connection::pointer &connection);
    bool refuseUnroutable(const caller_connection::pointer &connection, const http_message &message, const route *matched);
    arrived_request arrive(const http_message &message, const route &matched, route_statistics &statistics) const;
    bool refuseOverload(const caller_connection::pointer &connection, const arrived_request &request, const route_statistics &statistics);
    void run(const caller_connection::pointer &connection, arrived_request request, route_statistics &statistics);
    void answer(const caller_connection::pointer &connection, request_outcome outcome, const caller_response &response);
    void answerItself(const caller_connection::pointer &connection, const caller_response &response, std::string_view reason, std::string_view requestId);
    void logEnd(const running_request &ended, request_outcome outcome, unsigned status);
    route_statistics &statisticsOf(const route &matched);

    node_context &m_context;
    target_pool &m_pool;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<const routing_configuration> m_configuration;
    std::unordered_map<caller_connection *, caller_connection::pointer> m_connections;
    std::unordered_map<caller_connection *, running_request> m_running;
    std::unordered_map<std::string, route_statistics> m_statistics; ///< By name of the route.
    concurrency_limiter m_guard; ///< For queries to many shards.
    unsigned m_mostUrgentQuery = 0; ///< Smallest priority of the configuration's queries.
    std::function<void()> m_onNeeded;
    clock::time_point m_startedAt = clock::now();
    bool m_leaving = false;
};

} // namespace balsamhook
