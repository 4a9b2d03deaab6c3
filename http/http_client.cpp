#include "http/http_client.h"

#include "http/message_reader.h"
#include "http/socket_options.h"

#include <array>
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

constexpr message_reader::limits ResponseLimits{8 * 1024, 16 * 1024 * 1024};
constexpr std::size_t ReadBytes = 16 * 1024;
constexpr unsigned HttpVersion = 11;
constexpr unsigned MaxInterimResponses = 16;

using beast_request = beast::http::request<beast::http::string_body>;

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

http_response toResponse(http_message &&message)
{
    http_response response;
    response.status = message.status;
    for (header_field &field : message.fields) {
        response.headers[lowerCase(field.name)] = std::move(field.value);
    }
    response.contentType = std::string(response.header("content-type"));
    response.body = std::move(message.body);
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
    std::array<char, ReadBytes> buffer{};
    std::string unparsed; ///< Received bytes that the reader hasn't consumed.
    std::string peer;
    const response_memory *memory = nullptr;
    bool hasSentBytes = false;
    bool open = true;
};

http_connection::http_connection(std::unique_ptr<state> inner)
    : m_state(std::move(inner))
{
}

http_connection::~http_connection() = default;

asio::awaitable<boost::system::error_code> http_connection::receive(message_reader &reader, response_memory::holding *holding)
{
    boost::system::error_code failed;
    while (true) {
        m_state->unparsed.erase(0, reader.feed(m_state->unparsed, failed));
        if (!failed && holding != nullptr && !holding->resize(m_state->unparsed.capacity() + reader.heldBytes())) {
            failed = beast::http::error::body_limit;
        }
        if (failed || reader.isDone()) {
            co_return failed;
        }
        const std::size_t size = co_await m_state->stream.async_read_some(asio::buffer(m_state->buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::eof && reader.hasStarted()) {
            reader.endOfStream(failed);
            co_return failed;
        }
        if (failed) {
            co_return failed;
        }
        m_state->unparsed.append(m_state->buffer.data(), size);
    }
}

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
    message_reader reader(message_kind::Response, ResponseLimits);
    for (unsigned interim = 0; interim <= MaxInterimResponses; ++interim) {
        const auto holding = m_state->memory == nullptr ? nullptr : m_state->memory->hold();
        failed = co_await receive(reader, holding.get());
        if (failed) {
            close();
            co_return exchangeError(failed, error_step::Receive, m_state->peer);
        }
        http_message response = reader.take();
        if (isInterimStatus(response.status)) {
            continue;
        }
        m_state->stream.expires_never();
        // Bytes behind the response answer no request, so none of them may be taken for the next one's.
        if (!response.keepAlive || !m_state->unparsed.empty()) {
            close();
        }
        co_return toResponse(std::move(response));
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
