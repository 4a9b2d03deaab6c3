#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace balsamhook
{

/// Connection of a front end or dispatcher to its local controller. Reconnects until stopped. While the controller is unreachable, the last
/// control state and entitlement stay in use until the entitlement expires. Not thread-safe.
class control_client
{
public:
    struct callbacks
    {
        std::function<void(const control_state &)> stateChanged; ///< Called when a state differs from the last one and its configuration isn't older.
        std::function<program_status()> status; ///< Called every 500 ms while connected, after connecting, after each new state, and by reportStatus().
    };

    /// Precondition: context and metrics outlive the client.
    control_client(boost::asio::io_context &context, endpoint controller, hello identity, counters &metrics, callbacks handlers, frame_limits limits = {});
    ~control_client();

    void start();
    void stop();

    /// Sends the status immediately, for example after a target was released. Has no effect while disconnected.
    void reportStatus();

    /// True while this instance may send to targets. Reads the boot clock at each call, so that the result is correct after a pause of the process.
    bool isEntitled() const;

    /// True while the front end may accept new work.
    bool mayAccept() const;

    /// The last state; nullptr before the first one.
    const control_state *state() const;

private:
    struct task;
    std::shared_ptr<task> m_task;
};

} // namespace balsamhook
