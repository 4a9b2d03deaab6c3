#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/object_memory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <set>

namespace balsamhook
{

/// Faults that the stand-in platform shows, set by PUT /standin/faults.
struct platform_faults
{
    bool outage = false; ///< Every call is answered 503 at once; waiting watches too.
    std::chrono::milliseconds latency{0}; ///< Half of it passes before a call takes effect and half after.
    std::uint64_t loseAnswerEvery = 0; ///< The answer to each n-th write that took effect is lost; 0: none.
};

/// The HTTP interface of the stand-in platform, as in section 4.3 of docs/design.md. Not thread-safe.
class platform_service
{
public:
    /// Preconditions: context and numbers outlive the service, and the service outlives the requests under way.
    platform_service(boost::asio::io_context &context, counters &numbers, std::chrono::milliseconds instanceLag);

    /// Answers one request.
    boost::asio::awaitable<http_response> handle(http_request request);

    void setFaults(platform_faults faults);

    const object_memory &objects() const;

private:
    struct instance_list
    {
        boot_clock::time_point visibleAt;
        std::string json;
    };

    boost::asio::awaitable<http_response> call(http_request request);
    boost::asio::awaitable<http_response> watch(http_request request, std::string kind, std::string name);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    boost::asio::awaitable<http_response> finishWrite(http_response response);
    http_response read(const std::string &kind, const std::string &name) const;
    http_response write(const http_request &request, const std::string &kind, const std::string &name);
    http_response remove(const http_request &request, const std::string &kind, const std::string &name);
    http_response list(const std::string &kind) const;
    http_response instances();
    http_response control(const http_request &request);
    http_response putFaults(const std::string &body);
    http_response putInstances(const std::string &body);
    http_response faultsResponse() const;
    void count(std::string_view call, const std::string &kind);
    void wakeWatches();

    boost::asio::io_context &m_context;
    counters &m_counters;
    std::chrono::milliseconds m_instanceLag;
    platform_faults m_faults;
    object_memory m_objects;
    std::deque<instance_list> m_instanceLists; ///< Oldest first; the first one is visible.
    std::set<boost::asio::steady_timer *> m_watches;
    std::uint64_t m_effectiveWrites = 0;
};

} // namespace balsamhook
