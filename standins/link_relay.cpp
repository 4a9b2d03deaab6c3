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

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::size_t QueueBytes = 4 * 1024 * 1024; ///< Per direction of a connection; the relay stops reading beyond it.
constexpr std::size_t DatagramBytes = 64 * 1024;
constexpr std::size_t DelayedDatagrams = 4096;
constexpr std::chrono::seconds ConnectTimeout{3};
constexpr std::chrono::milliseconds FaultCheck{5}; ///< How often held traffic looks whether it may pass again.

/// One direction of a relayed connection.
struct direction
{
    explicit direction(asio::io_context &context)
        : arrived(context)
        , drained(context)
    {
    }

    struct chunk
    {
        steady_clock::time_point due;
        std::string bytes;
    };

    std::deque<chunk> queue;
    std::size_t queuedBytes = 0;
    bool ended = false;
    asio::steady_timer arrived; ///< Cancelled to wake the writer.
    asio::steady_timer drained; ///< Cancelled to wake the reader.
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
    direction request;
    direction response;
    bool closed = false;

    void close(bool reset)
    {
        closed = true;
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&client, &server}) {
            if (reset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
        for (direction *way : {&request, &response}) {
            way->ended = true;
            way->arrived.cancel();
            way->drained.cancel();
        }
    }
};

asio::awaitable<void> pauseFor(asio::io_context &context, std::chrono::microseconds time)
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
    state(asio::io_context &ioContext, link_rules linkRules, counters &linkNumbers)
        : context(ioContext)
        , rules(std::move(linkRules))
        , numbers(linkNumbers)
    {
    }

    asio::io_context &context;
    link_rules rules;
    counters &numbers;
    bool stopped = false;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
    std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<udp::socket>> datagramSockets; ///< By advertised address and port.
    std::set<std::shared_ptr<relayed_connection>> connections;
    std::size_t delayedDatagrams = 0;

    result<void> listenStream(const link_entry &entry, std::uint16_t port);
    result<void> listenDatagrams(const link_entry &entry, std::uint16_t port);
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
    // Answers to callers are held only by faults that name the caller as the destination, which the rules don't have.
    return connection.from == nullptr ? link_state::Pass : rules.state(connection.to, *connection.from);
}

result<void> link_relay::state::listenStream(const link_entry &entry, std::uint16_t port)
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

result<void> link_relay::state::listenDatagrams(const link_entry &entry, std::uint16_t port)
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
    datagramSockets[{entry.advertised, port}] = std::move(socket);
    return success();
}

void link_relay::state::resetCutConnections()
{
    const auto present = connections;
    for (const auto &connection : present) {
        if (stateOf(*connection, true) == link_state::Cut || stateOf(*connection, false) == link_state::Cut) {
            connection->close(true);
            numbers.add("link_connections_reset_total");
        }
    }
}

void link_relay::state::close()
{
    stopped = true;
    boost::system::error_code ignored;
    for (const auto &acceptor : acceptors) {
        acceptor->close(ignored);
    }
    for (const auto &[address, socket] : datagramSockets) {
        socket->close(ignored);
    }
    const auto present = connections;
    for (const auto &connection : present) {
        connection->close(false);
    }
}

asio::awaitable<void> link_relay::state::acceptLoop(std::shared_ptr<state> self, tcp::acceptor &acceptor, const link_entry &to, std::uint16_t port)
{
    while (!self->stopped) {
        boost::system::error_code failed;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (self->stopped) {
            co_return;
        }
        if (failed) {
            co_await pauseFor(self->context, std::chrono::milliseconds(20));
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
    asio::steady_timer limit(self->context, ConnectTimeout);
    limit.async_wait([connection](boost::system::error_code interrupted) {
        if (!interrupted) {
            connection->close(true);
        }
    });
    co_await connection->server.async_connect(destination, asio::redirect_error(asio::use_awaitable, failed));
    limit.cancel();
    co_return !failed && !connection->closed;
}

asio::awaitable<void> link_relay::state::relay(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, std::uint16_t port)
{
    if (self->stateOf(*connection, true) == link_state::Cut || self->stateOf(*connection, false) == link_state::Cut) {
        connection->close(true);
        self->numbers.add("link_connections_refused_total");
        co_return;
    }
    self->connections.insert(connection);
    self->numbers.add("link_connections_total");
    const bool connected = co_await connect(self, connection, port);
    if (!connected) {
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
    direction &way = isRequest ? connection->request : connection->response;
    // Delays are the same in both directions.
    const std::chrono::microseconds delay = self->rules.delay(connection->from, *connection->to);
    std::vector<char> buffer(ReadBytes);
    boost::system::error_code failed;
    while (!way.ended) {
        if (way.queuedBytes >= QueueBytes) {
            co_await waitForSignal(way.drained);
            continue;
        }
        const std::size_t size = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (connection->closed) {
            co_return;
        }
        if (failed && failed != asio::error::eof) {
            connection->close(true);
            co_return;
        }
        if (failed) {
            break;
        }
        self->numbers.add("link_bytes_total", static_cast<std::int64_t>(size));
        way.queue.push_back({steady_clock::now() + delay, std::string(buffer.data(), size)});
        way.queuedBytes += size;
        way.arrived.cancel();
    }
    way.ended = true;
    way.arrived.cancel();
}

asio::awaitable<void> link_relay::state::writeLoop(std::shared_ptr<state> self, std::shared_ptr<relayed_connection> connection, bool isRequest)
{
    tcp::socket &socket = isRequest ? connection->server : connection->client;
    direction &way = isRequest ? connection->request : connection->response;
    boost::system::error_code failed;
    while (!connection->closed) {
        if (way.queue.empty()) {
            if (way.ended) {
                break;
            }
            co_await waitForSignal(way.arrived);
            continue;
        }
        const auto wait = way.queue.front().due - steady_clock::now();
        if (wait.count() > 0) {
            co_await pauseFor(self->context, std::chrono::ceil<std::chrono::microseconds>(wait));
            continue;
        }
        if (self->stateOf(*connection, isRequest) != link_state::Pass) {
            co_await pauseFor(self->context, FaultCheck);
            continue;
        }
        const std::string bytes = std::move(way.queue.front().bytes);
        way.queue.pop_front();
        way.queuedBytes -= bytes.size();
        way.drained.cancel();
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            connection->close(true);
            co_return;
        }
    }
    socket.shutdown(tcp::socket::shutdown_send, failed);
    if (!isRequest && !connection->closed) {
        // The answering side ended: nothing more can come back, so the request side has no use any more.
        connection->close(false);
    }
}

asio::awaitable<void> link_relay::state::receiveLoop(std::shared_ptr<state> self, udp::socket &socket, const link_entry &to, std::uint16_t port)
{
    std::vector<char> buffer(DatagramBytes);
    const udp::endpoint destination(asio::ip::make_address(to.actual), port);
    while (!self->stopped) {
        boost::system::error_code failed;
        udp::endpoint source;
        const std::size_t size = co_await socket.async_receive_from(asio::buffer(buffer), source, asio::redirect_error(asio::use_awaitable, failed));
        if (self->stopped) {
            co_return;
        }
        const link_entry *from = self->rules.findSource(source.address().to_string());
        if (failed || self->rules.state(from, to) != link_state::Pass || self->delayedDatagrams >= DelayedDatagrams) {
            self->numbers.add("link_datagrams_dropped_total");
            continue;
        }
        self->numbers.add("link_datagrams_total");
        const auto sender = from == nullptr ? self->datagramSockets.end() : self->datagramSockets.find({from->advertised, port});
        udp::socket &outgoing = sender == self->datagramSockets.end() ? socket : *sender->second;
        std::string bytes(buffer.data(), size);
        asio::co_spawn(self->context, forward(self, outgoing, destination, std::move(bytes), self->rules.delay(from, to)), asio::detached);
    }
}

asio::awaitable<void>
link_relay::state::forward(std::shared_ptr<state> self, udp::socket &socket, udp::endpoint destination, std::string bytes, std::chrono::microseconds delay)
{
    ++self->delayedDatagrams;
    if (delay.count() > 0) {
        co_await pauseFor(self->context, delay);
    }
    --self->delayedDatagrams;
    boost::system::error_code ignored;
    if (!self->stopped) {
        socket.send_to(asio::buffer(bytes), destination, 0, ignored);
    }
}

link_relay::link_relay(asio::io_context &context, link_rules rules, counters &numbers)
    : m_state(std::make_shared<state>(context, std::move(rules), numbers))
    , m_admin(context, http_limits{}, numbers, [this](http_request request) { return respond(std::move(request)); })
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
            BOOST_OUTCOME_TRY(m_state->listenStream(entry, port));
        }
        for (const std::uint16_t port : m_state->rules.udpPorts()) {
            BOOST_OUTCOME_TRY(m_state->listenDatagrams(entry, port));
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
        co_return change(request.body);
    }
    const nlohmann::json report{{"faults", m_state->rules.faults()},
                                {"open_connections", m_state->connections.size()},
                                {"connections", m_state->numbers.value("link_connections_total")},
                                {"bytes", m_state->numbers.value("link_bytes_total")},
                                {"datagrams", m_state->numbers.value("link_datagrams_total")},
                                {"datagrams_dropped", m_state->numbers.value("link_datagrams_dropped_total")}};
    co_return jsonResponse(200, report.dump());
}

http_response link_relay::change(const std::string &body)
{
    try {
        const nlohmann::json wanted = nlohmann::json::parse(body);
        const std::string from = wanted.at("from").get<std::string>();
        const std::string to = wanted.at("to").get<std::string>();
        const bool oneWay = wanted.value("one_way", false);
        const result<link_state> parsed = parseLinkState(wanted.at("state").get<std::string>());
        if (!parsed) {
            return errorResponse(400, parsed.error().message, "state");
        }
        if (!m_state->rules.knows(from) || !m_state->rules.knows(to)) {
            return errorResponse(400, "no data centre or instance has this name", m_state->rules.knows(from) ? "to" : "from");
        }
        // A connection can't be cut in one direction only: its bytes of that direction are held instead.
        const link_state applied = oneWay && parsed.value() == link_state::Cut ? link_state::Silent : parsed.value();
        m_state->rules.setState(from, to, applied);
        if (!oneWay) {
            m_state->rules.setState(to, from, applied);
        }
        m_state->resetCutConnections();
    } catch (const nlohmann::json::exception &malformed) {
        return errorResponse(400, malformed.what());
    }
    return jsonResponse(200, "{}");
}

} // namespace balsamhook
