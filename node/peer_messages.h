#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// First field of each datagram between instances; datagrams with another value are ignored.
constexpr std::uint8_t PeerMessageVersion = 1;

/// A target that crashed while it ran a request.
struct peer_crash
{
    std::uint64_t fingerprint = 0; ///< Of the request; unchanged when a caller repeats it.
    std::string target;
    std::string requestId;

    MSGPACK_DEFINE_ARRAY(fingerprint, target, requestId)
};

/// A request that is refused because it crashed targets.
struct peer_refusal
{
    std::uint64_t fingerprint = 0;
    std::uint32_t remainingMilliseconds = 0; ///< Until the request is let through again.

    MSGPACK_DEFINE_ARRAY(fingerprint, remainingMilliseconds)
};

/// Request limit of a target, as the instance that announces it knows it.
struct peer_limit
{
    std::string target;
    float perSecond = 0; ///< 0: the limit has ended.
    std::uint32_t ageMilliseconds = 0; ///< Since the target's response.

    MSGPACK_DEFINE_ARRAY(target, perSecond, ageMilliseconds)
};

/// Status of an instance, sent to its peers in one datagram per heartbeat.
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
    std::uint32_t maxSenders = 0; ///< 0: unknown.
    std::uint32_t intervalMilliseconds = 0; ///< Until the next heartbeat.
    std::vector<std::string> targetDataCentres; ///< With usable targets; empty: unknown.
    std::vector<std::string> knownAddresses; ///< Of the senders; empty in most heartbeats.
    std::vector<peer_crash> crashes; ///< Detected by the instance in the last seconds.
    bool isImpaired = false; ///< At least one route can't be served because of unreachable data centres.
    std::vector<peer_refusal> refusals; ///< Some of those that the instance knows, so that instances that started later learn of them too.
    std::string limitDemand; ///< demand_filter of the limited targets that the instance has requests for; empty: unchanged.
    std::vector<peer_limit> limits; ///< Some of the limits that others can't learn from the targets' responses.
    bool asksForSenders = false; ///< The receiver is to reply with the addresses of the senders.

    MSGPACK_DEFINE_ARRAY(version,
                         instance,
                         incarnation,
                         address,
                         dataCentre,
                         callerPort,
                         isServing,
                         processorShare,
                         maxSenders,
                         intervalMilliseconds,
                         targetDataCentres,
                         knownAddresses,
                         crashes,
                         isImpaired,
                         refusals,
                         limitDemand,
                         limits,
                         asksForSenders)
};

/// Decodes a datagram; empty if it is malformed or has values that no instance sends. Never throws.
std::optional<peer_heartbeat> decodeHeartbeat(std::string_view datagram);

} // namespace balsamhook
