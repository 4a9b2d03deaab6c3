#pragma once

#include "base/base.h"
#include "standins/credit_ledger.h"
#include "standins/data_set.h"
#include "standins/site.h"
#include "standins/target_model.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace balsamhook
{

/// What the targets of one service share: the data generator and the ledger of commands.
struct service_data
{
    data_set documents;
    credit_ledger &ledger;
};

/// One stand-in target with its HTTP interface (section 4.2 of docs/design.md). Not thread-safe: all calls come from the thread of its io_context.
class target_server
{
public:
    /// Precondition: context and data outlive the server.
    target_server(boost::asio::io_context &context, site_target shape, service_behaviour behaviour, service_data &data, data_snapshot first);
    ~target_server();
    target_server(const target_server &) = delete;
    target_server &operator=(const target_server &) = delete;

    /// Begins the first incarnation and listens; Unreachable when the address can't be bound.
    result<void> start();

    /// Closes all connections, refuses new ones for the time, then returns with a new incarnation, cold.
    void restart(std::chrono::milliseconds downTime);

    /// Holds the connections that are open now without ever answering on them; new ones work.
    void silenceOpenConnections();

    /// While on, all connections are held without an answer.
    void setSilent(bool silent);

    /// Holds a further snapshot; the oldest is dropped when there are more than two.
    void addSnapshot(data_snapshot next);

    target_model &model();
    const target_model &model() const;

    /// Unix time of the last request that was taken; 0 when there was none.
    std::chrono::milliseconds lastNewWork() const;

    const site_target &shape() const;

    /// Closes everything for good.
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamhook
