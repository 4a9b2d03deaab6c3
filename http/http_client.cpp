#include "http/http_client.h"

#include "http/message_reader.h"
#include "http/socket_options.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace balsamhook
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace
{

constexpr std::uint64_t ResponseBodyLimitBytes = 16 * 1024 * 1024;
constexpr unsigned HttpVersion = 11;
constexpr unsigned MaxInterimResponses = 16;

using beast_request = beast::http::request<beast::http::string_body>;
using response_parser = beast::http::response_parser<beast::http::string_body>;

beast_request toBeast(http_request &&request, const std::string &host)
{
    beast_request message;
    message.method_string(request.method);
    std::string target = request.path;
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        target += separator + percentEncode(name) + "=" + percentEncode(value);
        separator = '&';
    }
    message.target(target);
    message.version(HttpVersion);
    message.set(beast::http::field::host, host);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    if (!request.body.empty() && message.count(beast::http::field::content_type) == 0) {
        message.set(beast::http::field::content_type, "application/json");
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_response fromBeast(beast::http::response<beast::http::string_body> &&message)
{
    http_response response;
    response.status = message.result_int();
    response.contentType = std::string(message[beast::http::field::content_type]);
    for (const auto &field : message) {
        std::string name(field.name_string());
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        response.headers[std::move(name)] = std::string(field.value());
    }
    response.body = std::move(message.body());
    return response;
}

error exchangeError(const boost::system::error_code &failed, error_step step, const std::string &peer)
{
    if (failed == beast::http::error::body_limit) {
        return error{error_code::TooLarge, step, peer, failed.message()};
    }
    const bool timedOut = failed == beast::error::timeout;
    return error{timedOut ? error_code::Timeout : error_code::Closed, step, peer, timedOut ? "no response within the timeout" : failed.message()};
}

} // namespace

struct http_connection::state
{
    explicit state(beast::tcp_stream connected)
        : stream(std::move(connected))
    {
    }

    /// No data is expected between exchanges, so a readable socket means end of stream, a reset, or a protocol violation by the peer.
    bool isClosedByPeer()
    {
        char byte = 0;
        const ssize_t received = recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string peer;
    const response_memory *memory = nullptr;
    bool hasSentBytes = false;
    bool open = true;
};

namespace
{

/// Reads a response, and counts it in the memory while it arrives. The error is body_limit if there is no room for it.
asio::awaitable<void> readResponse(
    beast::tcp_stream &stream, beast::flat_buffer &buffer, response_parser &incoming, response_memory::holding *holding, boost::system::error_code &failed)
{
    while (!failed && !incoming.is_done()) {
        co_await beast::http::async_read_some(stream, buffer, incoming, asio::redirect_error(asio::use_awaitable, failed));
        if (!failed && holding != nullptr && !holding->resize(buffer.capacity() + incoming.get().body().capacity())) {
            failed = beast::http::error::body_limit;
        }
    }
}

} // namespace

http_connection::http_connection(std::unique_ptr<state> inner)
    : m_state(std::move(inner))
{
}

http_connection::~http_connection() = default;

asio::awaitable<result<http_connection::pointer>>
http_connection::open(endpoint peer, std::string bindAddress, std::chrono::milliseconds timeout, const response_memory *memory)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    boost::system::error_code failed;
    const tcp::endpoint remote(asio::ip::make_address(peer.address, failed), peer.port);
    if (!failed && !bindAddress.empty()) {
        stream.socket().open(remote.protocol(), failed);
        if (!failed) {
            stream.socket().bind(tcp::endpoint(asio::ip::make_address(bindAddress), 0), failed);
        }
    }
    if (failed) {
        co_return failure(error_code::Unreachable, error_step::Connect, describe(peer), failed.message());
    }
    stream.expires_after(timeout);
    co_await stream.async_connect(remote, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        const error_code code = failed == beast::error::timeout ? error_code::Timeout : error_code::Unreachable;
        co_return failure(code, error_step::Connect, describe(peer), failed.message());
    }
    setSocketOptions(stream.socket());
    auto inner = std::make_unique<state>(std::move(stream));
    inner->peer = describe(peer);
    inner->memory = memory;
    co_return pointer(new http_connection(std::move(inner)));
}

asio::awaitable<result<http_response>> http_connection::exchange(http_request request, std::chrono::milliseconds timeout)
{
    // Keeps the connection alive during the operations below, even if the last owner releases it.
    const auto self = shared_from_this();
    m_state->hasSentBytes = false;
    if (!isOpen()) {
        co_return failure(error_code::Closed, error_step::Send, m_state->peer, "connection is closed");
    }
    const beast_request outgoing = toBeast(std::move(request), m_state->peer);
    m_state->stream.expires_after(timeout);
    boost::system::error_code failed;
    // Set before the write, because a failed write may have sent part of the request.
    m_state->hasSentBytes = true;
    co_await beast::http::async_write(m_state->stream, outgoing, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        close();
        co_return exchangeError(failed, error_step::Send, m_state->peer);
    }
    for (unsigned interim = 0; interim <= MaxInterimResponses; ++interim) {
        response_parser incoming;
        incoming.body_limit(ResponseBodyLimitBytes);
        const auto holding = m_state->memory == nullptr ? nullptr : m_state->memory->hold();
        co_await readResponse(m_state->stream, m_state->buffer, incoming, holding.get(), failed);
        const unsigned status = incoming.get().result_int();
        if (!failed && !isValidStatus(status)) {
            failed = beast::http::error::bad_status;
        }
        if (failed) {
            close();
            co_return exchangeError(failed, error_step::Receive, m_state->peer);
        }
        if (isInterimStatus(status)) {
            continue;
        }
        m_state->stream.expires_never();
        if (!incoming.get().keep_alive()) {
            close();
        }
        co_return fromBeast(incoming.release());
    }
    close();
    co_return failure(error_code::Closed, error_step::Receive, m_state->peer, "too many interim responses");
}

bool http_connection::hasSentBytes() const
{
    return m_state->hasSentBytes;
}

bool http_connection::isOpen() const
{
    return m_state->open && m_state->stream.socket().is_open() && !m_state->isClosedByPeer();
}

void http_connection::close()
{
    m_state->open = false;
    boost::system::error_code ignored;
    m_state->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_state->stream.close();
}

const std::string &http_connection::peer() const
{
    return m_state->peer;
}

asio::awaitable<result<http_response>>
fetch(endpoint peer, std::string bindAddress, http_request request, std::chrono::milliseconds timeout, const response_memory *memory)
{
    auto connection = co_await http_connection::open(std::move(peer), std::move(bindAddress), timeout, memory);
    if (!connection) {
        co_return connection.error();
    }
    auto response = co_await connection.value()->exchange(std::move(request), timeout);
    connection.value()->close();
    co_return response;
}

} // namespace balsamhook
