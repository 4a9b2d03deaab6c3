#include "control/membership_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr std::size_t MaxDatagramBytes = 65507;
/// Shorter than the heartbeat interval, so that a heartbeat is late by at most one tick.
constexpr std::chrono::milliseconds TickInterval{50};
constexpr std::chrono::milliseconds RetryDelay{50};

} // namespace

membership_task::membership_task(control_core &core)
    : m_core(core)
    , m_socket(core.context)
{
}

result<void> membership_task::start()
{
    const endpoint local = m_core.settings.instance.listenEndpoint(m_core.settings.instance.gossipPort);
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(local.address, failed);
    if (!failed) {
        m_socket.open(address.is_v6() ? udp::v6() : udp::v4(), failed);
    }
    if (!failed) {
        m_socket.bind({address, local.port}, failed);
    }
    if (!failed) {
        m_socket.non_blocking(true, failed);
    }
    if (failed) {
        return failure(error_code::Unreachable, error_step::Listen, describe(local), failed.message());
    }
    asio::co_spawn(m_core.context, receiveDatagrams(), asio::detached);
    asio::co_spawn(m_core.context, tickPeriodically(), asio::detached);
    return success();
}

asio::awaitable<void> membership_task::receiveDatagrams()
{
    std::string buffer(MaxDatagramBytes, '\0');
    while (true) {
        udp::endpoint from;
        boost::system::error_code failed;
        const std::size_t length = co_await m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            asio::steady_timer retryTimer(m_core.context, RetryDelay);
            co_await retryTimer.async_wait(asio::use_awaitable);
            continue;
        }
        const auto decoded = decodeMessage(std::string_view(buffer).substr(0, length));
        const gossip *datagram = decoded ? std::get_if<gossip>(&decoded.value()) : nullptr;
        if (datagram == nullptr) {
            m_core.metrics.add("gossip_malformed_total");
            continue;
        }
        m_core.metrics.add("gossip_received_total");
        m_core.metrics.add("gossip_received_bytes_total", static_cast<std::int64_t>(length));
        m_core.node.receive(*datagram, boot_clock::now());
    }
}

asio::awaitable<void> membership_task::tickPeriodically()
{
    asio::steady_timer timer(m_core.context);
    while (true) {
        m_core.updateFreshness();
        m_core.updateApplied();
        for (const membership_action &action : m_core.node.tick(boot_clock::now())) {
            perform(action);
        }
        performUrgentWork();
        m_core.metrics.set("member_list_version", static_cast<std::int64_t>(m_core.node.list().version));
        m_core.metrics.set("configuration_revision", static_cast<std::int64_t>(m_core.configuration.revision()));
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void membership_task::performUrgentWork()
{
    for (const membership_action &action : m_core.node.runUrgentWork(boot_clock::now())) {
        perform(action);
    }
}

void membership_task::perform(const membership_action &action)
{
    if (const auto *datagram = std::get_if<send_gossip>(&action)) {
        sendDatagram(*datagram);
    } else if (const auto *read = std::get_if<read_object>(&action)) {
        asio::co_spawn(m_core.context, readObject(*read), asio::detached);
    } else if (const auto *write = std::get_if<write_object>(&action)) {
        asio::co_spawn(m_core.context, writeObject(*write), asio::detached);
    }
}

void membership_task::sendDatagram(const send_gossip &datagram)
{
    const auto peer = parseEndpoint(datagram.peerEndpoint);
    if (!peer) {
        m_core.metrics.add("gossip_send_failures_total");
        return;
    }
    const std::string encoded = encodeMessage(datagram.content);
    boost::system::error_code failed;
    const udp::endpoint to(asio::ip::make_address(peer.value().address, failed), peer.value().port);
    if (!failed) {
        m_socket.send_to(asio::buffer(encoded), to, 0, failed);
    }
    m_core.metrics.add(failed ? "gossip_send_failures_total" : "gossip_sent_total");
    m_core.metrics.add("gossip_sent_bytes_total", static_cast<std::int64_t>(encoded.size()));
}

asio::awaitable<void> membership_task::readObject(read_object call)
{
    const auto read = co_await m_core.store->read(call.kind, call.name);
    if (read) {
        m_core.node.onObjectRead(call.kind, call.name, read.value(), boot_clock::now());
    } else if (read.error().code == error_code::NotFound) {
        m_core.node.onObjectRead(call.kind, call.name, std::nullopt, boot_clock::now());
    } else {
        m_core.metrics.add("membership_store_failures_total");
        m_core.node.onStoreFailed(call.kind, call.name);
    }
    m_core.updateMembership();
    performUrgentWork();
}

asio::awaitable<void> membership_task::writeObject(write_object call)
{
    const expected_version expected{call.expected};
    const auto written = co_await m_core.store->write(call.kind, call.name, expected, call.value);
    if (written) {
        const stored_object object{written.value(), call.value};
        m_core.node.onObjectRead(call.kind, call.name, object, boot_clock::now());
        m_core.updateMembership();
        performUrgentWork();
        co_return;
    }
    const bool mayHaveChanged = written.error().code == error_code::Conflict || written.error().code == error_code::Unsettled;
    if (!mayHaveChanged) {
        m_core.metrics.add("membership_store_failures_total");
        m_core.node.onStoreFailed(call.kind, call.name);
        co_return;
    }
    // The object that is now in the store is used, whether this or another controller wrote it.
    m_core.metrics.add("membership_write_conflicts_total");
    const read_object reread{call.kind, call.name};
    co_await readObject(reread);
}

} // namespace balsamhook
