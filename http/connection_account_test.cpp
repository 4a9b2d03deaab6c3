#include <doctest/doctest.h>

#include "http/connection_account.h"

#include <algorithm>
#include <numeric>
#include <rapidcheck.h>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Base = connection_account::ConnectionBytes;

/// An account with a clock of the test's own, and connections that note their eviction.
struct account_fixture
{
    explicit account_fixture(connection_account::limits allowed)
        : account(allowed, [this] { return now; })
    {
    }

    struct connection
    {
        connection_account::entry_pointer entry;
        bool isEvicted = false;
    };

    /// Returns nullptr if the connection isn't admitted.
    std::unique_ptr<connection> open()
    {
        auto opened = std::make_unique<connection>();
        opened->entry = account.admit();
        if (!opened->entry) {
            return nullptr;
        }
        opened->entry->onEvicted([evicted = opened.get()] { evicted->isEvicted = true; });
        return opened;
    }

    connection_account::clock::time_point now{1h};
    connection_account account;
};

} // namespace

TEST_CASE("connection_account: one connection alone may hold all of it (guards against refusing a single large response)")
{
    account_fixture fixture({1024 * Kilobyte, 10});
    const auto alone = fixture.open();
    CHECK(alone->entry->resize(1024 * Kilobyte));
    CHECK_FALSE(alone->entry->resize(1024 * Kilobyte + 1));
    CHECK_FALSE(alone->isEvicted);
}

TEST_CASE(
    "connection_account: what is held most and longest goes first when memory is short, and idle connections and busy ones stay (a process ran out of memory)")
{
    account_fixture fixture({1000 * Kilobyte, 10});
    const auto idle = fixture.open();
    const auto slow = fixture.open();
    const auto busy = fixture.open();
    const auto young = fixture.open();
    slow->entry->resize(Base + 300 * Kilobyte);
    busy->entry->resize(Base + 200 * Kilobyte);
    busy->entry->setBusy(true);
    fixture.now += 10s;
    young->entry->onBegin(fixture.now);
    fixture.now += 100ms;
    CHECK(young->entry->resize(Base + 350 * Kilobyte));
    CHECK_FALSE(slow->isEvicted);
    const auto next = fixture.open();
    CHECK(next->entry->resize(Base + 200 * Kilobyte));
    CHECK(slow->isEvicted);
    CHECK_FALSE(idle->isEvicted);
    CHECK_FALSE(busy->isEvicted);
    CHECK_FALSE(young->isEvicted);
    CHECK_FALSE(slow->entry->resize(Base));
    CHECK_FALSE(slow->entry->hold(1));
    CHECK(idle->entry->hold(1));
}

TEST_CASE("connection_account: a connection that trickles isn't younger for it (guards against slow readers that outlast the others)")
{
    account_fixture fixture({600 * Kilobyte, 10});
    const auto trickling = fixture.open();
    const auto quick = fixture.open();
    trickling->entry->resize(Base + 300 * Kilobyte);
    for (int i = 0; i < 100; ++i) {
        fixture.now += 100ms;
        trickling->entry->resize(Base + (300 - static_cast<std::size_t>(i)) * Kilobyte);
    }
    quick->entry->onBegin(fixture.now);
    quick->entry->resize(Base + 250 * Kilobyte);
    fixture.now += 10ms;
    CHECK(quick->entry->resize(Base + 400 * Kilobyte));
    CHECK(trickling->isEvicted);
}

TEST_CASE("connection_account: a new connection takes the place of the one that was idle longest, unless all are busy (callers were refused beside idle ones)")
{
    account_fixture fixture({1024 * Kilobyte, 2});
    const auto first = fixture.open();
    fixture.now += 1s;
    const auto second = fixture.open();
    fixture.now += 1s;
    const auto third = fixture.open();
    REQUIRE(third);
    CHECK(first->isEvicted);
    CHECK_FALSE(second->isEvicted);
    second->entry->setBusy(true);
    third->entry->setBusy(true);
    CHECK_FALSE(fixture.open());
    CHECK(fixture.account.connections() == 2);
}

TEST_CASE("connection_account: many idle connections make room for a request, though each holds little (guards against refusing all requests beside them)")
{
    account_fixture fixture({10 * Base, 1000});
    std::vector<std::unique_ptr<account_fixture::connection>> idle;
    for (int i = 0; i < 30; ++i) {
        fixture.now += 1ms;
        idle.push_back(fixture.open());
        REQUIRE(idle.back());
    }
    fixture.now += 1s;
    const auto ordinary = fixture.open();
    fixture.now += 1ms;
    CHECK(ordinary->entry->resize(Base + 2 * Kilobyte));
    CHECK_FALSE(ordinary->isEvicted);
    CHECK(fixture.account.bytes() <= 10 * Base);
}

TEST_CASE("connection_account: requests that are passed on take half of it at most, small ones excepted (their bodies can't be evicted)")
{
    account_fixture fixture({1000 * Kilobyte, 10});
    const auto sender = fixture.open();
    auto held = sender->entry->hold(400 * Kilobyte);
    CHECK(held);
    CHECK_FALSE(sender->entry->hold(200 * Kilobyte));
    CHECK(sender->entry->hold(connection_account::SmallBytes));
    CHECK(fixture.account.bytes() == Base + 400 * Kilobyte);
    held = nullptr;
    CHECK(fixture.account.bytes() == Base);
    CHECK(sender->entry->hold(200 * Kilobyte));
}

TEST_CASE("connection_account: what is counted is what the connections hold, and no more than the limits where room can be made")
{
    CHECK(rc::check("random connections", [] {
        constexpr std::size_t MaxConnections = 8;
        constexpr std::size_t MaxBytes = 600 * Kilobyte;
        account_fixture fixture({MaxBytes, MaxConnections});
        std::vector<std::unique_ptr<account_fixture::connection>> open;
        std::vector<std::size_t> sizes;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            fixture.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            if (open.empty() || *rc::gen::inRange(0, 3) == 0) {
                if (auto opened = fixture.open()) {
                    open.push_back(std::move(opened));
                    sizes.push_back(Base);
                }
                continue;
            }
            const auto chosen = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(open.size())));
            account_fixture::connection &connection = *open[chosen];
            const std::size_t size = Base + static_cast<std::size_t>(*rc::gen::inRange(0, 300)) * Kilobyte;
            const bool hasRoom = connection.entry->resize(size);
            sizes[chosen] = size;
            RC_ASSERT(!hasRoom || fixture.account.bytes() <= MaxBytes);
            if (!hasRoom) {
                // As a connection does that has to give up.
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
                sizes.erase(sizes.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
            for (std::size_t k = open.size(); k-- > 0;) {
                if (open[k]->isEvicted) {
                    open.erase(open.begin() + static_cast<std::ptrdiff_t>(k));
                    sizes.erase(sizes.begin() + static_cast<std::ptrdiff_t>(k));
                }
            }
            RC_ASSERT(fixture.account.bytes() == std::accumulate(sizes.begin(), sizes.end(), std::size_t(0)));
            RC_ASSERT(fixture.account.bytes() <= MaxBytes);
            RC_ASSERT(fixture.account.connections() <= MaxConnections);
        }
    }));
}
