#include "http/http_server.h"

#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace balsamhook
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace
{

using beast_request = beast::http::request<beast::http::string_body>;
using beast_response = beast::http::response<beast::http::string_body>;
using parser = beast::http::request_parser<beast::http::string_body>;

std::string lowerCase(beast::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return lower;
}

void splitTarget(std::string_view target, http_request &request)
{
    const std::size_t questionMark = target.find('?');
    request.path = std::string(target.substr(0, questionMark));
    if (questionMark == std::string_view::npos) {
        return;
    }
    std::string_view rest = target.substr(questionMark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        request.query[percentDecode(pair.substr(0, equals))] = percentDecode(value);
    }
}

http_request fromBeast(beast_request &&message, std::string peer)
{
    http_request request;
    request.method = std::string(message.method_string());
    splitTarget({message.target().data(), message.target().size()}, request);
    for (const auto &field : message) {
        request.headers[lowerCase(field.name_string())] = std::string(field.value());
    }
    request.body = std::move(message.body());
    request.peer = std::move(peer);
    return request;
}

beast_response toBeast(http_response &&response, unsigned version, bool keepAlive)
{
    beast_response message(static_cast<beast::http::status>(response.status), version);
    message.set(beast::http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

bool isMalformed(const boost::system::error_code &failed)
{
    return failed.category() == beast::http::make_error_code(beast::http::error::bad_method).category() && failed != beast::http::error::end_of_stream
        && failed != beast::http::error::partial_message;
}

unsigned statusOf(const boost::system::error_code &failed)
{
    if (failed == beast::http::error::body_limit) {
        return 413;
    }
    return failed == beast::http::error::header_limit ? 431 : 400;
}

} // namespace

struct http_server::state
{
    state(asio::io_context &ioContext, http_limits httpLimits, counters &metrics, handler handleRequest)
        : context(ioContext)
        , acceptor(ioContext)
        , limits(httpLimits)
        , metrics(metrics)
        , handle(std::move(handleRequest))
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    http_limits limits;
    counters &metrics;
    handler handle;
    bool stopping = false;
    std::size_t inFlight = 0;
    std::set<beast::tcp_stream *> idle;
    std::size_t open = 0;

    static asio::awaitable<void> acceptLoop(std::shared_ptr<state> self);
    static asio::awaitable<void> serve(std::shared_ptr<state> self, tcp::socket socket);
    asio::awaitable<http_response> runHandler(http_request request);
    asio::awaitable<void> reject(beast::tcp_stream &stream, const boost::system::error_code &failed);
};

asio::awaitable<http_response> http_server::state::runHandler(http_request request)
{
    ++inFlight;
    http_response response;
    try {
        response = co_await handle(std::move(request));
    } catch (const std::exception &exception) {
        logError("http", std::string("handler failed: ") + exception.what());
        metrics.add("http_handler_failures_total");
        response = errorResponse(500, "internal error");
    }
    --inFlight;
    co_return response;
}

asio::awaitable<void> http_server::state::reject(beast::tcp_stream &stream, const boost::system::error_code &failed)
{
    metrics.add("http_malformed_requests_total");
    const unsigned status = statusOf(failed);
    const std::string message = status == 413 ? "body exceeds " + std::to_string(limits.bodyBytes) + " bytes" : "malformed request: " + failed.message();
    beast_response response = toBeast(errorResponse(status, message), 11, false);
    boost::system::error_code ignored;
    stream.expires_after(limits.idleTimeout);
    co_await beast::http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ignored));
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    // Closing a socket with unread request bytes sends a reset, which can discard the error response before the client reads it.
    constexpr std::size_t MaxDrainBytes = 4 * 1024 * 1024;
    constexpr std::chrono::seconds DrainTimeout{1};
    char discarded[4096];
    stream.expires_after(DrainTimeout);
    for (std::size_t drained = 0; drained < MaxDrainBytes && !ignored;) {
        drained += co_await stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> http_server::state::serve(std::shared_ptr<state> self, tcp::socket socket)
{
    boost::system::error_code failed;
    setSocketOptions(socket);
    const auto remote = socket.remote_endpoint(failed);
    const std::string peer = failed ? "unknown peer" : remote.address().to_string() + ":" + std::to_string(remote.port());
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!self->stopping) {
        parser incoming;
        incoming.body_limit(self->limits.bodyBytes);
        incoming.header_limit(static_cast<std::uint32_t>(self->limits.headerBytes));
        stream.expires_after(self->limits.idleTimeout);
        self->idle.insert(&stream);
        co_await beast::http::async_read_header(stream, buffer, incoming, asio::redirect_error(asio::use_awaitable, failed));
        self->idle.erase(&stream);
        if (!failed) {
            co_await beast::http::async_read(stream, buffer, incoming, asio::redirect_error(asio::use_awaitable, failed));
        }
        if (failed) {
            if (isMalformed(failed)) {
                co_await self->reject(stream, failed);
            }
            break;
        }
        // The idle timeout doesn't apply while the handler runs, so that it can't interrupt a long poll.
        stream.expires_never();
        const bool keepAlive = incoming.get().keep_alive();
        const unsigned version = incoming.get().version();
        http_response response = co_await self->runHandler(fromBeast(incoming.release(), peer));
        beast_response outgoing = toBeast(std::move(response), version, keepAlive && !self->stopping);
        stream.expires_after(self->limits.idleTimeout);
        co_await beast::http::async_write(stream, outgoing, asio::redirect_error(asio::use_awaitable, failed));
        if (failed || !outgoing.keep_alive()) {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, failed);
}

asio::awaitable<void> http_server::state::acceptLoop(std::shared_ptr<state> self)
{
    constexpr std::chrono::milliseconds DelayAfterError{50};
    while (!self->stopping) {
        boost::system::error_code failed;
        tcp::socket socket = co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (self->stopping) {
            co_return;
        }
        if (failed) {
            // Usually the process has run out of file descriptors; accepting again immediately would cause a busy loop.
            asio::steady_timer retryTimer(self->context, DelayAfterError);
            co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        if (self->open >= self->limits.connections) {
            self->metrics.add("http_connections_refused_total");
            continue;
        }
        ++self->open;
        asio::co_spawn(self->context, serve(self, std::move(socket)), [self](std::exception_ptr) { --self->open; });
    }
}

http_server::http_server(asio::io_context &context, http_limits limits, counters &metrics, handler handle)
    : m_state(std::make_shared<state>(context, limits, metrics, std::move(handle)))
{
}

http_server::~http_server()
{
    stop();
}

result<void> http_server::listen(const endpoint &local)
{
    BOOST_OUTCOME_TRY(listenOn(m_state->acceptor, local));
    asio::co_spawn(m_state->context, state::acceptLoop(m_state), asio::detached);
    return success();
}

void http_server::stop()
{
    m_state->stopping = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (beast::tcp_stream *stream : m_state->idle) {
        stream->socket().shutdown(tcp::socket::shutdown_receive, ignored);
    }
}

std::size_t http_server::inFlight() const
{
    return m_state->inFlight;
}

} // namespace balsamhook
