/// Measures size and CPU cost of the internal messages, the inputs of docs/CAPACITY.md that need no running fleet.
/// Prints one JSON object; scripts/bench capacity stores it under bench/results/.

#include "base/base.h"
#include "wire/wire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

/// CPU time of this process.
std::chrono::nanoseconds cpuTime()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

/// Returns the CPU time of one call in nanoseconds: the minimum of five series.
template<class Function>
double nanosecondsPerCall(int calls, Function function)
{
    constexpr int Series = 5;
    double minimum = 0;
    for (int series = 0; series < Series; ++series) {
        const auto before = cpuTime();
        for (int call = 0; call < calls; ++call) {
            function();
        }
        const double perCall = static_cast<double>((cpuTime() - before).count()) / calls;
        minimum = series == 0 ? perCall : std::min(minimum, perCall);
    }
    return minimum;
}

sub_query_batch makeBatch(std::size_t itemCount)
{
    sub_query_batch batch;
    batch.queryId = randomId();
    batch.traceparent = trace_context::start().header();
    batch.service = "station-finder";
    batch.pinned = {1, 1000};
    batch.remainingMicroseconds = 260000;
    batch.text = "lavender refill 500 ml";
    batch.limit = 10;
    for (std::size_t i = 0; i < itemCount; ++i) {
        batch.items.push_back({1000000 + i, "station-finder-" + std::to_string(i) + "-a", std::to_string(i)});
    }
    return batch;
}

sub_response makeResponse()
{
    sub_response response;
    response.attemptId = 1000000;
    response.ended = outcome::Answered;
    response.readFrom = {1, 1000};
    // Ten hits of about 100 bytes, the size that the stand-in targets return.
    response.hits = std::string(1000, 'x');
    response.report.target = "station-finder-17-a";
    response.report.snapshots = {{1, 999}, {1, 1000}};
    response.report.usable = true;
    return response;
}

control_state makeState(std::size_t memberCount, std::size_t targetCount)
{
    control_state state;
    state.configurationRevision = 1000;
    state.memberListVersion = 1000;
    for (std::size_t i = 0; i < memberCount; ++i) {
        member_entry entry;
        entry.instance = "instance-" + std::to_string(i);
        entry.dataCentre = "dc" + std::to_string(i % 7);
        entry.frontEndpoint = "10.10.100.100:8080";
        entry.dispatchEndpoint = "10.10.100.100:7001";
        entry.controlEndpoint = "10.10.100.100:7002";
        entry.gossipEndpoint = "10.10.100.100:7003";
        entry.operatorEndpoint = "10.10.100.100:7080";
        state.members.push_back(entry);
    }
    for (std::size_t i = 0; i < targetCount; ++i) {
        state.owners.push_back({"station-finder-" + std::to_string(i) + "-a", "instance-" + std::to_string(i % std::max<std::size_t>(memberCount, 1))});
    }
    return state;
}

gossip makeGossip(std::size_t rumourCount)
{
    gossip datagram;
    datagram.sender = makeState(1, 0).members.front();
    datagram.incarnation = randomId();
    datagram.sequence = 100000;
    datagram.appliedRevision = 1000;
    datagram.appliedMemberListVersion = 1000;
    datagram.acknowledgedSequence = 100000;
    datagram.leaseSequence = 100000;
    for (std::size_t i = 0; i < rumourCount; ++i) {
        datagram.rumours.push_back({"instance-" + std::to_string(i), randomId(), member_state::Alive, 100000});
    }
    return datagram;
}

nlohmann::json measureMessage(const message &content, int calls)
{
    const std::string encoded = encodeMessage(content);
    const double encode = nanosecondsPerCall(calls, [&] {
        if (encodeMessage(content).size() != encoded.size()) {
            std::abort();
        }
    });
    const double decode = nanosecondsPerCall(calls, [&] {
        if (!decodeMessage(encoded)) {
            std::abort();
        }
    });
    return {{"bytes", encoded.size()}, {"encode_ns", encode}, {"decode_ns", decode}};
}

/// Returns the CPU time of sending and receiving one message over a loopback connection, in nanoseconds, with `window` messages in flight.
double loopbackNanoseconds(std::size_t messageCount, std::size_t window)
{
    asio::io_context context;
    counters metrics;
    const endpoint local{"127.0.0.1", 17994};
    const frame_limits limits;
    frame_server server(context, limits, 4, metrics, [](frame_connection::pointer connection) -> asio::awaitable<void> {
        while (auto received = co_await connection->receive()) {
            if (!connection->send(received.value())) {
                co_return;
            }
        }
    });
    if (!server.listen(local)) {
        return 0;
    }
    const message content = makeResponse();
    const auto before = cpuTime();
    const auto client = [&]() -> asio::awaitable<void> {
        auto connected = co_await frame_connection::open(local, "", std::chrono::seconds(1), limits);
        for (std::size_t sent = 0; connected && sent < messageCount; sent += window) {
            for (std::size_t i = 0; i < window; ++i) {
                if (!connected.value()->send(content)) {
                    co_return;
                }
            }
            for (std::size_t i = 0; i < window; ++i) {
                if (!co_await connected.value()->receive()) {
                    co_return;
                }
            }
        }
        context.stop();
    };
    asio::co_spawn(context, client, asio::detached);
    context.run_for(std::chrono::seconds(30));
    // Each message is echoed, so it is sent and received twice.
    return static_cast<double>((cpuTime() - before).count()) / static_cast<double>(2 * messageCount);
}

} // namespace

int main()
{
    nlohmann::json report;
    for (const std::size_t itemCount : {1, 2, 8, 20, 170}) {
        report["sub_query_batch"][std::to_string(itemCount)] = measureMessage(makeBatch(itemCount), 2000);
    }
    report["sub_answer"] = measureMessage(makeResponse(), 20000);
    for (const std::size_t rumourCount : {0, 8, 16, 32}) {
        report["gossip"][std::to_string(rumourCount)] = measureMessage(makeGossip(rumourCount), 5000);
    }
    report["control_state"]["7 members, 108 targets"] = measureMessage(makeState(7, 108), 500);
    report["control_state"]["400 members, 3000 targets"] = measureMessage(makeState(400, 3000), 20);
    for (const std::size_t window : {1, 8, 64}) {
        report["loopback_ns_per_message"][std::to_string(window)] = loopbackNanoseconds(20000, window);
    }
    std::cout << report.dump(2) << '\n';
    return 0;
}
