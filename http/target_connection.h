#pragma once

#include "base/base.h"
#include "http/message_reader.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

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
};

/// Connection to a target that carries one request at a time. Responses with a Request-Id other than the request's are discarded. A connection is not
/// reused after unsolicited bytes, a response before the request was fully written, or a response that ends keep-alive. Not thread-safe.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    using clock = std::chrono::steady_clock;
    using open_handler = std::function<void(bool isOpen)>;
    using exchange_handler = std::function<void(exchange_result)>;
    using close_handler = std::function<void()>;

    /// Precondition: context outlives the connection.
    target_connection(boost::asio::io_context &context, endpoint peer, message_reader::limits limits);

    /// Opens the connection and calls the handler once from the event loop, unless close() is called first. Precondition: called at most once.
    void open(open_handler done);

    /// Sets the handler that is called once when the connection ends while idle, other than by close().
    void onIdleClose(close_handler handler);

    /// Sends a serialized request and calls the handler once from the event loop, unless close() is called first. expectsBody is false for HEAD.
    /// Precondition: isReusable().
    void exchange(std::string request, std::string requestId, bool expectsBody, exchange_handler done);

    /// Closes the connection without calling handlers. Idempotent.
    void close();

    /// True if the connection is open and idle, and not about to reach the target's idle timeout at the given time.
    bool isReusable(clock::time_point now) const;

    /// Time when the last exchange ended, or when the connection was opened if there was none.
    clock::time_point idleSince() const;

private:
    void read();
    void onRead(const boost::system::error_code &failed, std::size_t size);
    void processInput(std::string_view data);
    void writeRemaining();
    void onConnectionError(const boost::system::error_code &failed);
    bool acceptResponse(bool hasTrailingBytes); ///< Returns false if the response is discarded.
    void finish(exchange_result result);

    boost::asio::ip::tcp::socket m_socket;
    endpoint m_peer;
    message_reader::limits m_limits;
    message_reader m_reader;
    std::array<char, 4096> m_buffer{};
    std::string m_unparsed; ///< Received bytes of an incomplete line.
    open_handler m_openHandler;
    exchange_handler m_exchangeHandler;
    close_handler m_closeHandler;
    std::string m_outgoing;
    std::size_t m_written = 0;
    unsigned m_discarded = 0; ///< Responses of this exchange that were discarded.
    std::string m_requestId;
    bool m_open = false;
    bool m_closed = false;
    bool m_canReuse = true;
    clock::time_point m_idleSince{};
    std::optional<std::chrono::milliseconds> m_idleTimeout; ///< From the target's Keep-Alive header.
};

} // namespace balsamhook
