#include "node/peer_messages.h"

#include "base/base.h"
#include "base/unpack_limits.h"

#include <boost/asio/ip/address.hpp>
#include <cmath>

namespace balsamhook
{

namespace
{

/// Other instances compute with the share and call the address.
bool isValid(const peer_heartbeat &heartbeat)
{
    boost::system::error_code failed;
    boost::asio::ip::make_address(heartbeat.address, failed);
    return !failed && std::isfinite(heartbeat.processorShare) && heartbeat.processorShare >= 0;
}

} // namespace

std::optional<peer_heartbeat> decodeHeartbeat(std::string_view datagram)
{
    try {
        peer_heartbeat heartbeat;
        msgpack::unpack(datagram.data(), datagram.size(), nullptr, nullptr, unpackLimits(datagram.size())).get().convert(heartbeat);
        return isValid(heartbeat) ? std::optional(std::move(heartbeat)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace balsamhook
