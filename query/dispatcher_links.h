#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamhook
{

/// Persistent frame connections of a front end to the dispatchers of all members, reopened with backoff after a loss. Not thread-safe.
/// The connections are opened before the first query, because the target reports that they deliver list the available snapshots.
class dispatcher_links
{
public:
    struct callbacks
    {
        std::function<void(const std::string &instance, const message &received)> onMessage;
        std::function<void(const std::string &instance)> onDisconnected; ///< Called once for each connection that was open.
    };

    /// Precondition: context and metrics outlive the links. The callbacks may be called until stop().
    dispatcher_links(boost::asio::io_context &context, hello identity, std::string bindAddress, frame_limits limits, counters &metrics, callbacks notify);
    ~dispatcher_links();
    dispatcher_links(const dispatcher_links &) = delete;
    dispatcher_links &operator=(const dispatcher_links &) = delete;

    /// Sets the members to connect to; closes the connections to other instances.
    void setMembers(const std::vector<member_entry> &members);

    /// Queues a message. Fails with Unreachable when there is no open connection; after an error no byte of the message was sent.
    result<void> send(const std::string &instance, const message &content);

    std::size_t openConnections() const;

    /// Closes all connections; no callback is called afterwards.
    void stop();

private:
    struct task;
    std::shared_ptr<task> m_task;
};

} // namespace balsamhook
