#pragma once

#include "base/base.h"

#include <boost/asio/ip/tcp.hpp>

namespace balsamhook
{

/// Sets the options common to all connections: TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. A connection whose peer stops responding without a
/// reset is closed within about three seconds. Failures are ignored, because they only delay the detection of a dead connection.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/// Binds the acceptor to the address and starts listening. Errors: Unreachable; the acceptor is closed then, so that the call can be repeated.
result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const endpoint &local);

} // namespace balsamhook
