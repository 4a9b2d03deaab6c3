#pragma once

#include "base/base.h"
#include "http/http.h"
#include "standins/link_rules.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace balsamhook
{

/// Relays TCP connections and UDP datagrams from the advertised to the actual addresses, with the delays and faults of its rules.
/// A relayed connection comes from the advertised address of its source instance, or from the caller's own address, and so do datagrams; an answer to
/// the source of a datagram therefore also passes the link.
/// Admin interface: PUT /standin/link {"from","to","state":"pass"|"silent"|"cut","one_way"?}; GET /standin/link.
/// Not thread-safe: all calls come from the thread of its io_context.
class link_relay
{
public:
    /// Precondition: context and numbers outlive the relay.
    link_relay(boost::asio::io_context &context, link_rules rules, counters &numbers);
    ~link_relay();
    link_relay(const link_relay &) = delete;
    link_relay &operator=(const link_relay &) = delete;

    /// Listens on all advertised addresses and the admin address.
    result<void> start(const endpoint &admin);
    void stop();

private:
    struct state;
    boost::asio::awaitable<http_response> respond(http_request request);
    http_response change(const std::string &body);

    std::shared_ptr<state> m_state;
    http_server m_admin;
};

} // namespace balsamhook
