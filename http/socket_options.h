#pragma once

#include "base/base.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace balsamhook
{

/// Sets the options common to all connections: TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT. A connection whose peer stops responding without a
/// reset is closed within about three seconds. Failures are ignored, because they only delay the detection of a dead connection.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/// Binds the acceptor to the address and starts listening. Errors: Unreachable; the acceptor is closed then, so that the call can be repeated.
/// receiveBufferBytes: receive buffer of the connections from their first byte on, in the bytes asked of the kernel; the kernel's default if empty.
result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const endpoint &local, std::optional<int> receiveBufferBytes = std::nullopt);

} // namespace balsamhook
