#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace balsamhook
{

/// First field of each datagram between instances; a datagram with another value is ignored.
constexpr std::uint8_t PeerMessageVersion = 1;

/// A target that crashed while it ran a request.
struct peer_crash
{
    std::uint64_t fingerprint = 0; ///< Of the request; the same when a caller sends it again.
    std::string target;
    std::string requestId;

    MSGPACK_DEFINE_ARRAY(fingerprint, target, requestId)
};

/// What an instance tells the others a few times a second, in one datagram.
struct peer_heartbeat
{
    std::uint8_t version = PeerMessageVersion;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string dataCentre;
    std::uint16_t callerPort = 0;
    bool isServing = false;
    double processorShare = 1;
    std::uint32_t mostSenders = 0;
    std::uint32_t intervalMilliseconds = 0; ///< Until the next heartbeat.
    std::vector<std::string> targetDataCentres;
    std::vector<std::string> knownAddresses; ///< Of other instances.
    std::vector<peer_crash> crashes; ///< That this instance saw lately.
    bool isImpaired = false; ///< Can't reach enough targets for some route.

    MSGPACK_DEFINE_ARRAY(version,
                         instance,
                         incarnation,
                         address,
                         dataCentre,
                         callerPort,
                         isServing,
                         processorShare,
                         mostSenders,
                         intervalMilliseconds,
                         targetDataCentres,
                         knownAddresses,
                         crashes,
                         isImpaired)
};

} // namespace balsamhook
