#pragma once

#include "control/control_core.h"

#include <set>

namespace balsamhook
{

/// Serves the control port: the local front end and dispatcher, and other controllers that fetch sections or the member list.
/// Precondition: core outlives the object.
class local_programs
{
public:
    explicit local_programs(control_core &core);

    /// Unreachable when the port can't be bound.
    result<void> start();

    /// True when no local program has work in flight or active targets. Programs that are disconnected and not entitled don't count.
    bool isIdle() const;

    /// True while the local front end is connected.
    bool isFrontConnected() const;

private:
    boost::asio::awaitable<void> serve(frame_connection::pointer connection);
    boost::asio::awaitable<void> serveProgram(frame_connection::pointer connection, hello identity);
    boost::asio::awaitable<void> serveController(frame_connection::pointer connection);
    boost::asio::awaitable<void> pushPeriodically(frame_connection::pointer connection, program_role role);
    void recordStatus(const program_status &status, program_role role);
    control_state currentState() const;
    entitlement currentEntitlement(const control_core::local_program &program, program_role role) const;
    sections sectionsFor(const fetch_sections &request) const;

    control_core &m_core;
    frame_server m_server;
    std::map<program_role, frame_connection::pointer> m_connections; ///< The newest connection of each role.
};

} // namespace balsamhook
