#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace balsamhook
{

/// Connection of a front end or dispatcher to its local controller. Reconnects until stopped. While the controller is away, the last
/// control state and entitlement stay in use; the entitlement then runs out by itself. Not thread-safe.
class control_client
{
public:
    struct callbacks
    {
        std::function<void(const control_state &)> stateChanged; ///< Called only when the state differs from the last one.
        std::function<program_status()> status; ///< Asked every 500 ms and after each state.
    };

    /// Precondition: context and numbers outlive the client.
    control_client(boost::asio::io_context &context, endpoint controller, hello identity, counters &numbers, callbacks notify, frame_limits limits = {});
    ~control_client();

    void start();
    void stop();

    /// Sends the status now, for example when a target has been released.
    void reportStatus();

    /// True while this instance may send to targets. Reads the boot clock, so that a resumed process gets the true answer.
    bool isEntitled() const;

    /// True while the front end may take new work.
    bool mayAccept() const;

    /// The last state, or nullptr before the first one.
    const control_state *state() const;

private:
    struct task;
    std::shared_ptr<task> m_task;
};

} // namespace balsamhook
