#include "standins/link_relay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <set>

namespace balsamhook
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::steady_clock;

namespace
{

constexpr std::size_t ReadBufferBytes = 64 * 1024;
constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024; ///< Per direction of a connection. Reading pauses at the limit.
constexpr std::size_t MaxDatagramBytes = 64 * 1024;
constexpr std::size_t MaxDelayedDatagrams = 4096;
constexpr std::chrono::seconds ConnectTimeout{3};
constexpr std::chrono::milliseconds FaultPollInterval{5}; ///< Interval at which a held direction checks whether its fault has ended.

/// Queue of one direction of a relayed connection, between its reader and its writer.
struct relay_direction
{
    explicit relay_direction(asio::io_context &context)
        : dataAvailable(context)
        , spaceAvailable(context)
    {
    }

    struct chunk
    {
        steady_clock::time_point due;
        std::string bytes;
    };

    std::deque<chunk> queue;
    std::size_t queuedBytes = 0;
    bool isEnded = false;
    asio::steady_timer dataAvailable; ///< Cancelled to wake the writer.
    asio::steady_timer spaceAvailable; ///< Cancelled to wake the reader.
};

struct relayed_connection
{
    relayed_connection(asio::io_context &context, tcp::socket accepted)
        : client(std::move(accepted))
        , server(context)
        , request(context)
        , response(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    const link_entry *from = nullptr;
    const link_entry *to = nullptr;
    relay_direction request;
    relay_direction response;
    bool isClosed = false;

    void close(bool reset)
    {
        isClosed = true;
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&client, &server}) {
            if (reset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
        for (relay_direction *direction : {&request, &response}) {
            direction->isEnded = true;
            direction->dataAvailable.cancel();
            direction->spaceAvailable.cancel();
        }
    }
};

asio::awaitable<void> sleepFor(asio::io_context &context, std::chrono::microseconds time)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> waitForSignal(asio::steady_timer &signal)
{
    boost::system::error_code ignored;
    signal.expires_at(steady_clock::time_point::max());
    co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

struct link_relay::state : std::enable_shared_from_this<link_relay::state>
{
    state(asio::io_context &ioContext, link_rules linkRules, counters &linkMetrics)
        : context(ioContext)
        , rules(std::move(linkRules))
        , metrics(linkMetrics)
    {
    }

    asio::io_context &context;
    link_rules rules;
    counters &metrics;
    bool isStopped = false;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
    std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<udp::socket>> udpSockets; ///< By advertised address and port.
    std::set<std::shared_ptr<relayed_connection>> connections;
    std::size_t delayedDatagrams = 0;

    result<void> listenTcp(const link_entry &entry, std::uint16_t port);
    result<void> listenUdp(const link_entry &entry, std::uint16_t port);
    void resetCutConnections();
    void close();

    static asio::awaitable<void> acceptLoop(std::shared_ptr<state> self, tcp::acceptor &acceptor, const link_entry &to, std::uint16_t port);
    static asio::awaitable<void> relay(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, std::uint16_t port);
    static asio::awaitable<bool> connect(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, std::uint16_t port);
    static asio::awaitable<void> readLoop(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, bool isRequest);
    static asio::awaitable<void> writeLoop(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, bool isRequest);
    static asio::awaitable<void> receiveLoop(std::shared_ptr<state> self, udp::socket &socket, const link_entry &to, std::uint16_t port);
    static asio::awaitable<void>
    forward(std::shared_ptr<state> self, udp::socket &socket, udp::endpoint destination, std::string bytes, std::chrono::microseconds delay);

    link_state stateOf(const relayed_connection &connection, bool isRequest) const;
};

link_state link_relay::state::stateOf(const relayed_connection &connection, bool isRequest) const
{
    if (isRequest) {
        return rules.state(connection.from, *connection.to);
    }
    // Responses to callers always pass: link_rules::state() takes no caller as the destination.
    return connection.from == nullptr ? link_state::Pass : rules.state(connection.to, *connection.from);
}

result<void> link_relay::state::listenTcp(const link_entry &entry, std::uint16_t port)
{
    boost::system::error_code failed;
    auto acceptor = std::make_unique<tcp::acceptor>(context);
    const tcp::endpoint local(asio::ip::make_address(entry.advertised, failed), port);
    if (!failed) {
        acceptor->open(local.protocol(), failed);
    }
    if (!failed) {
        acceptor->set_option(tcp::acceptor::reuse_address(true), failed);
        acceptor->bind(local, failed);
    }
    if (!failed) {
        acceptor->listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return failure(error_code::Unreachable, error_step::Listen, entry.advertised + ":" + std::to_string(port), failed.message());
    }
    asio::co_spawn(context, acceptLoop(shared_from_this(), *acceptor, entry, port), asio::detached);
    acceptors.push_back(std::move(acceptor));
    return success();
}

result<void> link_relay::state::listenUdp(const link_entry &entry, std::uint16_t port)
{
    boost::system::error_code failed;
    auto socket = std::make_unique<udp::socket>(context);
    const udp::endpoint local(asio::ip::make_address(entry.advertised, failed), port);
    if (!failed) {
        socket->open(local.protocol(), failed);
    }
    if (!failed) {
        socket->bind(local, failed);
    }
    if (failed) {
        return failure(error_code::Unreachable, error_step::Listen, entry.advertised + ":" + std::to_string(port), failed.message());
    }
    asio::co_spawn(context, receiveLoop(shared_from_this(), *socket, entry, port), asio::detached);
    udpSockets[{entry.advertised, port}] = std::move(socket);
    return success();
}

void link_relay::state::resetCutConnections()
{
    const auto openConnections = connections;
    for (const auto &connection : openConnections) {
        if (stateOf(*connection, true) == link_state::Cut || stateOf(*connection, false) == link_state::Cut) {
            connection->close(true);
            metrics.add("link_connections_reset_total");
        }
    }
}

void link_relay::state::close()
{
    isStopped = true;
    boost::system::error_code ignored;
    for (const auto &acceptor : acceptors) {
        acceptor->close(ignored);
    }
    for (const auto &[address, socket] : udpSockets) {
        socket->close(ignored);
    }
    const auto openConnections = connections;
    for (const auto &connection : openConnections) {
        connection->close(false);
    }
}

asio::awaitable<void> link_relay::state::acceptLoop(std::shared_ptr<state> self, tcp::acceptor &acceptor, const link_entry &to, std::uint16_t port)
{
    while (!self->isStopped) {
        boost::system::error_code failed;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (self->isStopped) {
            co_return;
        }
        if (failed) {
            co_await sleepFor(self->context, std::chrono::milliseconds(20));
            continue;
        }
        const auto remote = socket.remote_endpoint(failed);
        const auto connection = std::make_shared<relayed_connection>(self->context, std::move(socket));
        connection->from = self->rules.findSource(remote.address().to_string());
        connection->to = &to;
        asio::co_spawn(self->context, relay(self, connection, port), asio::detached);
    }
}

asio::awaitable<bool> link_relay::state::connect(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, std::uint16_t port)
{
    boost::system::error_code failed;
    const auto client = connection->client.remote_endpoint(failed);
    if (failed) {
        co_return false;
    }
    const std::string source = connection->from == nullptr ? client.address().to_string() : connection->from->advertised;
    const tcp::endpoint destination(asio::ip::make_address(connection->to->actual), port);
    connection->server.open(destination.protocol(), failed);
    connection->server.bind(tcp::endpoint(asio::ip::make_address(source), 0), failed);
    asio::steady_timer connectTimeout(self->context, ConnectTimeout);
    connectTimeout.async_wait([connection](boost::system::error_code interrupted) {
        if (!interrupted) {
            connection->close(true);
        }
    });
    co_await connection->server.async_connect(destination, asio::redirect_error(asio::use_awaitable, failed));
    connectTimeout.cancel();
    co_return !failed && !connection->isClosed;
}

asio::awaitable<void> link_relay::state::relay(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, std::uint16_t port)
{
    if (self->stateOf(*connection, true) == link_state::Cut || self->stateOf(*connection, false) == link_state::Cut) {
        connection->close(true);
        self->metrics.add("link_connections_refused_total");
        co_return;
    }
    self->connections.insert(connection);
    self->metrics.add("link_connections_total");
    const bool isConnected = co_await connect(self, connection, port);
    if (!isConnected) {
        connection->close(true);
        self->connections.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    connection->server.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(self->context, readLoop(self, connection, true), asio::detached);
    asio::co_spawn(self->context, readLoop(self, connection, false), asio::detached);
    asio::co_spawn(self->context, writeLoop(self, connection, true), asio::detached);
    co_await writeLoop(self, connection, false);
    self->connections.erase(connection);
}

asio::awaitable<void> link_relay::state::readLoop(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, bool isRequest)
{
    tcp::socket &socket = isRequest ? connection->client : connection->server;
    relay_direction &direction = isRequest ? connection->request : connection->response;
    // Delays are symmetric.
    const std::chrono::microseconds delay = self->rules.delay(connection->from, *connection->to);
    std::vector<char> buffer(ReadBufferBytes);
    boost::system::error_code failed;
    while (!direction.isEnded) {
        if (direction.queuedBytes >= MaxQueuedBytes) {
            co_await waitForSignal(direction.spaceAvailable);
            continue;
        }
        const std::size_t size = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (connection->isClosed) {
            co_return;
        }
        if (failed && failed != asio::error::eof) {
            connection->close(true);
            co_return;
        }
        if (failed) {
            break;
        }
        self->metrics.add("link_bytes_total", static_cast<std::int64_t>(size));
        direction.queue.push_back({steady_clock::now() + delay, std::string(buffer.data(), size)});
        direction.queuedBytes += size;
        direction.dataAvailable.cancel();
    }
    direction.isEnded = true;
    direction.dataAvailable.cancel();
}

asio::awaitable<void> link_relay::state::writeLoop(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, bool isRequest)
{
    tcp::socket &socket = isRequest ? connection->server : connection->client;
    relay_direction &direction = isRequest ? connection->request : connection->response;
    boost::system::error_code failed;
    while (!connection->isClosed) {
        if (direction.queue.empty()) {
            if (direction.isEnded) {
                break;
            }
            co_await waitForSignal(direction.dataAvailable);
            continue;
        }
        const auto wait = direction.queue.front().due - steady_clock::now();
        if (wait.count() > 0) {
            co_await sleepFor(self->context, std::chrono::ceil<std::chrono::microseconds>(wait));
            continue;
        }
        if (self->stateOf(*connection, isRequest) != link_state::Pass) {
            co_await sleepFor(self->context, FaultPollInterval);
            continue;
        }
        const std::string bytes = std::move(direction.queue.front().bytes);
        direction.queue.pop_front();
        direction.queuedBytes -= bytes.size();
        direction.spaceAvailable.cancel();
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            connection->close(true);
            co_return;
        }
    }
    socket.shutdown(tcp::socket::shutdown_send, failed);
    if (!isRequest && !connection->isClosed) {
        // The server has closed its side: no response can follow, so the request direction is closed as well.
        connection->close(false);
    }
}

asio::awaitable<void> link_relay::state::receiveLoop(std::shared_ptr<state> self, udp::socket &socket, const link_entry &to, std::uint16_t port)
{
    std::vector<char> buffer(MaxDatagramBytes);
    const udp::endpoint destination(asio::ip::make_address(to.actual), port);
    while (!self->isStopped) {
        boost::system::error_code failed;
        udp::endpoint source;
        const std::size_t size = co_await socket.async_receive_from(asio::buffer(buffer), source, asio::redirect_error(asio::use_awaitable, failed));
        if (self->isStopped) {
            co_return;
        }
        const link_entry *from = self->rules.findSource(source.address().to_string());
        if (failed || self->rules.state(from, to) != link_state::Pass || self->delayedDatagrams >= MaxDelayedDatagrams) {
            self->metrics.add("link_datagrams_dropped_total");
            continue;
        }
        self->metrics.add("link_datagrams_total");
        const auto sourceSocket = from == nullptr ? self->udpSockets.end() : self->udpSockets.find({from->advertised, port});
        udp::socket &outgoing = sourceSocket == self->udpSockets.end() ? socket : *sourceSocket->second;
        std::string bytes(buffer.data(), size);
        asio::co_spawn(self->context, forward(self, outgoing, destination, std::move(bytes), self->rules.delay(from, to)), asio::detached);
    }
}

asio::awaitable<void>
link_relay::state::forward(std::shared_ptr<state> self, udp::socket &socket, udp::endpoint destination, std::string bytes, std::chrono::microseconds delay)
{
    ++self->delayedDatagrams;
    if (delay.count() > 0) {
        co_await sleepFor(self->context, delay);
    }
    --self->delayedDatagrams;
    boost::system::error_code ignored;
    if (!self->isStopped) {
        socket.send_to(asio::buffer(bytes), destination, 0, ignored);
    }
}

link_relay::link_relay(asio::io_context &context, link_rules rules, counters &metrics)
    : m_state(std::make_shared<state>(context, std::move(rules), metrics))
    , m_admin(context, http_limits{}, metrics, [this](http_request request) { return respond(std::move(request)); })
{
}

link_relay::~link_relay()
{
    stop();
}

result<void> link_relay::start(const endpoint &admin)
{
    for (const link_entry &entry : m_state->rules.entries()) {
        for (const std::uint16_t port : m_state->rules.tcpPorts()) {
            BOOST_OUTCOME_TRY(m_state->listenTcp(entry, port));
        }
        for (const std::uint16_t port : m_state->rules.udpPorts()) {
            BOOST_OUTCOME_TRY(m_state->listenUdp(entry, port));
        }
    }
    return m_admin.listen(admin);
}

void link_relay::stop()
{
    m_admin.stop();
    m_state->close();
}

asio::awaitable<http_response> link_relay::respond(http_request request)
{
    if (request.path != "/standin/link") {
        co_return errorResponse(404, "not found");
    }
    if (request.method == "PUT") {
        co_return applyChange(request.body);
    }
    const nlohmann::json report{{"faults", m_state->rules.faults()},
                                {"open_connections", m_state->connections.size()},
                                {"connections", m_state->metrics.value("link_connections_total")},
                                {"bytes", m_state->metrics.value("link_bytes_total")},
                                {"datagrams", m_state->metrics.value("link_datagrams_total")},
                                {"datagrams_dropped", m_state->metrics.value("link_datagrams_dropped_total")}};
    co_return jsonResponse(200, report.dump());
}

http_response link_relay::applyChange(const std::string &body)
{
    try {
        const nlohmann::json change = nlohmann::json::parse(body);
        const std::string from = change.at("from").get<std::string>();
        const std::string to = change.at("to").get<std::string>();
        const bool isOneWay = change.value("one_way", false);
        const result<link_state> requestedState = parseLinkState(change.at("state").get<std::string>());
        if (!requestedState) {
            return errorResponse(400, requestedState.error().message, "state");
        }
        if (!m_state->rules.isKnownName(from) || !m_state->rules.isKnownName(to)) {
            return errorResponse(400, "no data centre or instance has this name", m_state->rules.isKnownName(from) ? "to" : "from");
        }
        // TCP can't reset one direction alone, so a one-way cut holds the bytes of that direction instead.
        const link_state appliedState = isOneWay && requestedState.value() == link_state::Cut ? link_state::Silent : requestedState.value();
        m_state->rules.setState(from, to, appliedState);
        if (!isOneWay) {
            m_state->rules.setState(to, from, appliedState);
        }
        m_state->resetCutConnections();
    } catch (const nlohmann::json::exception &malformed) {
        return errorResponse(400, malformed.what());
    }
    return jsonResponse(200, "{}");
}

} // namespace balsamhook
