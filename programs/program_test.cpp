#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "programs/program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

/// A controller that sends the given messages to each program that connects.
class fake_controller
{
public:
    explicit fake_controller(asio::io_context &context)
        : m_server(context, m_limits, 4, m_metrics, [this](frame_connection::pointer connection) { return serve(std::move(connection)); })
    {
        REQUIRE(m_server.listen(Address).has_value());
    }

    static inline const endpoint Address{"127.0.0.1", 17993};
    std::vector<message> messages;
    std::vector<program_status> statuses;
    std::size_t connections = 0;
    bool closeAfterFirstStatus = false;

private:
    asio::awaitable<void> serve(frame_connection::pointer connection)
    {
        ++connections;
        for (const message &next : messages) {
            CHECK(connection->send(next).has_value());
        }
        while (true) {
            auto received = co_await connection->receive();
            if (!received) {
                co_return;
            }
            if (const auto *status = std::get_if<program_status>(&received.value())) {
                statuses.push_back(*status);
                if (closeAfterFirstStatus) {
                    co_return;
                }
            }
        }
    }

    frame_limits m_limits;
    counters m_metrics;
    frame_server m_server;
};

control_state stateOf(std::uint64_t revision)
{
    control_state state;
    state.configurationRevision = revision;
    return state;
}

struct program_fixture
{
    /// Runs until the condition holds, for at most five seconds, so that a slow machine doesn't fail the test.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = boot_clock::now() + std::chrono::seconds(5);
        while (!condition() && boot_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    asio::io_context context;
    counters metrics;
    std::vector<std::uint64_t> revisions;
    fake_controller controller{context};
    control_client client{context,
                          fake_controller::Address,
                          hello{"i1", "inc", program_role::Front, "dc1"},
                          metrics,
                          {[this](const control_state &state) { revisions.push_back(state.configurationRevision); },
                           [this] {
                               program_status status;
                               status.appliedRevision = revisions.empty() ? 0 : revisions.back();
                               return status;
                           }}};
};

} // namespace

TEST_CASE("control_client: an older or unchanged state is not applied")
{
    program_fixture fixture;
    fixture.controller.messages = {stateOf(5), stateOf(4), stateOf(5), stateOf(6)};
    fixture.client.start();
    CHECK(fixture.runUntil([&] { return !fixture.controller.statuses.empty() && fixture.controller.statuses.back().appliedRevision == 6; }));
    CHECK(fixture.revisions == std::vector<std::uint64_t>{5, 6});
}

TEST_CASE("control_client: the entitlement expires when the controller sends nothing")
{
    program_fixture fixture;
    const auto until = boot_clock::now() + std::chrono::seconds(1);
    fixture.controller.messages = {entitlement{toNanoseconds(until), 0}};
    CHECK_FALSE(fixture.client.isEntitled());
    fixture.client.start();
    CHECK(fixture.runUntil([&] { return fixture.client.isEntitled(); }));
    CHECK_FALSE(fixture.client.mayAccept());
    CHECK(fixture.runUntil([&] { return !fixture.client.isEntitled(); }));
    CHECK(boot_clock::now() >= until);
}

TEST_CASE("control_client: the last state stays in use while the client reconnects")
{
    program_fixture fixture;
    fixture.controller.messages = {stateOf(3)};
    fixture.controller.closeAfterFirstStatus = true;
    fixture.client.start();
    CHECK(fixture.runUntil([&] { return fixture.controller.connections >= 2 && fixture.client.state() != nullptr; }));
    CHECK(fixture.client.state()->configurationRevision == 3);
}

TEST_CASE("instance_settings: the member entry contains the advertised address")
{
    instance_settings values;
    values.listenAddress = "127.10.1.1";
    CHECK(values.memberEntry().frontEndpoint == "127.10.1.1:8080");
    values.advertiseAddress = "127.20.1.1";
    CHECK(values.memberEntry().dispatchEndpoint == "127.20.1.1:7001");
    CHECK(describe(values.listenEndpoint(values.controlPort)) == "127.10.1.1:7002");
}

TEST_CASE("adminResponse: admin paths have a response, other paths have none")
{
    counters metrics;
    span_store spans(1);
    http_request request;
    request.path = "/healthz";
    CHECK(adminResponse(request, metrics, spans, false)->status == 503);
    request.path = "/v1/spans";
    CHECK(adminResponse(request, metrics, spans, true)->status == 400);
    request.path = "/v1/query";
    CHECK_FALSE(adminResponse(request, metrics, spans, true).has_value());
}
