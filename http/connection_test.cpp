#include <doctest/doctest.h>

#include "http/http.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <thread>

using namespace balsamhook;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds TestTimeout{10};
constexpr std::chrono::milliseconds PieceDelay{15};

/// Accepts one connection on a separate thread and runs a script on it with blocking calls.
class scripted_peer
{
public:
    explicit scripted_peer(std::function<void(tcp::socket &)> script)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, script = std::move(script)] {
            tcp::socket socket(m_context);
            boost::system::error_code failed;
            m_acceptor.accept(socket, failed);
            if (!failed) {
                script(socket);
            }
        })
    {
    }

    ~scripted_peer()
    {
        m_thread.join();
    }

    endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

void writePieces(tcp::socket &socket, const std::vector<std::string> &pieces)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    for (const std::string &piece : pieces) {
        asio::write(socket, asio::buffer(piece), ignored);
        std::this_thread::sleep_for(PieceDelay);
    }
}

void readRequest(tcp::socket &socket)
{
    std::string received;
    char byte = 0;
    boost::system::error_code failed;
    while (!failed && received.find("\r\n\r\n") == std::string::npos) {
        asio::read(socket, asio::buffer(&byte, 1), failed);
        received += byte;
    }
}

void waitForClose(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code failed;
    while (!failed) {
        asio::read(socket, asio::buffer(&byte, 1), failed);
    }
}

constexpr const char *Request = "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: mine\r\n\r\n";

/// Sends one request to the peer and returns the result.
struct single_exchange
{
    explicit single_exchange(const endpoint &peer)
        : connection(std::make_shared<target_connection>(context, peer, message_reader::limits{}))
    {
    }

    std::optional<exchange_result> send()
    {
        std::optional<exchange_result> result;
        connection->open([&](bool isOpen) {
            REQUIRE(isOpen);
            connection->exchange({Request, nullptr}, "mine", true, [&](exchange_result finished) {
                result = std::move(finished);
                context.stop();
            });
        });
        context.run_for(TestTimeout);
        return result;
    }

    asio::io_context context;
    std::shared_ptr<target_connection> connection;
};

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("message_reader: reads a message split at any byte (guards against dropping the bytes of a split header line)")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 11\r\n\r\nhello world";
    for (const std::string &text : {chunked, sized}) {
        for (std::size_t splitAt = 0; splitAt <= text.size(); ++splitAt) {
            message_reader reader(message_kind::Response, {});
            boost::system::error_code failed;
            std::string unparsed = text.substr(0, splitAt);
            unparsed.erase(0, reader.feed(unparsed, failed));
            REQUIRE_FALSE(failed);
            unparsed += text.substr(splitAt);
            unparsed.erase(0, reader.feed(unparsed, failed));
            REQUIRE_FALSE(failed);
            REQUIRE(reader.isDone());
            CHECK(reader.take().body == "hello world");
        }
    }
}

TEST_CASE("target_connection: reads a response split at any byte (guards against dropping the bytes of a split header or chunk line)")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    for (const std::size_t splitAt : {9U, 20U, 40U, 70U, 71U, 75U, 82U}) {
        CAPTURE(splitAt);
        scripted_peer peer([&](tcp::socket &socket) {
            readRequest(socket);
            writePieces(socket, {whole.substr(0, splitAt), whole.substr(splitAt)});
            waitForClose(socket);
        });
        single_exchange exchange(peer.address());
        const auto result = exchange.send();
        exchange.connection->close();
        REQUIRE(result);
        CHECK(result->outcome == exchange_outcome::Completed);
        CHECK(result->response.body == "hello world");
    }
}

TEST_CASE("target_connection: discards a response to another request (guards against mismatched responses)")
{
    scripted_peer peer([](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, {makeResponse("older", "wrong"), makeResponse("mine", "right")});
        waitForClose(socket);
    });
    single_exchange exchange(peer.address());
    const auto result = exchange.send();
    exchange.connection->close();
    REQUIRE(result);
    CHECK(result->response.body == "right");
}

TEST_CASE("target_connection: is not reusable after bytes that follow a response (guards against surplus responses)")
{
    scripted_peer peer([](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, {makeResponse("mine", "right") + makeResponse("mine", "surplus")});
        waitForClose(socket);
    });
    single_exchange exchange(peer.address());
    const auto result = exchange.send();
    REQUIRE(result);
    CHECK(result->response.body == "right");
    CHECK_FALSE(exchange.connection->isReusable(std::chrono::steady_clock::now()));
}

TEST_CASE("target_connection: closes an idle connection that receives bytes (guards against late surplus responses)")
{
    scripted_peer peer([](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, {makeResponse("mine", "right"), makeResponse("mine", "late")});
        waitForClose(socket);
    });
    single_exchange exchange(peer.address());
    REQUIRE(exchange.send());
    bool wasClosed = false;
    exchange.connection->onIdleClose([&] {
        wasClosed = true;
        exchange.context.stop();
    });
    exchange.context.restart();
    exchange.context.run_for(TestTimeout);
    CHECK(wasClosed);
}

TEST_CASE("target_connection: only an orderly close completes a response without Content-Length (guards against forwarding truncated responses)")
{
    const std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nbody";
    for (const bool isReset : {false, true}) {
        CAPTURE(isReset);
        scripted_peer peer([&](tcp::socket &socket) {
            readRequest(socket);
            writePieces(socket, {text});
            if (isReset) {
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            socket.close();
        });
        single_exchange exchange(peer.address());
        const auto result = exchange.send();
        REQUIRE(result);
        CHECK(result->outcome == (isReset ? exchange_outcome::Lost : exchange_outcome::Completed));
    }
}

TEST_CASE("target_connection: a response that ends within its header is lost (guards against a success with an empty body)")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nServer-Stamp: s\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t sent = 0; sent < head.size(); ++sent) {
        scripted_peer peer([&](tcp::socket &socket) {
            readRequest(socket);
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(head.substr(0, sent)), ignored);
        });
        single_exchange exchange(peer.address());
        const auto result = exchange.send();
        CAPTURE(sent);
        REQUIRE(result.has_value());
        CHECK(result->outcome == exchange_outcome::Lost);
    }
}

TEST_CASE("target_connection: a response without end is lost and its connection closed (guards against unlimited memory and processor time)")
{
    struct endless
    {
        std::string name;
        std::string start;
        std::string repeated;
        std::size_t limit; ///< Bytes after which the connection must be closed, with what the sockets may hold.
    };
    const std::string line(1000, 'x');
    constexpr std::size_t Buffered = 8 * 1024 * 1024;
    const std::size_t header = message_reader::limits().headerBytes + Buffered;
    const std::size_t body = message_reader::limits().bodyBytes + Buffered;
    const std::vector<endless> responses{{"status line", "HTTP/1.1 200 ", line, header},
                                         {"header line", "HTTP/1.1 200 OK\r\nX-Long: ", line, header},
                                         {"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: " + line + "\r\n", header},
                                         {"no HTTP", "", line, header},
                                         {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", header},
                                         {"responses to other requests", "", makeResponse("other", line), header},
                                         {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", line, header},
                                         {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", body * 3},
                                         {"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + line + "\r\n", header},
                                         {"body", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n", line, body}};
    for (const endless &response : responses) {
        std::size_t written = 0;
        std::optional<exchange_result> result;
        {
            scripted_peer peer([&](tcp::socket &socket) {
                readRequest(socket);
                std::string piece = response.start;
                boost::system::error_code failed;
                while (!failed && written <= response.limit) {
                    written += asio::write(socket, asio::buffer(piece), failed);
                    piece.clear();
                    while (piece.size() < 60000) {
                        piece += response.repeated;
                    }
                }
            });
            single_exchange exchange(peer.address());
            result = exchange.send();
        }
        CAPTURE(response.name);
        REQUIRE(result.has_value());
        CHECK(result->outcome == exchange_outcome::Lost);
        CHECK(written <= response.limit);
    }
}

TEST_CASE("target_connection: an incomplete response is lost (guards against forwarding truncated responses)")
{
    scripted_peer peer([](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, {"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 10\r\n\r\nhalf"});
    });
    single_exchange exchange(peer.address());
    const auto result = exchange.send();
    REQUIRE(result);
    CHECK(result->outcome == exchange_outcome::Lost);
    CHECK(result->hasReceivedBytes);
}

namespace
{

/// Serves one connection with caller_connection; the response to a request contains its target and body.
class caller_fixture
{
public:
    explicit caller_fixture(caller_connection::settings values = {}, const connection_account *account = nullptr)
        : timers(context)
        , acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        caller_connection::handlers handlers;
        handlers.onRequest = [this](const caller_connection::pointer &connection, http_message message) {
            ++requests;
            if (message.target == "/hang") {
                return;
            }
            caller_response response;
            response.body = message.target + ":" + message.body;
            connection->respond(response, false);
        };
        handlers.onDisconnected = [this](const caller_connection::pointer &) { ++disconnects; };
        handlers.onClosed = [this](const caller_connection::pointer &) {
            activeConnection = nullptr;
            context.stop();
        };
        handlers.onRejected = [](unsigned) {};
        acceptor.async_accept([this, values, handlers, account](const boost::system::error_code &failed, tcp::socket socket) {
            REQUIRE_FALSE(failed);
            activeConnection
                = std::make_shared<caller_connection>(std::move(socket), timers, values, handlers, account == nullptr ? nullptr : account->admit());
            activeConnection->start();
        });
    }

    /// Sends the pieces from a client on another thread and returns all bytes that it received until the connection ended.
    std::string runClient(const std::vector<std::string> &pieces, bool closeAfterSending = false)
    {
        std::string received;
        std::thread client([&] {
            asio::io_context clientContext;
            tcp::socket socket(clientContext);
            socket.connect(acceptor.local_endpoint());
            writePieces(socket, pieces);
            boost::system::error_code failed;
            if (closeAfterSending) {
                socket.close(failed);
                return;
            }
            asio::read(socket, asio::dynamic_buffer(received), failed);
        });
        context.run_for(TestTimeout);
        client.join();
        return received;
    }

    /// Sends the text from a client that reads in pieces, with a pause after each; returns all bytes that it received until the connection ended.
    std::string runSlowReader(const std::string &sent, std::size_t pieceBytes, std::chrono::milliseconds pause)
    {
        std::string received;
        std::thread client([&] {
            asio::io_context clientContext;
            tcp::socket socket(clientContext);
            socket.connect(acceptor.local_endpoint());
            boost::system::error_code ended;
            asio::write(socket, asio::buffer(sent), ended);
            std::string piece(pieceBytes, ' ');
            while (!ended) {
                received.append(piece.data(), asio::read(socket, asio::buffer(piece), ended));
                std::this_thread::sleep_for(pause);
            }
        });
        context.run_for(TestTimeout);
        client.join();
        return received;
    }

    /// Sends the text from a client that begins to read only after a while; returns all bytes that it received until the connection ended.
    std::string runLateReader(const std::string &sent)
    {
        std::string received;
        std::thread client([&] {
            asio::io_context clientContext;
            tcp::socket socket(clientContext);
            socket.connect(acceptor.local_endpoint());
            std::thread writer([&] {
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(sent), ignored);
            });
            std::this_thread::sleep_for(std::chrono::milliseconds(900));
            boost::system::error_code ended;
            asio::read(socket, asio::dynamic_buffer(received), ended);
            writer.join();
        });
        context.run_for(TestTimeout);
        client.join();
        return received;
    }

    /// Sends requests, each in two segments, and reads only once the connection makes no progress any more; returns what it received then. To be called on
    /// another thread.
    std::string exchangeWithoutReading(const std::string &header, const std::string &body, int count)
    {
        constexpr std::chrono::milliseconds StallTime{100};
        asio::io_context clientContext;
        tcp::socket socket(clientContext, tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect(acceptor.local_endpoint());
        socket.set_option(tcp::no_delay(true));
        boost::system::error_code failed;
        for (int sent = 1; sent <= count && !failed; ++sent) {
            asio::write(socket, asio::buffer(header), failed);
            std::this_thread::sleep_for(std::chrono::microseconds(50));
            asio::write(socket, asio::buffer(body), failed);
            const auto stalledAt = std::chrono::steady_clock::now() + StallTime;
            while (requests < sent && std::chrono::steady_clock::now() < stalledAt) {
                std::this_thread::yield();
            }
            if (requests < sent) {
                break;
            }
        }
        std::string received;
        std::string piece(65536, ' ');
        socket.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + StallTime;
        while (std::chrono::steady_clock::now() < end) {
            const std::size_t size = socket.read_some(asio::buffer(piece), failed);
            received.append(piece, 0, size);
            std::this_thread::yield();
        }
        socket.close(failed);
        return received;
    }

    asio::io_context context;
    timer_queue timers;
    tcp::acceptor acceptor;
    caller_connection::pointer activeConnection;
    std::atomic<int> requests = 0;
    int disconnects = 0;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

TEST_CASE("caller_connection: serves pipelined requests in order and closes after a request without keep-alive (guards against lost and mismatched responses)")
{
    caller_fixture fixture;
    const std::string received = fixture.runClient({"GET /1/ HTTP/1.1\r\nHost: h\r\n\r\nGET /2/ HTTP/1.1\r\nHo", "st: h\r\nConnection: close\r\n\r\n"});
    CHECK(fixture.requests == 2);
    CHECK(received.find("/1/:") < received.find("/2/:"));
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE("caller_connection: a caller that pipelines and doesn't read gets no further responses until it does (its responses filled the memory)")
{
    constexpr int Requests = 4000;
    constexpr std::size_t PathBytes = 8000; // The response repeats the path.
    std::string sent;
    for (int i = 1; i <= Requests; ++i) {
        sent += "GET /" + std::string(PathBytes, 'x') + " HTTP/1.1\r\nHost: h\r\n" + (i == Requests ? "Connection: close\r\n\r\n" : "\r\n");
    }
    caller_fixture fixture;
    int requestsWhileUnread = 0;
    asio::steady_timer pause(fixture.context, std::chrono::milliseconds(700));
    pause.async_wait([&](const boost::system::error_code &) { requestsWhileUnread = fixture.requests; });
    const std::string received = fixture.runLateReader(sent);
    // The sockets may hold some megabytes.
    CHECK(requestsWhileUnread < Requests / 2);
    CHECK(fixture.requests == Requests);
    CHECK(count(received, "HTTP/1.1 200") == Requests);
}

TEST_CASE("caller_connection: callers that expect 100-continue and read late get only whole responses (review case 7: 25 bytes of freed memory)")
{
    constexpr int Connections = 16;
    constexpr int Requests = 2500; // More than the sockets have room for responses.
    const connection_account account({100000000, 10});
    int late = 0;
    for (int number = 0; number < Connections; ++number) {
        CAPTURE(number);
        caller_fixture fixture({}, &account);
        const std::string body(static_cast<std::size_t>(1 + number), 'x');
        const std::string header = "POST /1/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        std::string received;
        std::thread client([&] { received = fixture.exchangeWithoutReading(header, body, Requests); });
        fixture.context.run_for(TestTimeout);
        client.join();
        late += fixture.requests < Requests ? 1 : 0;
        // The connection may have ended within a response.
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(4 + body.size()) + "\r\n\r\n/1/:" + body;
        std::string_view rest = received;
        while (!rest.empty()) {
            const std::string &next = rest.substr(0, 10) == interim.substr(0, 10) ? interim : response;
            INFO("at ", received.size() - rest.size(), " of ", received.size(), ": ", rest.substr(0, 100));
            REQUIRE(rest.substr(0, next.size()) == next.substr(0, rest.size()));
            rest.remove_prefix(std::min(rest.size(), next.size()));
        }
    }
    CHECK(late > 0);
}

TEST_CASE("caller_connection: a long request behind a response that is read late is read to its end (it got 408 as reading was not resumed)")
{
    const auto post = [](const std::string &path, std::size_t bytes, const std::string &fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
    };
    const std::string sent = post("/1/", 12000000, "") + post("/2/", 300000, "Connection: close\r\n");
    caller_fixture fixture;
    const std::string received = fixture.runLateReader(sent);
    CHECK(fixture.requests == 2);
    CHECK(count(received, "HTTP/1.1 200") == 2);
}

TEST_CASE("caller_connection: a caller that reads a long response slowly gets all of it (it was cut at the idle timeout)")
{
    constexpr std::size_t BodyBytes = 12000000;
    caller_connection::settings values;
    values.idleTimeout = std::chrono::milliseconds(300);
    caller_fixture fixture(values);
    const std::string head = "POST /1/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    const std::string received = fixture.runSlowReader(head + std::string(BodyBytes, 'x'), 1000000, std::chrono::milliseconds(80));
    CHECK(received.size() > BodyBytes);
}

TEST_CASE("caller_connection: a caller that asks for close and reads nothing of its response is closed (its connection had no timeout any more)")
{
    caller_connection::settings values;
    values.idleTimeout = std::chrono::milliseconds(100);
    caller_fixture fixture(values);
    constexpr std::size_t BodyBytes = 12000000;
    const std::string request
        = "POST /1/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    asio::io_context clientContext;
    tcp::socket client(clientContext);
    std::thread sender([&] {
        client.connect(fixture.acceptor.local_endpoint());
        boost::system::error_code ignored;
        asio::write(client, asio::buffer(request), ignored);
    });
    const auto startedAt = std::chrono::steady_clock::now();
    fixture.context.run_for(TestTimeout);
    sender.join();
    CHECK(fixture.requests == 1);
    CHECK_FALSE(fixture.activeConnection);
    // Before the network's own timeout.
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(2000));
}

TEST_CASE("caller_connection: reads a line of a header that is longer than 64 KB where the limit allows it (it got 408)")
{
    constexpr std::size_t LineBytes = 200000;
    caller_connection::settings values;
    values.limits.headerBytes = 300000;
    values.headerTimeout = std::chrono::milliseconds(1000);
    caller_fixture fixture(values);
    const std::string received = fixture.runClient({"GET /1/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + std::string(LineBytes, 'x') + "\r\n\r\n"});
    CHECK(received.find(" 200 ") != std::string::npos);
}

TEST_CASE("caller_connection: reads a first line and fields that take the limit each (reading stopped within the header, so it got 408)")
{
    constexpr std::size_t Limit = 100000;
    caller_connection::settings values;
    values.limits.headerBytes = Limit;
    values.headerTimeout = std::chrono::milliseconds(1000);
    caller_fixture fixture(values);
    const std::string line = "GET / HTTP/1.1\r\n";
    const std::string fields = "Connection: close\r\nX: \r\n\r\n";
    std::string request = "GET /" + std::string(Limit - line.size(), 'a') + " HTTP/1.1\r\nConnection: close\r\nX: ";
    request += std::string(Limit - fields.size(), 'x') + "\r\n\r\n";
    CHECK(fixture.runClient({request}).find(" 200 ") != std::string::npos);
}

TEST_CASE("caller_connection: a request for which there is no memory is refused as not run, with Retry-After (bodies of many callers filled the memory)")
{
    const connection_account account({connection_account::ConnectionBytes + 100000, 10});
    caller_fixture fixture({}, &account);
    const std::string received = fixture.runClient({"POST /1/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x')});
    CHECK(received.find(" 503 ") != std::string::npos);
    CHECK(received.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.requests == 0);
    CHECK(account.bytes() == 0);
}

TEST_CASE("caller_connection: a request that arrives with its connection's eviction is refused, not passed on (review case 8: it ran and was never answered)")
{
    const connection_account account({10000000, 1});
    caller_fixture fixture({}, &account);
    asio::io_context clientContext;
    tcp::socket first(clientContext);
    first.connect(fixture.acceptor.local_endpoint());
    while (!fixture.activeConnection) {
        fixture.context.run_one_for(TestTimeout);
    }
    fixture.context.poll();
    connection_account::entry_pointer second;
    fixture.acceptor.async_accept([&](const boost::system::error_code &, const tcp::socket &) { second = account.admit(); });
    fixture.context.poll();
    // Both events are ready at once, that of the new connection first.
    tcp::socket other(clientContext);
    other.connect(fixture.acceptor.local_endpoint());
    asio::write(first, asio::buffer(std::string("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(PieceDelay);
    fixture.context.run_for(TestTimeout);
    CHECK(second);
    CHECK(fixture.requests == 0);
    std::string received;
    boost::system::error_code ended;
    asio::read(first, asio::dynamic_buffer(received), ended);
    CHECK(received.find("HTTP/1.1 503 ") == 0);
    CHECK(received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("caller_connection: nothing is kept of a request that was rejected, also while its caller stays (its body was, until the connection ended)")
{
    constexpr std::size_t MaxBodyBytes = 200000;
    const connection_account account({10 * MaxBodyBytes, 10});
    caller_connection::settings values;
    values.limits.bodyBytes = MaxBodyBytes;
    caller_fixture fixture(values, &account);
    std::size_t heldAfter = 0;
    asio::steady_timer check(fixture.context, std::chrono::milliseconds(200));
    check.async_wait([&](const boost::system::error_code &) { heldAfter = account.bytes(); });
    std::string sent = "POST /1/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t bytes = 0; bytes <= MaxBodyBytes; bytes += 0x1000) {
        sent += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    }
    const std::string received = fixture.runSlowReader(sent, 100000, std::chrono::milliseconds(400));
    CHECK(received.find(" 413 ") != std::string::npos);
    CHECK(heldAfter < connection_account::ConnectionBytes + 1024);
}

TEST_CASE("caller_connection: an idle connection keeps nothing of a large request and its response (guards against idle connections that hold memory)")
{
    constexpr std::size_t BodyBytes = 300000;
    const connection_account account({20 * BodyBytes, 10});
    caller_connection::settings values;
    values.idleTimeout = std::chrono::milliseconds(1000);
    caller_fixture fixture(values, &account);
    std::size_t heldAfter = 0;
    asio::steady_timer check(fixture.context, std::chrono::milliseconds(700));
    check.async_wait([&](const boost::system::error_code &) { heldAfter = account.bytes(); });
    const std::string head = "POST /1/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    const std::string received = fixture.runSlowReader(head + std::string(BodyBytes, 'x'), 2 * BodyBytes, std::chrono::milliseconds(0));
    CHECK(received.size() > BodyBytes);
    CHECK(heldAfter < connection_account::ConnectionBytes + 1024);
}

TEST_CASE("caller_connection: decodes chunked bodies (guards against forwarding chunk framing)")
{
    caller_fixture fixture;
    const std::string received
        = fixture.runClient({"POST /c/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", "c\r\n2\r\nde\r\n0\r\n\r\n"});
    CHECK(received.find("/c/:abcde") != std::string::npos);
}

TEST_CASE("caller_connection: rejects malformed requests (guards against request smuggling and oversized requests)")
{
    caller_connection::settings values;
    values.limits.headerBytes = 500;
    values.limits.bodyBytes = 100;
    const std::vector<std::pair<std::string, std::string>> cases{
        {"nonsense\r\n\r\n", " 400 "},
        {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " 400 "},
        {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", " 400 "},
        {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", " 400 "},
        {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", " 413 "},
        {"GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n", " 431 "},
    };
    for (const auto &[request, status] : cases) {
        CAPTURE(request);
        caller_fixture fixture(values);
        const std::string received = fixture.runClient({request});
        CHECK(received.find(status) != std::string::npos);
        CHECK(count(received, "HTTP/1.1 ") == 1);
        CHECK(fixture.requests == 0);
    }
}

TEST_CASE("caller_connection: rejects a slow request with 408 and closes an idle connection (guards against connections held open indefinitely)")
{
    caller_connection::settings values;
    values.headerTimeout = std::chrono::milliseconds(60);
    values.idleTimeout = std::chrono::milliseconds(60);
    caller_fixture slow(values);
    CHECK(slow.runClient({"GET /a/ HT"}).find(" 408 ") != std::string::npos);
    caller_fixture idle(values);
    CHECK(idle.runClient({}).empty());
}

TEST_CASE("caller_connection: reports a caller that disconnects (guards against work on abandoned requests)")
{
    caller_fixture fixture;
    fixture.runClient({"GET /hang HTTP/1.1\r\nHost: h\r\n\r\n"}, true);
    CHECK(fixture.requests == 1);
    CHECK(fixture.disconnects == 1);
}

namespace
{

/// Sends one request with http_connection to a peer that writes the pieces and closes; returns the response.
std::optional<http_response> fetchPieces(const std::vector<std::string> &pieces)
{
    scripted_peer peer([&](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, pieces);
    });
    asio::io_context context;
    std::optional<http_response> fetched;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto response = co_await fetch(peer.address(), {}, http_request(), TestTimeout);
            fetched = response ? std::optional(response.value()) : std::nullopt;
        },
        asio::detached);
    context.run_for(TestTimeout);
    return fetched;
}

std::optional<unsigned> statusFetched(const std::string &text)
{
    const auto response = fetchPieces({text});
    return response ? std::optional(response->status) : std::nullopt;
}

} // namespace

TEST_CASE("http_connection: responses without end together stay within the memory (the store's or an instance's could take 16 MiB for each call)")
{
    constexpr std::size_t Limit = 1024 * 1024;
    constexpr int Calls = 12;
    const response_memory memory(Limit);
    for (const std::string head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ", ""}) {
        CAPTURE(head);
        std::vector<std::unique_ptr<scripted_peer>> peers;
        peers.reserve(Calls);
        for (int i = 0; i < Calls; ++i) {
            peers.push_back(std::make_unique<scripted_peer>([&head](tcp::socket &socket) {
                readRequest(socket);
                const std::string piece(50000, 'x');
                boost::system::error_code failed;
                asio::write(socket, asio::buffer(head), failed);
                for (std::size_t written = 0; !failed && written < 15000000;) {
                    written += asio::write(socket, asio::buffer(piece), failed);
                }
                waitForClose(socket);
            }));
        }
        asio::io_context context;
        int lost = 0;
        for (const auto &peer : peers) {
            asio::co_spawn(
                context,
                [&memory, &lost, address = peer->address()]() -> asio::awaitable<void> {
                    const auto response = co_await fetch(address, {}, http_request(), TestTimeout, &memory);
                    lost += !response && response.error().code != error_code::Timeout ? 1 : 0;
                },
                asio::detached);
        }
        std::size_t most = 0;
        while (context.run_one_for(TestTimeout) > 0) {
            most = std::max(most, memory.used());
        }
        CHECK(lost == Calls);
        CHECK(most <= Limit + Calls * response_memory::SmallResponseBytes);
        CHECK(memory.used() == 0);
    }
}

TEST_CASE("http_connection: a status that HTTP doesn't have is no response, an interim one isn't the last (the store's 000 counted as success)")
{
    const std::string rest = " X\r\nContent-Length: 2\r\n\r\n{}";
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        CAPTURE(status);
        CHECK_FALSE(statusFetched("HTTP/1.1 " + status + rest).has_value());
    }
    CHECK(statusFetched("HTTP/1.1 503" + rest) == 503);
    CHECK(statusFetched("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200" + rest) == 200);
    std::string interim;
    for (int i = 0; i < 1000; ++i) {
        interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    CHECK_FALSE(statusFetched(interim + "HTTP/1.1 200" + rest).has_value());
}

TEST_CASE("http_connection: a chunked response cut at any byte is read as the whole (the store's empty one in three segments ended the process)")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto empty = fetchPieces({head, "0\r\n", "\r", "\n"});
    REQUIRE(empty);
    CHECK(empty->body.empty());
    CHECK(empty->contentType == "text/plain");
    const std::string text = head + "5\r\nhello\r\n1;a=b\r\n!\r\n0\r\nA: b\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        CAPTURE(cut);
        const auto response = fetchPieces({text.substr(0, cut), text.substr(cut)});
        REQUIRE(response);
        CHECK(response->body == "hello!");
        CHECK(response->headers.count("a") == 0);
    }
    CHECK_FALSE(fetchPieces({head, "5\r\nhello\r\n0\r\n"}));
}

TEST_CASE("http_connection: bytes behind a response are not read as the next one's (a call could get what a store or a peer had sent twice)")
{
    scripted_peer peer([&](tcp::socket &socket) {
        readRequest(socket);
        writePieces(socket, {makeResponse("first", "first") + makeResponse("surplus", "surplus")});
        readRequest(socket);
    });
    asio::io_context context;
    bool isDone = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto connection = co_await http_connection::open(peer.address(), {}, TestTimeout);
            REQUIRE(connection);
            const auto first = co_await connection.value()->exchange(http_request(), TestTimeout);
            REQUIRE(first);
            CHECK(first.value().body == "first");
            CHECK_FALSE(connection.value()->isOpen());
            CHECK_FALSE(co_await connection.value()->exchange(http_request(), TestTimeout));
            isDone = true;
        },
        asio::detached);
    context.run_for(TestTimeout);
    CHECK(isDone);
}
