#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/coroutine_test_support.h"
#include "wire/wire.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <random>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

sub_query_batch exampleBatch()
{
    sub_query_batch batch;
    batch.queryId = "q1";
    batch.service = "station-finder";
    batch.pinned = {2, 7};
    batch.remainingMicroseconds = 260000;
    batch.text = "lavender";
    batch.limit = 10;
    batch.items = {{1, "a", "0"}, {2, "b", "1"}};
    return batch;
}

std::vector<message> examples()
{
    sub_response response;
    response.attemptId = 9;
    response.ended = outcome::Answered;
    response.hits = "[]";
    response.report.snapshots = {{1, 2}};
    gossip datagram;
    datagram.rumours = {{"i1", "inc", member_state::Suspect, 4}};
    datagram.quarantined = {{77, 1000}};
    control_state state;
    state.members = {member_entry{}};
    state.owners = {{"t", "i1"}};
    return {hello{"i1", "inc", program_role::Dispatch, "dc1"},
            exampleBatch(),
            response,
            cancel_attempts{{1, 2}},
            command_request{},
            command_response{},
            target_reports{},
            state,
            entitlement{1, 2},
            program_status{},
            fetch_sections{},
            sections{"{}", {{"h", "t"}}},
            datagram,
            crash_notice{{{7, "a"}}, {{8, 1000}}}};
}

/// Runs a coroutine to completion and fails the test when it times out.
void run(asio::io_context &context, asio::awaitable<void> task)
{
    CHECK(runToEnd(context, std::move(task)));
}

} // namespace

TEST_CASE("each message type decodes to the encoded message")
{
    for (const message &original : examples()) {
        CAPTURE(messageName(original));
        const std::string encoded = encodeMessage(original);
        const auto decoded = decodeMessage(encoded);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value().index() == original.index());
        CHECK(encodeMessage(decoded.value()) == encoded);
    }
}

TEST_CASE("a decoded sub-query batch has the values of the encoded one")
{
    const auto decoded = decodeMessage(encodeMessage(exampleBatch()));
    const auto &batch = std::get<sub_query_batch>(decoded.value());
    CHECK(batch.items.size() == 2);
    CHECK(batch.items[1].target == "b");
    CHECK(batch.pinned == snapshot{2, 7});
}

TEST_CASE("messages with a different protocol version, an unknown type or an enumerator out of range are refused")
{
    std::string encoded = encodeMessage(entitlement{1, 2});
    REQUIRE(encoded[1] == ProtocolVersion);
    encoded[1] = ProtocolVersion + 1;
    CHECK(decodeMessage(encoded).error().code == error_code::Protocol);
    encoded = encodeMessage(entitlement{1, 2});
    encoded[2] = 99;
    CHECK(decodeMessage(encoded).has_error());
    encoded[2] = 0;
    CHECK(decodeMessage(encoded).has_error());
    CHECK(decodeMessage(encodeMessage(hello{"i", "n", static_cast<program_role>(9), "d"})).has_error());
}

TEST_CASE("mutated and truncated payloads never crash the decoder")
{
    std::mt19937 random(20261204);
    const auto originals = examples();
    for (int round = 0; round < 50000; ++round) {
        std::string payload = encodeMessage(originals[random() % originals.size()]);
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int change = 0; change < changes; ++change) {
            payload[random() % payload.size()] = static_cast<char>(random());
        }
        if (random() % 3 == 0) {
            payload.resize(random() % payload.size());
        }
        const auto decoded = decodeMessage(payload);
        if (decoded) {
            CHECK_FALSE(encodeMessage(decoded.value()).empty());
        }
    }
}

TEST_CASE("messages arrive in the order in which they were sent, and an oversized frame closes only its connection")
{
    asio::io_context context;
    counters metrics;
    std::vector<std::uint64_t> received;
    int oversizedFrames = 0;
    frame_limits limits;
    limits.frameBytes = 1000;
    frame_server server(context, limits, 4, metrics, [&](frame_connection::pointer connection) -> asio::awaitable<void> {
        while (true) {
            auto next = co_await connection->receive();
            if (!next) {
                oversizedFrames += next.error().code == error_code::TooLarge ? 1 : 0;
                co_return;
            }
            received.push_back(std::get<cancel_attempts>(next.value()).attemptIds.at(0));
        }
    });
    const endpoint local{"127.0.0.1", 17991};
    REQUIRE(server.listen(local).has_value());
    run(context, [&]() -> asio::awaitable<void> {
        const frame_limits senderLimits;
        auto normal = co_await frame_connection::open(local, "127.0.0.1", std::chrono::seconds(1), senderLimits);
        auto oversized = co_await frame_connection::open(local, "", std::chrono::seconds(1), senderLimits);
        REQUIRE(normal.has_value());
        REQUIRE(oversized.has_value());
        CHECK(oversized.value()->send(sections{std::string(2000, 'x'), {}}).has_value());
        for (std::uint64_t id = 0; id < 100; ++id) {
            CHECK(normal.value()->send(cancel_attempts{{id}}).has_value());
        }
        asio::steady_timer delay(context, std::chrono::milliseconds(200));
        co_await delay.async_wait(asio::use_awaitable);
        CHECK(normal.value()->isOpen());
        const auto ended = co_await oversized.value()->receive();
        CHECK(ended.error().code == error_code::Closed);
    }());
    REQUIRE(received.size() == 100);
    CHECK(received.front() == 0);
    CHECK(received.back() == 99);
    CHECK(oversizedFrames == 1);
}

TEST_CASE("frames that are split at each byte or larger than one read are reassembled")
{
    asio::io_context context;
    counters metrics;
    std::vector<std::size_t> sizes;
    const frame_limits limits;
    frame_server server(context, limits, 4, metrics, [&](frame_connection::pointer connection) -> asio::awaitable<void> {
        while (auto next = co_await connection->receive()) {
            sizes.push_back(std::get<sections>(next.value()).root.size());
        }
    });
    const endpoint local{"127.0.0.1", 17995};
    REQUIRE(server.listen(local).has_value());
    run(context, [&]() -> asio::awaitable<void> {
        auto connection = co_await frame_connection::open(local, "", std::chrono::seconds(1), limits);
        for (const std::size_t size : {0, 100000, 1, 16383, 16384, 16385}) {
            CHECK(connection.value()->send(sections{std::string(size, 'x'), {}}).has_value());
        }
        asio::ip::tcp::socket raw(context);
        co_await raw.async_connect({asio::ip::make_address(local.address), local.port}, asio::use_awaitable);
        const std::string payload = encodeMessage(sections{std::string(7, 'x'), {}});
        const std::string frame = std::string({0, 0, 0, static_cast<char>(payload.size())}) + payload;
        for (const char byte : frame + frame) {
            co_await asio::async_write(raw, asio::buffer(&byte, 1), asio::use_awaitable);
            asio::steady_timer delay(context, std::chrono::milliseconds(1));
            co_await delay.async_wait(asio::use_awaitable);
        }
        asio::steady_timer delay(context, std::chrono::milliseconds(200));
        co_await delay.async_wait(asio::use_awaitable);
    }());
    std::sort(sizes.begin(), sizes.end());
    CHECK(sizes == std::vector<std::size_t>{0, 1, 7, 7, 16383, 16384, 16385, 100000});
}

TEST_CASE("the error of a failed connect contains the step and the peer")
{
    asio::io_context context;
    run(context, []() -> asio::awaitable<void> {
        // g++ 12 destroys braced temporaries in the operand of co_await twice, so these arguments are named variables.
        const endpoint closedPort{"127.0.0.1", 1};
        const frame_limits limits;
        const auto refused = co_await frame_connection::open(closedPort, "", std::chrono::seconds(1), limits);
        CHECK(refused.error().step == error_step::Connect);
        CHECK(refused.error().peer == "127.0.0.1:1");
    }());
}
