#include <doctest/doctest.h>

#include "node/peer_messages.h"

#include <limits>
#include <rapidcheck.h>

using namespace balsamhook;

namespace
{

peer_heartbeat makeHeartbeat()
{
    peer_heartbeat heartbeat;
    heartbeat.instance = "i1";
    heartbeat.address = "127.0.0.1";
    heartbeat.dataCentre = "dc1";
    heartbeat.crashes = {{7, "t1", "r1"}};
    heartbeat.limits = {{"t2", 3.5F, 20}};
    return heartbeat;
}

std::string pack(const peer_heartbeat &heartbeat)
{
    msgpack::sbuffer packed;
    msgpack::pack(packed, heartbeat);
    return {packed.data(), packed.size()};
}

} // namespace

TEST_CASE("decodeHeartbeat: a datagram that announces more elements than it has bytes is malformed (space was allocated for all of them)")
{
    // Arrays, a map and a string of nearly 2^32 elements, alone and within a heartbeat.
    for (const char type : {'\xdd', '\xdf', '\xdb', '\xc6'}) {
        const std::string huge = std::string(1, type) + "\xff\xff\xff\xff";
        CHECK_FALSE(decodeHeartbeat(huge));
        CHECK_FALSE(decodeHeartbeat("\x92\x01" + huge));
    }
    CHECK_FALSE(decodeHeartbeat(std::string(1000, '\x91')));
}

TEST_CASE("decodeHeartbeat: a processor share that is no number, and an address that is none, are malformed (instances sort by the one and name the other)")
{
    REQUIRE(decodeHeartbeat(pack(makeHeartbeat())));
    CHECK(decodeHeartbeat(pack(makeHeartbeat()))->crashes.at(0).target == "t1");
    for (const double share : {std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1.0}) {
        peer_heartbeat heartbeat = makeHeartbeat();
        heartbeat.processorShare = share;
        CHECK_FALSE(decodeHeartbeat(pack(heartbeat)));
    }
    for (const std::string address : {"", "\xff", "localhost", "127.0.0.1:80"}) {
        peer_heartbeat heartbeat = makeHeartbeat();
        heartbeat.address = address;
        CHECK_FALSE(decodeHeartbeat(pack(heartbeat)));
    }
}

TEST_CASE("decodeHeartbeat: spoiled and cut datagrams never throw (guards against bytes of a peer that end the process)")
{
    CHECK(rc::check([] {
        std::string datagram = pack(makeHeartbeat());
        const int changes = *rc::gen::inRange(0, 6);
        for (int i = 0; i < changes; ++i) {
            datagram[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(datagram.size())))] = *rc::gen::arbitrary<char>();
        }
        datagram.resize(static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(datagram.size()) + 1)));
        if (const auto decoded = decodeHeartbeat(datagram)) {
            RC_ASSERT(decoded->processorShare >= 0);
        }
    }));
}
