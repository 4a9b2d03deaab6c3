#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/coroutine_test_support.h"
#include "http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <random>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

const endpoint Local{"127.0.0.1", 17992};

/// Server that echoes the request; delays the response to /slow and throws for /broken.
class echo_fixture
{
public:
    echo_fixture()
        : server(context, limits(), metrics, [this](http_request request) { return echo(std::move(request)); })
    {
        REQUIRE(server.listen(Local).has_value());
    }

    /// Runs a coroutine to its end.
    void run(asio::awaitable<void> task)
    {
        CHECK(runToEnd(context, std::move(task)));
    }

    asio::io_context context;
    counters metrics;
    http_server server;

private:
    static http_limits limits()
    {
        http_limits values;
        values.bodyBytes = 1000;
        return values;
    }

    asio::awaitable<http_response> echo(http_request request)
    {
        if (request.path == "/broken") {
            throw std::runtime_error("broken");
        }
        if (request.path == "/slow") {
            asio::steady_timer timer(context, std::chrono::milliseconds(100));
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return textResponse(200, request.method + " " + request.path + " " + std::string(request.parameter("x")) + " " + request.body);
    }
};

asio::awaitable<std::string> sendRaw(std::string bytes)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({asio::ip::make_address(Local.address), Local.port}, asio::use_awaitable);
    boost::system::error_code failed;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    std::string response;
    co_await asio::async_read(socket, asio::dynamic_buffer(response), asio::redirect_error(asio::use_awaitable, failed));
    co_return response;
}

} // namespace

TEST_CASE("http_connection: a connection carries several requests")
{
    echo_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(Local, "127.0.0.1", std::chrono::seconds(1));
        REQUIRE(connection.has_value());
        for (const std::string body : {"one", "two"}) {
            http_request request;
            request.method = "POST";
            request.path = "/echo";
            request.query["x"] = "1";
            request.body = body;
            auto response = co_await connection.value()->exchange(request, std::chrono::seconds(1));
            REQUIRE(response.has_value());
            CHECK(response.value().body == "POST /echo 1 " + body);
        }
    }());
}

TEST_CASE("percentEncode: every byte survives in a path and in a query (guards against names that end a query or a path)")
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte) {
        all += static_cast<char>(byte);
    }
    const std::string encoded = percentEncode(all);
    CHECK(encoded.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~%") == std::string::npos);
    CHECK(percentDecode(encoded) == all);
    CHECK(percentEncode("azAZ09-._~") == "azAZ09-._~");
    CHECK(percentEncode(" %") == "%20%25");
    CHECK(percentDecode("a+b%2") == "a b%2");
}

TEST_CASE("http_server: rejects bad requests without effect on others")
{
    echo_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        CHECK((co_await sendRaw("nonsense\r\n\r\n")).find("400") != std::string::npos);
        CHECK((co_await sendRaw("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'))).find("413") != std::string::npos);
        CHECK((co_await sendRaw("GET /broken HTTP/1.1\r\nConnection: close\r\n\r\n")).find("500") != std::string::npos);
        CHECK((co_await sendRaw("GET /fine HTTP/1.1\r\nConnection: close\r\n\r\n")).find("GET /fine") != std::string::npos);
    }());
}

TEST_CASE("http_server: connections that are held open make room for others (they took all that a server accepts)")
{
    constexpr std::size_t MaxConnections = 3;
    asio::io_context context;
    counters metrics;
    const connection_account account({connection_account::limits().bytes, MaxConnections});
    const endpoint local{"127.0.0.1", 17993};
    http_server server(
        context, {}, metrics, [](http_request request) -> asio::awaitable<http_response> { co_return textResponse(200, request.path); }, &account);
    REQUIRE(server.listen(local).has_value());
    CHECK(runToEnd(context, [](const endpoint &address) -> asio::awaitable<void> {
        std::vector<http_connection::pointer> idle;
        for (std::size_t i = 0; i < 2 * MaxConnections; ++i) {
            auto opened = co_await http_connection::open(address, "", std::chrono::seconds(1));
            REQUIRE(opened.has_value());
            idle.push_back(opened.value());
        }
        const auto response = co_await fetch(address, "", http_request(), std::chrono::seconds(1));
        CHECK(response.has_value());
    }(local)));
    CHECK(account.connections() <= MaxConnections);
}

TEST_CASE("http_server: a response to HEAD has no body")
{
    echo_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        const std::string received = co_await sendRaw("HEAD /fine HTTP/1.1\r\nConnection: close\r\n\r\n");
        CHECK(received.find(" 200 ") != std::string::npos);
        CHECK(received.find("HEAD /fine") == std::string::npos);
    }());
}

TEST_CASE("http_server: random bytes never crash the server")
{
    echo_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        std::mt19937 random(20261204);
        const std::string valid = "POST /echo?x=%41%zz HTTP/1.1\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
        for (int round = 0; round < 300; ++round) {
            std::string bytes = valid;
            for (int edit = 0; edit < 3; ++edit) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            bytes.resize(1 + random() % bytes.size());
            co_await sendRaw(bytes);
        }
        CHECK((co_await sendRaw("GET /fine HTTP/1.1\r\nConnection: close\r\n\r\n")).find("GET /fine") != std::string::npos);
    }());
}

TEST_CASE("http_connection: a timeout reports its step, closes the connection and reports that bytes were sent")
{
    echo_fixture fixture;
    fixture.run([]() -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(Local, "", std::chrono::seconds(1));
        http_request request;
        request.path = "/slow";
        const auto response = co_await connection.value()->exchange(request, std::chrono::milliseconds(20));
        CHECK(response.error().code == error_code::Timeout);
        CHECK(response.error().step == error_step::Receive);
        CHECK(connection.value()->hasSentBytes());
        CHECK_FALSE(connection.value()->isOpen());
    }());
}

TEST_CASE("http_connection: an idle connection closed by the peer is not open")
{
    // Guards against sending a command on a closed connection: its outcome would be unknown although no peer received it.
    echo_fixture fixture;
    fixture.run([](echo_fixture &fixture) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(Local, "", std::chrono::seconds(1));
        http_request request;
        request.path = "/echo";
        const auto response = co_await connection.value()->exchange(request, std::chrono::seconds(1));
        CHECK(response.has_value());
        CHECK(connection.value()->isOpen());
        fixture.server.stop();
        asio::steady_timer timer(fixture.context);
        for (int polls = 0; polls < 100 && connection.value()->isOpen(); ++polls) {
            timer.expires_after(std::chrono::milliseconds(10));
            co_await timer.async_wait(asio::use_awaitable);
        }
        CHECK_FALSE(connection.value()->isOpen());
    }(fixture));
}

TEST_CASE("http_server: stop() completes the request in flight")
{
    echo_fixture fixture;
    fixture.run([](echo_fixture &fixture) -> asio::awaitable<void> {
        auto connection = co_await http_connection::open(Local, "", std::chrono::seconds(1));
        asio::steady_timer stopper(fixture.context, std::chrono::milliseconds(30));
        stopper.async_wait([&](boost::system::error_code) { fixture.server.stop(); });
        http_request request;
        request.path = "/slow";
        const auto response = co_await connection.value()->exchange(request, std::chrono::seconds(1));
        CHECK(response.has_value());
        const auto openedAfterStop = co_await http_connection::open(Local, "", std::chrono::seconds(1));
        CHECK(openedAfterStop.has_error());
    }(fixture));
}
