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

/// Frame connections of a front end to the dispatchers of all members, kept open and opened again after a loss. Not thread-safe.
/// Reports of the targets arrive on them, so that snapshots are known before the first query.
class dispatcher_links
{
public:
    struct callbacks
    {
        std::function<void(const std::string &instance, const message &received)> received;
        std::function<void(const std::string &instance)> lost; ///< Called once for each connection that was open.
    };

    /// Precondition: context and numbers outlive the links; the callbacks may be called until stop().
    dispatcher_links(boost::asio::io_context &context, hello identity, std::string bindAddress, frame_limits limits, counters &numbers, callbacks notify);
    ~dispatcher_links();
    dispatcher_links(const dispatcher_links &) = delete;
    dispatcher_links &operator=(const dispatcher_links &) = delete;

    /// Sets the members to be connected to; connections to others are closed.
    void setMembers(const std::vector<member_entry> &members);

    /// Queues a message. Unreachable when there is no open connection; after an error no byte of it was sent.
    result<void> send(const std::string &instance, const message &content);

    /// Number of open connections.
    std::size_t open() const;

    /// Closes all connections. No callback is called any more.
    void stop();

private:
    struct task;
    std::shared_ptr<task> m_task;
};

} // namespace balsamhook
