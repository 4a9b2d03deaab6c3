/// Crowds of clients that don't behave, against the program as a process of its own. What is checked doesn't depend on the speed of the machine: the process
/// lives, its memory and its sockets stay within the machine of its settings, and an ordinary client is served while the crowd is there.

#include <doctest/doctest.h>

#include "http/http.h"
#include "programs/client_crowd.h"
#include "programs/process_test_support.h"
#include "standins/metadata_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <sstream>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace
{

constexpr const char *Address = "127.81.0.1";
constexpr std::uint16_t CallerPort = 18404;
constexpr std::uint16_t ReadinessPort = 18408;
constexpr std::uint16_t InternalPort = 18406;
constexpr std::uint16_t DirectoryPort = 18400;
constexpr std::uint16_t StorePort = 18402;
constexpr std::uint16_t TargetPort = 18500;

constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t MachineBytes = 64 * Megabyte;
constexpr std::size_t ReservedDescriptors = 200; // Of the machine's, for files.
constexpr std::size_t ManyDescriptors = 2000;
constexpr std::size_t FewDescriptors = 400;
constexpr std::size_t Clients = 150;
constexpr std::size_t ManyClients = 300; // Where a client holds less.
constexpr std::size_t OtherRoutes = 1000;
constexpr std::size_t BodyBytes = 900 * 1000;
constexpr std::size_t MaxHeaderBytes = 512 * 1024;
constexpr std::size_t Shards = 4;
constexpr std::size_t PartBytes = 256 * 1024;
constexpr std::size_t MergedBytes = Shards * PartBytes;
constexpr std::size_t RecordBytes = 16;
constexpr std::chrono::seconds CrowdTime{3};

std::string settingsOf(std::size_t descriptors)
{
    std::ostringstream text;
    const auto at = [](std::uint16_t port) { return "=" + std::string(Address) + ":" + std::to_string(port) + "\n"; };
    text << "NodeName=i1\nIp=" << Address << "\nZone=dc1\nRegion=r\nZones.dc1=r\nEndpoints.Front" << at(CallerPort) << "Endpoints.Readiness"
         << at(ReadinessPort) << "Endpoints.Control" << at(InternalPort) << "Endpoints.directory" << at(DirectoryPort)
         << "InternalPorts=18480,18495\nplatform.Address" << at(StorePort)
         << "Bounds.GraceS=1.5\nBounds.ttl_max_s=5\nLimits.MemoryMb=64\nLimits.MaxFds=" << descriptors << "\n";
    return text.str();
}

/// The store and one target for each service, in a thread of their own. The last segment of a request's path is the size of the body of the response; the
/// target of one service never responds.
class standin_services
{
public:
    standin_services()
        : m_timers(m_io)
        , m_store(m_io, m_timers)
        , m_acceptor(m_io, {asio::ip::make_address(Address), TargetPort})
    {
        REQUIRE(m_store.listen({Address, StorePort}).has_value());
        m_store.put("config", "main", configuration());
        add("whole");
        add("hanging");
        for (std::size_t i = 0; i < Shards; ++i) {
            add("part" + std::to_string(i));
        }
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~standin_services()
    {
        m_io.stop();
        m_thread.join();
        for (const caller_connection::pointer &connection : std::exchange(m_connections, {})) {
            connection->close();
        }
    }

private:
    static json configuration()
    {
        const json base{{"Host", "h"}, {"RouteType", "idempotent"}, {"TimeoutMs", 4000}, {"SloMs", 2000}, {"Priority", 1}, {"MaxAttempts", 1}};
        json whole = base;
        whole.update({{"Name", "whole"}, {"PathPrefix", "/whole/"}, {"Service", "whole"}});
        json merged = base;
        merged.update({{"Name", "merged"}, {"PathPrefix", "/merged/"}, {"TopK", MergedBytes / RecordBytes}, {"MinCoverage", 1.0}});
        json hanging = base;
        hanging.update({{"Name", "hanging"}, {"PathPrefix", "/hanging/"}, {"RouteType", "non_idempotent"}, {"Service", "hanging"}});
        json services = json::array({service("whole"), service("hanging")});
        for (std::size_t i = 0; i < Shards; ++i) {
            merged["Gather"].push_back("part" + std::to_string(i));
            services.push_back(service("part" + std::to_string(i)));
        }
        const json limits{{"MaxHeaderBytes", MaxHeaderBytes}, {"MaxBodyBytes", Megabyte}, {"HeaderTimeoutMs", 4000}, {"IdleTimeoutMs", 30000}};
        json routes = json::array({whole, merged, hanging});
        for (std::size_t i = 0; i < OtherRoutes; ++i) {
            json other = whole;
            other.update({{"Name", "other" + std::to_string(i)}, {"PathPrefix", "/other" + std::to_string(i) + "/"}});
            routes.push_back(other);
        }
        return {{"Version", 1}, {"Routes", routes}, {"Services", services}, {"Limits", limits}};
    }

    static json service(const std::string &name)
    {
        return {{"Name", name}, {"HealthPath", "/health"}, {"MaxConns", 400}, {"WarmupS", 0}, {"WarmupPerS", 0}};
    }

    void add(const std::string &name)
    {
        m_store.put("servers",
                    "t-" + name,
                    json{{"Service", name},
                         {"Address", std::string(Address) + ":" + std::to_string(TargetPort)},
                         {"Zone", "dc1"},
                         {"Version", "v1"},
                         {"Slots", 50},
                         {"State", "ready"},
                         {"WarmupLeftMs", 0},
                         {"Sequence", 1},
                         {"born", unixTime().count()}});
    }

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &failed, tcp::socket socket) {
            if (failed) {
                return;
            }
            caller_connection::handlers handlers;
            handlers.onRequest = [](const caller_connection::pointer &connection, const http_message &message) { respond(connection, message); };
            handlers.onDisconnected = [](const caller_connection::pointer &) {};
            handlers.onClosed = [this](const caller_connection::pointer &connection) { m_connections.erase(connection); };
            handlers.onRejected = [](unsigned) {};
            caller_connection::settings values;
            values.limits = {MaxHeaderBytes * 2, 2 * Megabyte};
            const auto connection = std::make_shared<caller_connection>(std::move(socket), m_timers, values, std::move(handlers));
            m_connections.insert(connection);
            connection->start();
            accept();
        });
    }

    static void respond(const caller_connection::pointer &connection, const http_message &request)
    {
        if (request.target.rfind("/hanging/", 0) == 0) {
            return;
        }
        const std::string *id = request.find("Request-Id");
        const std::string *target = request.find("Expected-Instance");
        caller_response response;
        response.fields = {{"Request-Id", id == nullptr ? "" : *id}, {"Server-Stamp", (target == nullptr ? "" : *target) + "." + (id == nullptr ? "" : *id)}};
        response.body.assign(std::stoul(request.target.substr(request.target.rfind('/') + 1)), 'x');
        connection->respond(response, false);
    }

    asio::io_context m_io{1};
    timer_queue m_timers;
    metadata_service m_store;
    tcp::acceptor m_acceptor;
    std::set<caller_connection::pointer> m_connections;
    std::thread m_thread;
};

bool isPortOfInstance(std::size_t port)
{
    return port == CallerPort || port == ReadinessPort || port == InternalPort || port == DirectoryPort;
}

/// Bytes that the instance's connections have received and the process hasn't read.
std::size_t unreadBytes()
{
    constexpr const char *LocalAddress = "0100517F"; // 127.81.0.1
    constexpr const char *Established = "01";
    constexpr int Hexadecimal = 16;
    std::size_t bytes = 0;
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line); // Names of the columns.
    while (std::getline(sockets, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // To be sent, and received.
        columns >> number >> local >> remote >> state >> queues;
        const std::size_t colon = local.find(':');
        if (state == Established && local.substr(0, colon) == LocalAddress && isPortOfInstance(std::stoul(local.substr(colon + 1), nullptr, Hexadecimal))) {
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, Hexadecimal);
        }
    }
    return bytes;
}

/// Memory of the process as the platform counts it.
std::size_t memoryOf(pid_t process)
{
    std::ifstream statistics("/proc/" + std::to_string(process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) + unreadBytes();
}

std::size_t descriptorsOf(pid_t process)
{
    std::error_code ignored;
    std::size_t count = 0;
    for ([[maybe_unused]] const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", ignored)) {
        ++count;
    }
    return count;
}

/// The program under test with its stand-ins.
class instance_fixture
{
public:
    explicit instance_fixture(std::size_t descriptors = ManyDescriptors)
        : m_descriptors(descriptors)
    {
        m_process.writeSettings(settingsOf(descriptors));
        m_process.start(descriptors);
        // Another process at the addresses would be tested in its place.
        REQUIRE(m_process.waitForLog("node start "));
        REQUIRE(waitUntil([this] { return fetchBody(ReadinessPort, "/v1/ready").has_value(); }, 10s));
        REQUIRE(waitUntil([this] { return isServed("/whole/10", 10); }, 10s));
    }

    /// Lets the crowd act for a while and checks what must hold meanwhile and then.
    void check(const std::vector<client_behaviour> &behaviours, std::size_t ordinaryBytes = 1000)
    {
        const client_crowd crowd(Address, behaviours);
        std::size_t mostMemory = 0;
        std::size_t mostUnread = 0;
        std::size_t mostDescriptors = 0;
        const bool hasEnded = waitUntil(
            [&] {
                mostMemory = std::max(mostMemory, memoryOf(m_process.id()));
                mostUnread = std::max(mostUnread, unreadBytes());
                mostDescriptors = std::max(mostDescriptors, descriptorsOf(m_process.id()));
                return m_process.exitStatus().has_value();
            },
            CrowdTime);
        CHECK_FALSE(hasEnded);
        MESSAGE("most memory " << mostMemory / 1024 << " kB, most unread " << mostUnread / 1024 << " kB, most descriptors " << mostDescriptors);
        CHECK(mostMemory < MachineBytes);
        CHECK(mostDescriptors <= m_descriptors - ReservedDescriptors);
        checkOrdinaryClients(ordinaryBytes);
    }

    void checkOrdinaryClients(std::size_t bytes)
    {
        CHECK(isServed("/whole/" + std::to_string(bytes), bytes));
        const std::size_t partBytes = bytes / Shards / RecordBytes * RecordBytes; // Whole records.
        CHECK(isServed("/merged/" + std::to_string(partBytes), partBytes * Shards));
        CHECK(fetchBody(DirectoryPort, "/v1/resolve").has_value());
        CHECK(fetchBody(ReadinessPort, "/v1/ready").has_value());
        CHECK(fetchBody(InternalPort, "/metrics").has_value());
        CHECK_FALSE(m_process.exitStatus().has_value());
    }

    /// Returns whether an ordinary client gets the whole answer.
    bool isServed(const std::string &path, std::size_t bytes)
    {
        const auto body = fetchBody(CallerPort, path);
        return body && body->size() == bytes;
    }

    std::size_t memory() const
    {
        return memoryOf(m_process.id());
    }

private:
    http_request makeRequest(const std::string &path)
    {
        http_request request;
        request.path = path;
        if (path == "/v1/resolve") {
            request.query = {{"Name", "h"}, {"Region", "r"}, {"Zone", "dc1"}};
        }
        request.headers = {{"host", "h"}, {"request-id", "ordinary" + std::to_string(++m_requests)}, {"deadline-ms", "4000"}};
        return request;
    }

    static asio::awaitable<void> fetchInto(std::optional<std::string> &body, endpoint peer, http_request request)
    {
        const auto response = co_await fetch(std::move(peer), std::string(), std::move(request), 5s);
        if (response && response.value().status == 200) {
            body = response.value().body;
        }
    }

    /// Sends a request as an ordinary client does, which tries again twice. Returns the body of a success.
    std::optional<std::string> fetchBody(std::uint16_t port, const std::string &path)
    {
        constexpr int Attempts = 3;
        std::optional<std::string> body;
        for (int i = 0; i < Attempts && !body; ++i) {
            asio::io_context io;
            asio::co_spawn(io, fetchInto(body, {Address, port}, makeRequest(path)), asio::detached);
            io.run();
        }
        return body;
    }

    standin_services m_services;
    process m_process;
    std::size_t m_descriptors;
    unsigned m_requests = 0;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\n\r\n";
}

std::string post(const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\n" + fields + "\r\n";
}

client_behaviour unfinishedBody(std::uint16_t port)
{
    return {port, Clients, post("/whole/10", "Content-Length: 1000000\r\n"), "x", BodyBytes};
}

client_behaviour pipelining(std::uint16_t port, const std::string &path)
{
    return {port, ManyClients, "", get(path), 16 * Megabyte};
}

} // namespace

// Run by ctest one at a time, apart from other tests.
TEST_SUITE("clients" * doctest::skip())
{
    TEST_CASE("slow_readers_of_whole_answers")
    {
        instance_fixture fixture;
        client_behaviour slow{CallerPort, Clients, get("/whole/1000000")};
        slow.isReading = true;
        fixture.check({slow}, 600000);
    }

    TEST_CASE("slow_readers_of_whole_answers_with_close")
    {
        instance_fixture fixture;
        const std::string request = "GET /whole/1000000 HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\nConnection: close\r\n\r\n";
        client_behaviour slow{CallerPort, Clients, request};
        slow.isReading = true;
        fixture.check({slow}, 600000);
    }

    TEST_CASE("slow_readers_of_merged_answers")
    {
        instance_fixture fixture;
        client_behaviour slow{CallerPort, Clients, get("/merged/" + std::to_string(PartBytes))};
        slow.isReading = true;
        fixture.check({slow}, 600000);
    }

    TEST_CASE("slow_readers_of_many_merged_answers")
    {
        instance_fixture fixture;
        client_behaviour slow{CallerPort, 2 * ManyClients, get("/merged/" + std::to_string(PartBytes / 4))};
        slow.isReading = true;
        fixture.check({slow}, 600000);
    }

    TEST_CASE("unfinished_bodies_from_callers")
    {
        instance_fixture fixture;
        fixture.check({unfinishedBody(CallerPort)});
    }

    TEST_CASE("unfinished_bodies_to_directory")
    {
        instance_fixture fixture;
        fixture.check({unfinishedBody(DirectoryPort)});
    }

    TEST_CASE("unfinished_bodies_to_readiness")
    {
        instance_fixture fixture;
        fixture.check({unfinishedBody(ReadinessPort)});
    }

    TEST_CASE("unfinished_bodies_to_control")
    {
        instance_fixture fixture;
        fixture.check({unfinishedBody(InternalPort)});
    }

    TEST_CASE("slow_chunks")
    {
        instance_fixture fixture;
        const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
        fixture.check({{CallerPort, Clients, post("/whole/10", "Transfer-Encoding: chunked\r\n"), chunk, BodyBytes, 20ms}});
    }

    TEST_CASE("endless_chunk_extensions_and_trailers")
    {
        instance_fixture fixture;
        const std::string head = post("/whole/10", "Transfer-Encoding: chunked\r\n");
        fixture.check({{CallerPort, ManyClients, head + "5;", "x", 16 * Megabyte}, {CallerPort, ManyClients, head + "0\r\n", "a: b\r\n", 16 * Megabyte}});
    }

    TEST_CASE("unfinished_heads")
    {
        instance_fixture fixture;
        fixture.check({{CallerPort, ManyClients, "GET /whole/10 HTTP/1.1\r\nHost: h\r\n", "a: b\r\n", MaxHeaderBytes - 1000}});
    }

    TEST_CASE("unfinished_lines_of_heads")
    {
        instance_fixture fixture;
        fixture.check({{CallerPort, 2 * ManyClients, "GET /whole/10 HTTP/1.1\r\nHost: h\r\na: ", "x", 16 * Megabyte}});
    }

    TEST_CASE("whole_bodies_to_queries")
    {
        instance_fixture fixture;
        const std::string head = post("/merged/16", "Content-Length: " + std::to_string(BodyBytes) + "\r\n");
        fixture.check({{CallerPort, Clients, head, std::string(BodyBytes, 'x'), BodyBytes}});
    }

    TEST_CASE("bodies_of_clients_that_leave")
    {
        instance_fixture fixture;
        client_behaviour leaving{CallerPort, Clients, post("/hanging/10", "Content-Length: " + std::to_string(BodyBytes) + "\r\n")};
        leaving.repeated = std::string(BodyBytes, 'x');
        leaving.repeatedBytes = BodyBytes;
        leaving.isLeaving = true;
        fixture.check({leaving});
    }

    TEST_CASE("pipelining_without_reading")
    {
        instance_fixture fixture;
        fixture.check({pipelining(CallerPort, "/whole/1000")});
    }

    TEST_CASE("pipelining_refused_requests_without_reading")
    {
        instance_fixture fixture;
        fixture.check({pipelining(CallerPort, "/nowhere")});
    }

    TEST_CASE("pipelining_to_directory_readiness_and_control_without_reading")
    {
        instance_fixture fixture;
        fixture.check({pipelining(DirectoryPort, "/v1/resolve"), pipelining(ReadinessPort, "/v1/ready"), pipelining(InternalPort, "/metrics")});
    }

    TEST_CASE("slow_readers_of_the_catalogue")
    {
        instance_fixture fixture;
        client_behaviour slow = pipelining(InternalPort, "/internal/catalogue");
        slow.isReading = true;
        fixture.check({slow});
    }

    TEST_CASE("idle_connections_on_all_ports")
    {
        instance_fixture fixture(FewDescriptors);
        std::vector<client_behaviour> idle;
        for (const std::uint16_t port : {CallerPort, DirectoryPort, ReadinessPort, InternalPort}) {
            idle.push_back({port, Clients, ""});
        }
        fixture.check(idle);
    }

    TEST_CASE("slow_heads_on_all_ports")
    {
        instance_fixture fixture(FewDescriptors);
        std::vector<client_behaviour> slow;
        for (const std::uint16_t port : {CallerPort, DirectoryPort, ReadinessPort, InternalPort}) {
            slow.push_back({port, Clients, "GET / HTTP/1.1\r\n"});
        }
        fixture.check(slow);
    }

    TEST_CASE("one_large_answer_alone_is_served")
    {
        constexpr std::size_t LargeBytes = 5 * Megabyte;
        instance_fixture fixture;
        CHECK(fixture.isServed("/whole/" + std::to_string(LargeBytes), LargeBytes));
        CHECK(fixture.isServed("/merged/" + std::to_string(PartBytes), MergedBytes));
        CHECK(fixture.memory() < MachineBytes);
    }
}
