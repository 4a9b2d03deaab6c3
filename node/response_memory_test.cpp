#include <doctest/doctest.h>

#include "node/forward_request.h"
#include "node/node_test_support.h"

#include <boost/asio/write.hpp>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A target in a thread of its own that answers each request with the head, and then with the same bytes again and again up to a size, and ends no response.
class endless_target
{
public:
    endless_target(std::string head, std::string repeated, std::size_t bytes)
        : m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_port(m_acceptor.local_endpoint().port())
        , m_head(std::move(head))
        , m_bytes(bytes)
    {
        while (m_repeated.size() < 64 * 1024) {
            m_repeated += repeated;
        }
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~endless_target()
    {
        m_io.stop();
        m_thread.join();
    }

    /// Returns the registration of one of several targets at the address, which each get a few requests at a time.
    registered_target registration(const std::string &service, std::size_t number) const
    {
        registered_target target;
        target.id = "endless" + std::to_string(number);
        target.service = service;
        target.address = {"127.0.0.1", m_port};
        target.dataCentre = "dc1";
        target.slots = 4;
        return target;
    }

private:
    struct session
    {
        explicit session(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::array<char, 4096> request{};
        std::size_t written = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &failed, tcp::socket socket) {
            if (failed) {
                return;
            }
            const auto opened = std::make_shared<session>(std::move(socket));
            opened->socket.async_read_some(asio::buffer(opened->request), [this, opened](const boost::system::error_code &closed, std::size_t) {
                if (!closed) {
                    asio::async_write(opened->socket, asio::buffer(m_head), [this, opened](const boost::system::error_code &, std::size_t) { write(opened); });
                }
            });
            accept();
        });
    }

    void write(const std::shared_ptr<session> &opened)
    {
        asio::async_write(opened->socket, asio::buffer(m_repeated), [this, opened](const boost::system::error_code &failed, std::size_t size) {
            opened->written += size;
            if (failed) {
                return;
            }
            if (opened->written < m_bytes) {
                write(opened);
                return;
            }
            // The connection stays open, and the response incomplete.
            opened->socket.async_read_some(asio::buffer(opened->request), [opened](const boost::system::error_code &, std::size_t) {});
        });
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::string m_head;
    std::string m_repeated;
    std::size_t m_bytes;
    std::thread m_thread;
};

/// Memory of this process that is resident, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

struct single_request
{
    single_request(node_fixture &fixture, const std::string &service, const std::string &id)
        : m_statistics{latency_window(8ms), unqueued_latency(8ms), 2000ms}
    {
        route matched;
        matched.name = "f";
        matched.repeat = repeat_rule::NonIdempotent;
        matched.timeout = 4000ms;
        matched.objective = 2000ms;
        matched.maxAttempts = 1;
        matched.destination = forward_destination{{{service, 1}}};
        http_message message;
        message.method = "GET";
        message.target = "/a/b";
        message.fields = {{"Host", "h"}, {"Request-Id", id}};
        incoming_request request;
        request.configuration = std::make_shared<const routing_configuration>(
            5, std::vector<route>{std::move(matched)}, std::unordered_map<std::string, service_settings>{}, caller_limits{});
        request.matched = &request.configuration->routes().front();
        request.outgoing = std::make_shared<const outgoing_request>(message);
        request.arrivedAt = std::chrono::steady_clock::now();
        request.deadline = request.arrivedAt + request.matched->timeout;
        request.responseDeadline = request.deadline;
        request.objectiveDeadline = request.arrivedAt + request.matched->objective;
        m_forward = std::make_shared<forward_request>(
            fixture.context, fixture.pool, m_statistics, request, [this](request_outcome, const caller_response &sent) { status = sent.status; });
        m_forward->start();
    }

    unsigned status = 0; ///< 0 until the response.

private:
    route_statistics m_statistics;
    std::shared_ptr<forward_request> m_forward;
};

} // namespace

TEST_CASE("the limits of connections and responses fit machines of any size (the ports together let in more connections than a machine has descriptors)")
{
    for (std::size_t descriptors = 300; descriptors <= 20000; descriptors += 100) {
        platform_settings settings;
        settings.descriptors = descriptors;
        CAPTURE(descriptors);
        constexpr std::size_t FileDescriptors = 200;
        const std::size_t connections = connectionLimits(settings).connections;
        // Some are left for targets, the store and other instances.
        CHECK(connections + FileDescriptors + descriptors / 30 < descriptors);
        CHECK(connections * 8 >= descriptors);
    }
    for (const std::size_t megabytes : {64U, 160U, 260U, 512U}) {
        platform_settings settings;
        settings.memoryBytes = megabytes * 1024 * 1024;
        const std::size_t connectionBytes = connectionLimits(settings).bytes;
        const std::size_t responseBytes = settings.memoryBytes / ResponseMemoryDivisor + settings.memoryBytes / StoreMemoryDivisor;
        // A growing buffer takes half as much again.
        CHECK(connectionBytes + responseBytes * 3 / 2 < settings.memoryBytes * 3 / 4);
    }
}

TEST_CASE(
    "responses without end from a faulty target don't fill the memory, and others are served meanwhile (a machine ran out of memory and lost all requests)")
{
    constexpr std::size_t Requests = 40;
    constexpr std::size_t BytesPerResponse = 12 * 1024 * 1024; // Below the limit of one response.
    constexpr std::size_t SmallestMachineBytes = 160 * 1024 * 1024;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string stamp = "Server-Stamp: s\r\n";
    const std::vector<std::pair<std::string, std::string>> kinds{
        {status + stamp + "Content-Length: 16000000\r\n\r\n", "x"},
        {status + stamp + "\r\n", "x"},
        {status + stamp + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(0x400, 'x') + "\r\n"},
        {status, "a:\r\n"},
        {"", "x"},
    };
    for (const auto &[head, repeated] : kinds) {
        CAPTURE(head);
        CAPTURE(repeated.substr(0, 5));
        node_fixture fixture;
        endless_target faulty(head, repeated, BytesPerResponse);
        fake_target sound(fixture.io, fixture.timers, "sound", [](const fake_target::pointer &connection, const http_message &request) {
            respondSigned(connection, request, "sig", std::string(1000, 'y'));
        });
        for (std::size_t i = 0; i < Requests / 4; ++i) {
            fixture.add(faulty.registration("s0", i));
        }
        fixture.add(sound.registration("s1"));
        const std::size_t before = residentBytes();
        std::size_t most = before;
        std::vector<std::unique_ptr<single_request>> endless;
        endless.reserve(Requests);
        for (std::size_t i = 0; i < Requests; ++i) {
            endless.push_back(std::make_unique<single_request>(fixture, "s0", "r" + std::to_string(i)));
        }
        for (int i = 0; i < 20; ++i) {
            single_request served(fixture, "s1", "sound" + std::to_string(i));
            CHECK(fixture.runUntil(
                [&] {
                    most = std::max(most, residentBytes());
                    return served.status != 0;
                },
                2s));
            CHECK(served.status == 200);
            fixture.runUntil(
                [&] {
                    most = std::max(most, residentBytes());
                    return false;
                },
                20ms);
        }
        CHECK(fixture.metrics.text().find(head.find("\r\n\r\n") == std::string::npos ? "attempts_total" : "responses_without_room_total") != std::string::npos);
        // Half of the machine is left for everything else.
        CHECK(most - before < SmallestMachineBytes / 2);
        CHECK(fixture.runUntil([&] { return std::all_of(endless.begin(), endless.end(), [](const auto &request) { return request->status != 0; }); }, 6s));
        // Only after the responses have ended can they be told from slow ones.
        for (const auto &request : endless) {
            CHECK((request->status == 502 || request->status == 504 || request->status == 503));
        }
    }
}
