#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "programs/process_test_support.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <vector>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr const char *Address = "127.80.0.1";
constexpr std::uint16_t CallerPort = 18304;
constexpr std::uint16_t ReadinessPort = 18308;
constexpr std::uint16_t InternalPort = 18306;
constexpr std::uint16_t DirectoryPort = 18300;

/// Settings of an instance whose store doesn't run.
std::string validSettings()
{
    const std::string at = std::string("=") + Address + ":";
    return "NodeName=i1\nIp=" + std::string(Address) + "\nZone=dc1\nRegion=r\nZones.dc1=r\nEndpoints.Front" + at + std::to_string(CallerPort)
        + "\nEndpoints.Readiness" + at + std::to_string(ReadinessPort) + "\nEndpoints.Control" + at + std::to_string(InternalPort) + "\nEndpoints.directory"
        + at + std::to_string(DirectoryPort) + "\nInternalPorts=18380,18395\nplatform.Address" + at + "18302\nBounds.GraceS=1.5\n";
}

/// Sends the pieces in segments of their own; returns the first line of the response, or an empty string if the connection ends without one.
std::string sendPieces(std::uint16_t port, const std::vector<std::string> &pieces)
{
    constexpr std::chrono::milliseconds PieceDelay{20};
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(Address), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    boost::system::error_code failed;
    for (const std::string &piece : pieces) {
        asio::write(socket, asio::buffer(piece), failed);
        std::this_thread::sleep_for(PieceDelay);
    }
    std::string received;
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n", failed);
    return failed ? std::string() : received.substr(0, received.find('\r'));
}

} // namespace

TEST_CASE("balsamhook: runs on when the reader of its log is gone (the process was ended by SIGPIPE)")
{
    process instance;
    instance.writeSettings(validSettings());
    instance.start();
    REQUIRE(instance.waitForLog("node start "));
    instance.closeLog();
    std::this_thread::sleep_for(300ms);
    instance.signal(SIGHUP);
    std::this_thread::sleep_for(500ms);
    CHECK_FALSE(instance.exitStatus().has_value());
}

TEST_CASE("balsamhook: waits for an address that is in use at its start (the process ended at once, and again at each restart)")
{
    asio::io_context context;
    asio::ip::tcp::acceptor other(context, {asio::ip::make_address(Address), CallerPort});
    process instance;
    instance.writeSettings(validSettings());
    instance.start();
    REQUIRE(instance.waitForLog("node start_delayed"));
    other.close();
    CHECK(instance.waitForLog("node start "));
    CHECK_FALSE(instance.exitStatus().has_value());
}

TEST_CASE("balsamhook: waits for a settings file that is still being written, and takes SIGHUP meanwhile (the process ended at once)")
{
    process instance;
    instance.writeSettings(validSettings().substr(0, 100));
    instance.start();
    std::this_thread::sleep_for(300ms);
    instance.signal(SIGHUP);
    std::this_thread::sleep_for(100ms);
    REQUIRE_FALSE(instance.exitStatus().has_value());
    instance.writeSettings(validSettings());
    CHECK(instance.waitForLog("node start "));
}

TEST_CASE("balsamhook: settings that stay wrong end the start (guards against waiting forever)")
{
    process instance;
    instance.writeSettings("NodeName=i1\n");
    instance.start();
    REQUIRE(waitUntil([&] { return instance.exitStatus().has_value(); }, 6s));
    CHECK(WEXITSTATUS(*instance.exitStatus()) == 1);
}

TEST_CASE("balsamhook: SIGTERM before it listens ends it at once (guards against a process that has to be killed)")
{
    asio::io_context context;
    asio::ip::tcp::acceptor other(context, {asio::ip::make_address(Address), CallerPort});
    process instance;
    instance.writeSettings(validSettings());
    instance.start();
    REQUIRE(instance.waitForLog("node start_delayed"));
    instance.signal(SIGTERM);
    REQUIRE(waitUntil([&] { return instance.exitStatus().has_value(); }, 1s));
    CHECK(*instance.exitStatus() == 0);
}

TEST_CASE("balsamhook: SIGTERM twice beside SIGHUP ends it once, in order and within the grace period (guards against a stop that is cut short)")
{
    process instance;
    instance.writeSettings(validSettings());
    instance.start();
    REQUIRE(instance.waitForLog("node start "));
    const auto stoppedAt = std::chrono::steady_clock::now();
    for (const int number : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
        instance.signal(number);
        std::this_thread::sleep_for(50ms);
    }
    REQUIRE(waitUntil([&] { return instance.exitStatus().has_value(); }, 1500ms));
    CHECK(*instance.exitStatus() == 0);
    CHECK(std::chrono::steady_clock::now() - stoppedAt > 800ms);
    CHECK(instance.hasLogged("node exit in_flight=0"));
}

TEST_CASE("balsamhook: an empty chunked body in three segments is answered on each port (review case 6: one such request ended the process)")
{
    process instance;
    instance.writeSettings(validSettings());
    instance.start();
    REQUIRE(instance.waitForLog("node start "));
    const std::string header = "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::uint16_t port : {CallerPort, ReadinessPort, InternalPort, DirectoryPort}) {
        CAPTURE(port);
        const std::string whole = sendPieces(port, {header + "0\r\n\r\n"});
        CHECK(whole.find("HTTP/1.1 ") == 0);
        CHECK(sendPieces(port, {header, "0\r\n", "\r", "\n"}) == whole);
        REQUIRE_FALSE(instance.exitStatus().has_value());
    }
}
