#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/memory_object_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <set>

namespace balsamhook
{

/// Faults injected into the stand-in platform by PUT /standin/faults.
struct platform_faults
{
    bool outage = false; ///< Every request, pending watches included, gets status 503 immediately.
    std::chrono::milliseconds latency{0}; ///< Added to every request: one half before it takes effect, the other half after.
    std::uint64_t loseResponseEvery = 0; ///< The response to every n-th successful write is lost. 0: none.
};

/// HTTP interface of the stand-in platform (section 4.3 of docs/design.md). Not thread-safe.
class platform_service
{
public:
    /// Changes to the list of instances become visible after instanceLag.
    /// Preconditions: context and metrics outlive the service, and the service outlives the requests in flight.
    platform_service(boost::asio::io_context &context, counters &metrics, std::chrono::milliseconds instanceLag);

    /// Handles one request and returns its response.
    boost::asio::awaitable<http_response> handle(http_request request);

    void setFaults(platform_faults faults);

    const memory_object_store &objects() const;

private:
    struct instance_list
    {
        boot_clock::time_point visibleAt;
        std::string json;
    };

    boost::asio::awaitable<http_response> routeCall(http_request request);
    boost::asio::awaitable<http_response> watch(http_request request, std::string kind, std::string name);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);
    boost::asio::awaitable<http_response> finishWrite(http_response response);
    http_response read(const std::string &kind, const std::string &name) const;
    http_response write(const http_request &request, const std::string &kind, const std::string &name);
    http_response remove(const http_request &request, const std::string &kind, const std::string &name);
    http_response list(const std::string &kind) const;
    http_response instances();
    http_response handleAdmin(const http_request &request);
    http_response putFaults(const std::string &body);
    http_response putInstances(const std::string &body);
    http_response faultsResponse() const;
    void count(std::string_view call, const std::string &kind);
    void wakeWatches();

    boost::asio::io_context &m_context;
    counters &m_metrics;
    std::chrono::milliseconds m_instanceLag;
    platform_faults m_faults;
    memory_object_store m_objects;
    std::deque<instance_list> m_instanceLists; ///< Oldest first. The first one is visible, the others wait for their visibleAt.
    std::set<boost::asio::steady_timer *> m_watches;
    std::uint64_t m_appliedWrites = 0;
};

} // namespace balsamhook
