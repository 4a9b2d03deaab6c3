#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/link_rules.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace balsamhook
{

/// Relays TCP connections and UDP datagrams from the advertised to the actual addresses and applies the delays and faults of its rules.
/// Connections and datagrams of an instance are relayed from its advertised address, so that a response to the source address of a datagram also passes
/// the link. Connections of callers are relayed from the caller's address; datagrams of other sources from the advertised address of their destination.
/// Admin interface: PUT /standin/link {"from","to","state":"pass"|"silent"|"cut","one_way"?}; GET /standin/link. A one-way cut is applied as "silent".
/// Not thread-safe: all calls come from the thread of its io_context.
class link_relay
{
public:
    /// Precondition: context and metrics outlive the relay.
    link_relay(boost::asio::io_context &context, link_rules rules, counters &metrics);
    ~link_relay();
    link_relay(const link_relay &) = delete;
    link_relay &operator=(const link_relay &) = delete;

    /// Listens on all advertised addresses and the admin address. Unreachable when one of them can't be bound.
    result<void> start(const endpoint &admin);
    void stop();

private:
    struct state;
    boost::asio::awaitable<http_response> respond(http_request request);
    http_response applyChange(const std::string &body);

    std::shared_ptr<state> m_state;
    http_server m_admin;
};

} // namespace balsamhook
