#pragma once

#include "base/base.h"
#include "http/connection_account.h"
#include "http/message_reader.h"
#include "http/outgoing_bytes.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace balsamhook
{

/// Response to a caller's request.
struct caller_response
{
    unsigned status = 200;
    std::vector<header_field> fields; ///< Without Content-Length and Connection.
    std::string body;
    bool omitsLength = false; ///< `fields` contains the length; used by stand-ins that violate the protocol.
    bool omitsBody = false; ///< For responses to HEAD.
};

/// Returns the standard reason phrase of an HTTP status code.
std::string_view reasonPhrase(unsigned status);

/// Server side of a caller's keep-alive connection. Handles one request at a time and detects a caller that disconnects. Rejects malformed requests with
/// 400, oversized headers with 431, oversized bodies with 413, slow requests with 408, and requests for which there is no memory with 503. Not thread-safe.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    using clock = std::chrono::steady_clock;
    using pointer = std::shared_ptr<caller_connection>;

    struct settings
    {
        message_reader::limits limits;
        std::chrono::milliseconds headerTimeout{5000}; ///< Limit for the time from the first to the last byte of a request, body included.
        std::chrono::milliseconds idleTimeout{30000}; ///< Limit for the time without a request, and for the time in which the caller reads nothing.
    };

    struct handlers
    {
        std::function<void(const pointer &, http_message)> onRequest; ///< respond() must be called, unless the caller disconnects first.
        std::function<void(const pointer &)> onDisconnected; ///< The caller disconnected while a request was in flight.
        std::function<void(const pointer &)> onClosed; ///< Called once, as the last handler.
        std::function<void(unsigned status)> onRejected; ///< A malformed, oversized or slow request was rejected.
    };

    /// What the connection holds is counted in the entry, if one is given; an eviction closes it. Precondition: timers outlives the connection.
    caller_connection(
        boost::asio::ip::tcp::socket socket, timer_queue &timers, settings values, handlers callbacks, connection_account::entry_pointer entry = nullptr);

    void start();

    /// Sends the response to the request in flight, and then closes the connection if closeAfter is set, the request ended keep-alive or closeWhenIdle()
    /// was called. Has no effect on a closed connection. Precondition: a request is in flight, or the connection is closed.
    void respond(caller_response response, bool closeAfter);

    /// Closes the connection if no byte of a request has arrived since the last response; otherwise after the next response. A request that crosses the close
    /// is answered with a reset, by which the caller knows that it wasn't read.
    void closeWhenIdle();

    /// Closes the connection immediately and calls onClosed. Idempotent.
    void close();

    bool isBusy() const;

    /// Number of requests passed to onRequest, including the one in flight.
    std::uint64_t requestsRead() const;

private:
    void read();
    void onRead(const boost::system::error_code &failed, std::size_t size);
    void process();
    void processPipelined();
    bool mayRead() const;
    void reject(const boost::system::error_code &failed);
    void rejectForRoom();
    void respondToUnread(caller_response response);
    void send(std::string bytes, std::string body = {});
    std::size_t heldBytes() const;
    bool updateAccount();
    void setReceiveBuffer(bool isLarge);
    void writeRemaining();
    void onWritten();
    bool hasUnreadBytes() const;
    void lingerAndClose();
    void onTimer();
    void closeIfIdle();
    void armTimer(clock::time_point due);

    boost::asio::ip::tcp::socket m_socket;
    timer_queue &m_timers;
    settings m_settings;
    handlers m_handlers;
    message_reader m_reader;
    std::array<char, 4096> m_buffer{};
    std::string m_unparsed; ///< Received bytes that the parser hasn't consumed, pipelined requests included.
    outgoing_bytes m_outgoing; ///< Not empty while a write is pending.
    connection_account::entry_pointer m_entry; ///< May be empty.
    timer_queue::handle m_timer = 0;
    clock::time_point m_idleSince;
    clock::time_point m_messageStartedAt{};
    clock::time_point m_writtenAt{}; ///< When the caller last made room for bytes of a response.
    std::uint64_t m_requestsRead = 0;
    bool m_busy = false; ///< A request is in flight: onRequest was called, and respond() not yet.
    bool m_reading = false;
    bool m_closeAfter = false;
    bool m_hasRespondedLast = false; ///< A response that ends keep-alive was passed to send(); no further request is read.
    bool m_lingering = false;
    bool m_closed = false;
    bool m_sentContinue = false;
    bool m_hasLargeReceiveBuffer = false;
};

} // namespace balsamhook
