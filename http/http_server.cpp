#include "http/http_server.h"

#include "http/caller_connection.h"
#include "http/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unordered_set>

namespace balsamhook
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

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

http_request toRequest(http_message &&message, std::string peer)
{
    http_request request;
    request.method = std::move(message.method);
    splitTarget(message.target, request);
    for (header_field &field : message.fields) {
        request.headers[lowerCase(field.name)] = std::move(field.value);
    }
    request.body = std::move(message.body);
    request.peer = std::move(peer);
    return request;
}

caller_response toCallerResponse(http_response &&response, bool omitsBody)
{
    caller_response sent;
    sent.status = response.status;
    sent.fields.push_back({"Content-Type", std::move(response.contentType)});
    for (auto &[name, value] : response.headers) {
        sent.fields.push_back({name, std::move(value)});
    }
    sent.body = std::move(response.body);
    sent.omitsBody = omitsBody;
    return sent;
}

std::string describePeer(const tcp::socket &socket)
{
    boost::system::error_code failed;
    const auto remote = socket.remote_endpoint(failed);
    return failed ? "unknown peer" : remote.address().to_string() + ":" + std::to_string(remote.port());
}

} // namespace

/// Kept alive by the connections, which may outlive the server.
struct http_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context &ioContext, http_limits httpLimits, counters &serverMetrics, handler handleRequest, const connection_account *shared)
        : context(ioContext)
        , timers(ioContext)
        , acceptor(ioContext)
        , limits(httpLimits)
        , metrics(serverMetrics)
        , handle(std::move(handleRequest))
        , ownAccount({connection_account::limits().bytes, httpLimits.connections})
        , account(shared == nullptr ? ownAccount : *shared)
    {
    }

    void accept();
    void serve(tcp::socket socket);
    caller_connection::handlers connectionHandlers(std::string peer);
    static asio::awaitable<void> respond(std::shared_ptr<state> self, caller_connection::pointer connection, http_request request);
    asio::awaitable<http_response> runHandler(http_request request);
    void stop();

    asio::io_context &context;
    timer_queue timers;
    tcp::acceptor acceptor;
    http_limits limits;
    counters &metrics;
    handler handle;
    connection_account ownAccount;
    const connection_account &account;
    bool stopping = false;
    std::size_t inFlight = 0;
    std::unordered_set<caller_connection *> connections;
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

asio::awaitable<void> http_server::state::respond(std::shared_ptr<state> self, caller_connection::pointer connection, http_request request)
{
    const bool omitsBody = request.method == "HEAD";
    http_response response = co_await self->runHandler(std::move(request));
    connection->respond(toCallerResponse(std::move(response), omitsBody), self->stopping);
}

caller_connection::handlers http_server::state::connectionHandlers(std::string peer)
{
    caller_connection::handlers handlers;
    handlers.onRequest = [self = shared_from_this(), peer = std::move(peer)](const caller_connection::pointer &connection, http_message message) {
        asio::co_spawn(self->context, respond(self, connection, toRequest(std::move(message), peer)), asio::detached);
    };
    handlers.onDisconnected = [](const caller_connection::pointer &) {};
    handlers.onClosed = [self = shared_from_this()](const caller_connection::pointer &connection) { self->connections.erase(connection.get()); };
    handlers.onRejected = [self = shared_from_this()](unsigned) { self->metrics.add("http_malformed_requests_total"); };
    return handlers;
}

void http_server::state::serve(tcp::socket socket)
{
    connection_account::entry_pointer entry = account.admit();
    if (!entry) {
        metrics.add("http_connections_refused_total");
        return;
    }
    caller_connection::settings values;
    values.limits = {limits.headerBytes, limits.bodyBytes};
    values.headerTimeout = limits.idleTimeout;
    values.idleTimeout = limits.idleTimeout;
    caller_connection::handlers handlers = connectionHandlers(describePeer(socket));
    const auto connection = std::make_shared<caller_connection>(std::move(socket), timers, values, std::move(handlers), std::move(entry));
    connections.insert(connection.get());
    connection->start();
}

void http_server::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &failed, tcp::socket socket) {
        if (self->stopping) {
            return;
        }
        if (!failed) {
            self->serve(std::move(socket));
            self->accept();
            return;
        }
        // Usually the process has run out of file descriptors; accepting again immediately would cause a busy loop.
        constexpr std::chrono::milliseconds DelayAfterError{50};
        self->timers.start(timer_queue::clock::now() + DelayAfterError, [self] {
            if (!self->stopping) {
                self->accept();
            }
        });
    });
}

void http_server::state::stop()
{
    stopping = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    std::vector<caller_connection::pointer> open;
    open.reserve(connections.size());
    for (caller_connection *connection : connections) {
        open.push_back(connection->shared_from_this());
    }
    for (const caller_connection::pointer &connection : open) {
        connection->closeWhenIdle();
    }
}

http_server::http_server(asio::io_context &context, http_limits limits, counters &metrics, handler handle, const connection_account *account)
    : m_state(std::make_shared<state>(context, limits, metrics, std::move(handle), account))
{
}

http_server::~http_server()
{
    stop();
}

result<void> http_server::listen(const endpoint &local)
{
    BOOST_OUTCOME_TRY(listenOn(m_state->acceptor, local, connection_account::ReceiveBufferBytes));
    m_state->accept();
    return success();
}

void http_server::stop()
{
    m_state->stop();
}

std::size_t http_server::inFlight() const
{
    return m_state->inFlight;
}

} // namespace balsamhook
