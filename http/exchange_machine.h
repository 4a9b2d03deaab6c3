#pragma once

#include "http/message_reader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace balsamhook
{

enum class exchange_outcome : std::uint8_t {
    Completed,
    NotSent, ///< No byte of the request was written to the socket.
    Lost, ///< At least one byte was written and no valid response was received: the target may have run the request.
};

struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::NotSent;
    http_message response; ///< Valid if the outcome is Completed.
    bool wasDisconnected = false; ///< The exchange failed because the connection ended, not because of a malformed response.
    bool wasClosedByTarget = false; ///< The target closed or reset the connection; false when it ended by a timeout of the network.
    bool hasReceivedBytes = false; ///< At least part of a response was received.
    bool hadNoRoom = false; ///< The response outgrew the memory for responses.
};

/// How a connection ended.
enum class connection_end : std::uint8_t {
    ClosedByTarget, ///< In order.
    ResetByTarget,
    Failed, ///< For example by a timeout of the network.
};

/// State machine of a connection to a target, without the socket: decides which received bytes are the response to the request in flight, and whether the
/// connection is fit for another request. A faulty target may send responses twice, early or late, interim ones, or bytes that are none.
///
/// | state | event | next state |
/// |---|---|---|
/// | idle | begin() | in flight |
/// | idle | bytes or end | ended: nothing was asked |
/// | in flight | interim response, or response to another request | in flight; the connection isn't reused after the latter |
/// | in flight | response to the request | idle if it keeps the connection alive, no further bytes have arrived, none were discarded and the request was
/// written | | in flight | the same otherwise, malformed or excess bytes, end | ended |
///
/// A response belongs to the request if it echoes its id. Without an id it does only if no earlier request used the connection. Precondition of that: no two
/// requests on one connection have the same id. Not thread-safe.
class exchange_machine
{
public:
    /// Responses are counted in the memory if one is given; the exchange is lost when there is no room for the response.
    explicit exchange_machine(message_reader::limits limits, const response_memory *memory = nullptr);

    /// A request is about to be written. expectsBody is false for HEAD. Precondition: isReusable().
    void begin(std::string requestId, bool expectsBody);

    /// The request was written whole. Precondition: begin() was called before.
    void onRequestWritten();

    /// Returns the result if the exchange has ended.
    std::optional<exchange_result> onBytes(std::string_view received);

    /// Ends the connection. Returns a result if a request is in flight; hasSentBytes tells whether any byte of it was written.
    std::optional<exchange_result> onEnd(connection_end end, bool hasSentBytes);

    /// True while no request is in flight and the connection may carry one.
    bool isReusable() const;

    /// True once the connection can't be used any more and should be closed.
    bool hasEnded() const;

private:
    struct idle
    {
    };

    struct in_flight
    {
        std::string requestId;
        bool expectsBody = true;
        bool isWritten = false;
        bool wasPolluted = false; ///< A response to another request has arrived.
        unsigned discarded = 0; ///< Interim responses and responses to other requests.
    };

    struct ended
    {
    };

    exchange_result fail();
    bool isWithinMemory(std::size_t bytes);
    std::optional<exchange_result> onMessage(in_flight &exchange, bool hasFurtherBytes);
    bool isResponseTo(const in_flight &exchange, const http_message &response) const;
    bool discard(in_flight &exchange, bool isInterim);

    message_reader m_reader;
    std::string m_unparsed; ///< Received bytes that the reader hasn't consumed.
    const response_memory *m_memory;
    response_memory::holding_pointer m_holding; ///< Of the response that is being received.
    std::uint64_t m_requests = 0; ///< Begun on this connection.
    std::variant<idle, in_flight, ended> m_state;
};

} // namespace balsamhook
