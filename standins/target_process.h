#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/command_ledger.h"
#include "standins/site.h"
#include "standins/target_server.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// All targets of a site in one process, with an admin interface:
/// - PUT /standin/targets/{name}: "state" ("cold", "warm", "draining"), "delay_ms", "silent" (true, false or "open"), "restart" (true),
///   "down_ms" (with restart)
/// - PUT /standin/services/{name}: "index_version", "layout_epoch", "stagger_ms" (delay from one target to the next, in order)
/// - GET /standin/report, GET /standin/ledger?service=NAME
/// Not thread-safe: all calls come from the thread of its io_context.
class target_process
{
public:
    /// Preconditions: context and metrics outlive the process, and the context runs no handlers after the process is destroyed.
    target_process(boost::asio::io_context &context, site_description site, counters &metrics);

    /// Starts all targets and the admin server. Unreachable when an address can't be bound.
    result<void> start(const endpoint &admin);
    void stop();

    /// Returns the report as JSON text.
    std::string report() const;

    const command_ledger &ledger() const;

private:
    boost::asio::awaitable<http_response> respond(http_request request);
    http_response changeTarget(const std::string &name, const std::string &body);
    http_response changeService(const std::string &name, const std::string &body);
    void advanceSnapshot(const site_service &service, data_snapshot next, std::chrono::milliseconds stagger);

    boost::asio::io_context &m_context;
    site_description m_site;
    command_ledger m_ledger;
    std::map<std::string, std::unique_ptr<service_data>, std::less<>> m_data;
    std::map<std::string, data_snapshot, std::less<>> m_latestSnapshots;
    std::vector<std::unique_ptr<target_server>> m_targets;
    http_server m_admin;
};

} // namespace balsamhook
