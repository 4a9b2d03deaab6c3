#pragma once

#include "control/configuration_task.h"
#include "control/control_core.h"
#include "control/local_programs.h"
#include "control/membership_task.h"
#include "control/operator_api.h"

namespace balsamhook
{

/// The tasks of one controller. Precondition: context outlives the controller, and no longer runs when the controller is destroyed.
class controller
{
public:
    controller(boost::asio::io_context &context, control_settings settings, std::unique_ptr<object_store> store = nullptr);

    /// Binds the ports and starts the tasks; Unreachable when a port can't be bound.
    result<void> start();

    /// Planned stop: leaves the member list, hands the targets over and stops the io_context. Stops after the stop timeout even when
    /// work is still in flight.
    boost::asio::awaitable<void> stopGracefully();

    control_core &core();

private:
    bool isHandoverComplete() const;

    control_core m_core;
    boot_clock::time_point m_serveUntil; ///< Earliest end of a planned stop while the front end is connected.
    configuration_task m_configuration;
    membership_task m_membership;
    local_programs m_programs;
    operator_api m_operatorApi;
};

} // namespace balsamhook
