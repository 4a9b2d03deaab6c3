#pragma once

#include "base/base.h"
#include "http/exchange_machine.h"
#include "http/outgoing_bytes.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace balsamhook
{

/// Request as it is sent, in one or two parts. A large body is shared by all connections that send it.
struct serialized_request
{
    std::string head; ///< May contain the body.
    std::shared_ptr<const std::string> body; ///< Sent after head; may be empty.

    std::size_t size() const
    {
        return head.size() + (body ? body->size() : 0);
    }
};

/// Connection to a target that carries one request at a time; exchange_machine decides which bytes are its response and whether the connection is reused.
/// Not thread-safe.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    using clock = std::chrono::steady_clock;
    using open_handler = std::function<void(bool isOpen)>;
    using exchange_handler = std::function<void(exchange_result)>;
    using close_handler = std::function<void()>;

    /// Responses are counted in the memory if one is given. Precondition: context and memory outlive the connection.
    target_connection(boost::asio::io_context &context, endpoint peer, message_reader::limits limits, const response_memory *memory = nullptr);

    /// Opens the connection and calls the handler once from the event loop, unless close() is called first. Precondition: called at most once.
    void open(open_handler done);

    /// Sets the handler that is called once when the connection ends while idle, other than by close().
    void onIdleClose(close_handler handler);

    /// Sends a request and calls the handler once from the event loop, unless close() is called first. expectsBody is false for HEAD.
    /// Preconditions: isReusable(), and no request with this id was sent on this connection before.
    void exchange(serialized_request request, std::string requestId, bool expectsBody, exchange_handler done);

    /// Closes the connection without calling handlers. Idempotent.
    void close();

    /// True if the connection is open and idle, and not about to reach the target's idle timeout at the given time.
    bool isReusable(clock::time_point now) const;

    /// Time when the last exchange ended, or when the connection was opened if there was none.
    clock::time_point idleSince() const;

    /// Number of this connection, unique in the process.
    std::uint64_t number() const;

private:
    void read();
    void onRead(const boost::system::error_code &failed, std::size_t size);
    void writeRemaining();
    void onWritten(std::size_t size);
    void onConnectionError(const boost::system::error_code &failed);
    void finish(exchange_result result);
    void closeIdle();

    boost::asio::ip::tcp::socket m_socket;
    endpoint m_peer;
    std::uint64_t m_number;
    exchange_machine m_machine;
    std::array<char, 4096> m_buffer{};
    open_handler m_openHandler;
    exchange_handler m_exchangeHandler;
    close_handler m_closeHandler;
    outgoing_bytes m_outgoing; ///< The rest of the request.
    bool m_hasSentBytes = false; ///< Of the current request.
    bool m_open = false;
    bool m_closed = false;
    clock::time_point m_idleSince{};
    std::optional<std::chrono::milliseconds> m_idleTimeout; ///< From the target's Keep-Alive header.
};

} // namespace balsamhook
