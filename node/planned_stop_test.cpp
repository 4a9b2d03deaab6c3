#include <doctest/doctest.h>

#include "node/node_test_support.h"

#include <boost/asio/write.hpp>
#include <rapidcheck.h>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::uint16_t CallerPort = 18221;
constexpr std::chrono::milliseconds Grace{1200};
constexpr std::chrono::milliseconds LongTimeout{3000};

route makeRoute(const std::string &name, repeat_rule repeat)
{
    route created;
    created.name = name;
    created.host = "h";
    created.pathPrefix = "/" + name + "/";
    created.repeat = repeat;
    created.timeout = LongTimeout;
    created.objective = 200ms;
    created.maxAttempts = 2;
    created.destination = forward_destination{{{"s0", 1}}};
    return created;
}

/// A caller with one kept connection, driven by the event loop of the test.
class test_caller
{
public:
    explicit test_caller(asio::io_context &io)
        : m_socket(io)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), CallerPort});
        read();
    }

    void send(const std::string &path, const std::string &id)
    {
        write("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(LongTimeout.count()) + "\r\n\r\n");
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Status of the response; 0 while none has arrived.
    unsigned status() const
    {
        return received.size() < 12 ? 0 : static_cast<unsigned>(std::stoi(received.substr(9, 3)));
    }

    std::string received;
    boost::system::error_code closedWith; ///< Set once the connection has ended.

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](const boost::system::error_code &failed, std::size_t size) {
            received.append(m_buffer.data(), size);
            if (failed) {
                closedWith = failed;
                m_socket.close();
                return;
            }
            read();
        });
    }

    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
};

/// An instance's request path with one target, which responds after a delay, and its planned stop.
struct stop_fixture : node_fixture
{
    explicit stop_fixture(std::chrono::milliseconds responseDelay)
        : delay(responseDelay)
        , target(io,
                 timers,
                 "t0",
                 [this](const fake_target::pointer &connection, const http_message &message) {
                     timers.start(steady::now() + delay, [connection, message] { respondSigned(connection, message, "sig0", "done"); });
                 })
        , callers(context, pool)
        , stop(context, callers, {[] { return 30ms; }, [this] { finishedAfter = steady::now() - stoppedAt; }})
    {
        settings.callers = {"127.0.0.1", CallerPort};
        registered_target registration = target.registration("s0");
        registration.slots = 8;
        add(registration);
        callers.setRequestListener([] {});
        callers.setConfiguration(std::make_shared<const routing_configuration>(
            1,
            std::vector<route>{makeRoute("read", repeat_rule::Idempotent), makeRoute("credit", repeat_rule::NonIdempotent)},
            std::unordered_map<std::string, service_settings>{},
            caller_limits{}));
        REQUIRE(callers.listen().has_value());
    }

    ~stop_fixture()
    {
        runUntil([this] { return finishedAfter.has_value(); }, Grace * 2);
    }

    void startStop()
    {
        stoppedAt = steady::now();
        stop.start(Grace);
    }

    void runUntilAfterStop(std::chrono::milliseconds offset)
    {
        runFor(std::chrono::duration_cast<std::chrono::milliseconds>(stoppedAt + offset - steady::now()));
    }

    /// Runs until the process would exit, and then just long enough to read what was written before.
    void runUntilFinished()
    {
        REQUIRE(runUntil([this] { return finishedAfter.has_value(); }));
        runFor(10ms);
    }

    std::chrono::milliseconds delay;
    fake_target target;
    caller_service callers;
    steady::time_point stoppedAt{};
    std::optional<steady::duration> finishedAfter;
    planned_stop stop;
};

stop_plan::request arbitraryRequest(steady::time_point now)
{
    return {now + std::chrono::milliseconds(*rc::gen::inRange(1, 20000)), std::chrono::milliseconds(*rc::gen::inRange(0, 5000)), *rc::gen::arbitrary<bool>()};
}

} // namespace

TEST_CASE("stop_plan: what is admitted late ends within the grace period or may be repeated (guards against requests cut by the end of the process)")
{
    const bool holds = rc::check([] {
        const steady::time_point stoppedAt{std::chrono::seconds(1000)};
        const std::chrono::milliseconds grace(*rc::gen::inRange(0, 30000));
        const stop_plan plan(stoppedAt, grace);
        RC_ASSERT(stoppedAt <= plan.idleCloseAt());
        RC_ASSERT(plan.idleCloseAt() <= plan.finalResponseAt());
        RC_ASSERT(plan.finalResponseAt() <= plan.exitAt());
        RC_ASSERT(plan.exitAt() <= stoppedAt + grace);
        const steady::time_point now = stoppedAt + std::chrono::milliseconds(*rc::gen::inRange(0, 30000));
        const stop_plan::request arriving = arbitraryRequest(now);
        const bool endsInTime = arriving.deadline <= plan.finalResponseAt();
        const bool isEarly = now < stoppedAt + grace / 2;
        const bool isExpectedInTime = arriving.isIdempotent && now + arriving.expectedDuration <= plan.finalResponseAt();
        RC_ASSERT(!plan.admits(now, arriving) || isEarly || endsInTime || isExpectedInTime);
        RC_ASSERT(plan.admits(now, arriving) || !(isEarly || endsInTime));
    });
    CHECK(holds);
}

TEST_CASE("planned_stop: a late request that may outlast the grace period and must not be repeated is refused as not run (review/4: passed on and cut)")
{
    stop_fixture fixture(800ms);
    test_caller late(fixture.io);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace * 6 / 10);
    late.send("/credit/x", "late");
    REQUIRE(fixture.runUntil([&] { return late.closedWith.failed(); }));
    CHECK(late.status() == 503);
    CHECK(late.received.find("Retry-After: 0.030") != std::string::npos);
    CHECK(late.received.find("Connection: close") != std::string::npos);
    CHECK(fixture.target.received.empty());
}

TEST_CASE("planned_stop: a request that is still in flight shortly before the end is answered (guards against connections that end without an answer)")
{
    stop_fixture fixture(5000ms);
    test_caller early(fixture.io);
    test_caller duringStop(fixture.io);
    early.send("/credit/x", "early");
    fixture.runFor(100ms);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace / 10);
    duringStop.send("/read/x", "during");
    fixture.runUntilFinished();
    CHECK(early.status() == 504);
    CHECK(duringStop.status() == 504);
    CHECK(*fixture.finishedAfter > Grace * 8 / 10);
    CHECK(*fixture.finishedAfter < Grace);
}

TEST_CASE("planned_stop: responses that arrive late in the grace period are delivered (review/4: the process ended 0.4 s before the platform killed it)")
{
    stop_fixture fixture(Grace * 78 / 100);
    test_caller caller(fixture.io);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace / 10);
    caller.send("/credit/x", "slow");
    fixture.runUntilFinished();
    CHECK(caller.status() == 200);
}

TEST_CASE("planned_stop: a short idempotent request is run until shortly before the end (guards against refusals while no other instance may serve)")
{
    stop_fixture fixture(5ms);
    test_caller caller(fixture.io);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace * 6 / 10);
    caller.send("/read/x", "short");
    REQUIRE(fixture.runUntil([&] { return caller.closedWith.failed(); }));
    CHECK(caller.status() == 200);
}

TEST_CASE("planned_stop: ends soon after idle connections are closed, and a second signal changes nothing (guards against a late or repeated stop)")
{
    stop_fixture fixture(5ms);
    test_caller idle(fixture.io);
    fixture.runFor(50ms);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace / 4);
    fixture.stop.start(Grace * 10);
    REQUIRE(fixture.runUntil([&] { return fixture.finishedAfter.has_value(); }));
    CHECK(fixture.runUntil([&] { return idle.closedWith.failed(); }, 100ms));
    CHECK(*fixture.finishedAfter < Grace * 3 / 4);
}

TEST_CASE("planned_stop: a request that was sent before idle connections are closed is answered (guards against requests that are read and dropped)")
{
    stop_fixture fixture(5ms);
    test_caller caller(fixture.io);
    fixture.runFor(50ms);
    fixture.startStop();
    fixture.runUntilAfterStop(Grace / 2);
    caller.send("/read/x", "crossing");
    fixture.callers.closeIdleConnections();
    REQUIRE(fixture.runUntil([&] { return caller.closedWith.failed(); }));
    CHECK(caller.status() == 200);
}

TEST_CASE("planned_stop: a request that crosses the close of its connection gets a reset (a caller could not know that it was dropped unread)")
{
    stop_fixture fixture(5ms);
    test_caller caller(fixture.io);
    fixture.runFor(50ms);
    fixture.startStop();
    fixture.callers.closeIdleConnections();
    caller.send("/credit/x", "crossing");
    caller.send("/credit/x", "crossing");
    REQUIRE(fixture.runUntil([&] { return caller.closedWith.failed(); }));
    CHECK(caller.received.empty());
    CHECK(fixture.target.received.empty());
    CHECK(fixture.callers.connections() == 0);
}

TEST_CASE("planned_stop: a request that is partly received when idle connections are closed is completed (an interim response ended its connection)")
{
    stop_fixture fixture(5ms);
    test_caller caller(fixture.io);
    fixture.startStop();
    caller.write("POST /credit/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 100\r\n");
    fixture.runFor(50ms);
    fixture.callers.closeIdleConnections();
    caller.write("Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return !caller.received.empty(); }));
    caller.write("body");
    REQUIRE(fixture.runUntil([&] { return caller.closedWith.failed(); }));
    CHECK(caller.received.find("HTTP/1.1 100 Continue") == 0);
    CHECK(caller.received.find("HTTP/1.1 200 OK") != std::string::npos);
}
