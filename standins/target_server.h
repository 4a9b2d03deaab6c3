#pragma once

#include "base/base.h"
#include "standins/command_ledger.h"
#include "standins/data_set.h"
#include "standins/site.h"
#include "standins/target_model.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace balsamhook
{

/// State shared by the targets of one service.
struct service_data
{
    data_set documents;
    command_ledger &ledger;
};

/// One stand-in target with its HTTP interface (section 4.2 of docs/design.md). Not thread-safe: all calls come from the thread of its io_context.
class target_server
{
public:
    /// Precondition: context and data outlive the server.
    target_server(boost::asio::io_context &context, site_target description, service_behaviour behaviour, service_data &data, data_snapshot first);
    ~target_server();
    target_server(const target_server &) = delete;
    target_server &operator=(const target_server &) = delete;

    /// Starts the first incarnation and listens. Unreachable when the address can't be bound.
    result<void> start();

    /// Resets all connections and refuses new ones for downTime, then starts a new incarnation in cold start.
    void restart(std::chrono::milliseconds downTime);

    /// Keeps the current connections open without ever responding on them. New connections work.
    void silenceOpenConnections();

    /// While set, all connections stay open and get no response. Connections with a request or a due response in this time stay silent
    /// afterwards.
    void setSilent(bool isSilent);

    /// Adds a snapshot and drops the oldest when there are more than two.
    void addSnapshot(data_snapshot next);

    target_model &model();
    const target_model &model() const;

    /// Returns the Unix time of the last accepted request. 0 when there was none.
    std::chrono::milliseconds lastNewWork() const;

    const site_target &description() const;

    /// Closes all connections and stops listening. The server can't be restarted afterwards.
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamhook
