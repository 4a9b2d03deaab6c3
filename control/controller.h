#pragma once

#include "control/configuration_task.h"
#include "control/control_core.h"
#include "control/local_programs.h"
#include "control/membership_task.h"
#include "control/operator_api.h"

namespace balsamhook
{

/// The tasks of one controller. Precondition: context outlives the controller, and doesn't run any more when it is destroyed.
class controller
{
public:
    controller(boost::asio::io_context &context, control_settings values, std::unique_ptr<object_store> store = nullptr);

    /// Binds the ports and starts the tasks; Unreachable when a port can't be bound.
    result<void> start();

    /// Leaves the member list, hands the targets over and stops the io_context; after the stop limit also when work is still in flight.
    boost::asio::awaitable<void> stopPlanned();

    control_core &core();

private:
    bool hasHandedOver() const;

    control_core m_core;
    boot_clock::time_point m_servesUntil; ///< In a planned stop.
    configuration_task m_configuration;
    membership_task m_membership;
    local_programs m_programs;
    operator_api m_operators;
};

} // namespace balsamhook
