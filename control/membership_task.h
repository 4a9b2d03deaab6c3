#pragma once

#include "control/control_core.h"

#include <boost/asio/ip/udp.hpp>

namespace balsamhook
{

/// Runs the membership logic: gossip over UDP, periodic ticks, and calls to the store. Precondition: core outlives the task.
class membership_task
{
public:
    explicit membership_task(control_core &core);

    /// Binds the gossip port; Unreachable when it can't be bound.
    result<void> start();

private:
    boost::asio::awaitable<void> receiveDatagrams();
    boost::asio::awaitable<void> tickPeriodically();
    boost::asio::awaitable<void> readObject(read_object call);
    boost::asio::awaitable<void> writeObject(write_object call);
    void performUrgentWork();
    void perform(const membership_action &action);
    void sendDatagram(const send_gossip &datagram);

    control_core &m_core;
    boost::asio::ip::udp::socket m_socket;
};

} // namespace balsamhook
