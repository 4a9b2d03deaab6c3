#include <doctest/doctest.h>

#include "node/catalogue_test_support.h"

using namespace balsamhook;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds ApplyBound{3000}; ///< In which a configuration, and the state of a target, must be applied.
constexpr std::chrono::milliseconds RewriteTime{2000}; ///< In which the operator and the targets write again what the copy lacks.

/// How an instance meets the store that has returned from its copy.
enum class encounter : std::uint8_t {
    Below, ///< The store's revision is below that from which the instance watches.
    Past, ///< The store is away until its revision has passed that one.
    Waiting, ///< A watch waited while the store returned, and waits on.
};

constexpr encounter Encounters[] = {encounter::Below, encounter::Past, encounter::Waiting};

/// A running catalogue_sync whose store has a copy that is some changes old.
struct restored_fixture : sync_fixture
{
    restored_fixture()
    {
        standin.put("config", "main", configurationSpec(3));
        for (const char *id : {"t0", "t1", "t2", "ended"}) {
            standin.put("servers", id, targetSpec("s0", 5));
        }
        standin.put("evacuations", "lifted", json::object());
    }

    /// Starts and takes the copy.
    void startAndCopy()
    {
        start();
        REQUIRE(runUntil([this] { return sync->isReady() && targets.size() == 4; }));
        standin.takeCopy();
    }

    void change(int count)
    {
        for (int i = 0; i < count; ++i) {
            standin.put("servers", "busy", targetSpec("s1", ++m_sequence));
        }
    }

    /// Lets the store return from the copy; the changes are the first ones of the new era.
    void returnToCopy(encounter met, const std::function<void()> &changes)
    {
        change(60);
        const std::int64_t applied = m_sequence;
        REQUIRE(runUntil([&] { return targets["busy"].target.heartbeat == applied; }));
        runFor(300ms);
        if (met == encounter::Past) {
            standin.setCondition(store_condition::Refusing);
        }
        standin.returnToCopy(met == encounter::Waiting ? waiting_watches::Kept : waiting_watches::Cut);
        changes();
        if (met == encounter::Past) {
            change(200);
            runFor(500ms);
            standin.setCondition(store_condition::Up);
        }
    }

private:
    std::int64_t m_sequence = 0;
};

} // namespace

TEST_SUITE_BEGIN("store_restored");

TEST_CASE("store_restored: a configuration written after the store came back from an older copy is applied in time (it came late or never: CONFIG)")
{
    for (const encounter met : Encounters) {
        CAPTURE(static_cast<int>(met));
        restored_fixture fixture;
        fixture.startAndCopy();
        fixture.change(60);
        fixture.standin.put("config", "main", configurationSpec(5));
        REQUIRE(fixture.runUntil([&] { return fixture.configuration->version() == 5; }));
        fixture.returnToCopy(met, [&] {
            fixture.standin.put("config", "main", configurationSpec(5));
            fixture.standin.put("config", "main", configurationSpec(9));
        });
        CHECK(fixture.runUntil([&] { return fixture.configuration->version() == 9; }, ApplyBound));
        CHECK(fixture.versions == std::vector<std::uint64_t>{3, 5, 9});
    }
}

TEST_CASE("store_restored: a target that drains after the store came back from an older copy is known in time (it got requests for seconds: DRAIN)")
{
    for (const encounter met : Encounters) {
        CAPTURE(static_cast<int>(met));
        restored_fixture fixture;
        fixture.startAndCopy();
        fixture.returnToCopy(met, [&] {
            fixture.standin.put("servers", "t1", targetSpec("s0", 6, "draining"));
            fixture.standin.erase("servers", "t2");
        });
        CHECK(fixture.runUntil([&] { return fixture.targets["t1"].target.condition == target_condition::Draining; }, ApplyBound));
        CHECK(fixture.runUntil([&] { return fixture.targets.count("t2") == 0 || fixture.targets["t2"].isStale; }, ApplyBound));
    }
}

TEST_CASE("store_restored: a store that names no era is noticed by its revision (guards against waiting until revisions have passed)")
{
    restored_fixture fixture;
    fixture.standin.setNamesEra(false);
    fixture.startAndCopy();
    fixture.change(60);
    fixture.standin.put("config", "main", configurationSpec(5));
    REQUIRE(fixture.runUntil([&] { return fixture.configuration->version() == 5; }));
    fixture.returnToCopy(encounter::Below, [&] { fixture.standin.put("config", "main", configurationSpec(9)); });
    CHECK(fixture.runUntil([&] { return fixture.configuration->version() == 9; }, ApplyBound));
    CHECK(fixture.metrics.value("store_era_changes_total") > 0);
}

TEST_CASE("store_restored: several eras within a second, and a copy that is returned to twice, are followed to the last one")
{
    restored_fixture fixture;
    fixture.startAndCopy();
    fixture.returnToCopy(encounter::Waiting, [&] { fixture.standin.put("config", "main", configurationSpec(4)); });
    for (std::uint64_t version = 5; version <= 8; ++version) {
        fixture.runFor(120ms);
        fixture.standin.returnToCopy(version % 2 == 0 ? waiting_watches::Kept : waiting_watches::Cut);
        fixture.standin.put("config", "main", configurationSpec(version));
    }
    fixture.standin.erase("servers", "t2");
    CHECK(fixture.runUntil([&] { return fixture.configuration->version() == 8; }, ApplyBound));
    CHECK(fixture.runUntil([&] { return fixture.targets.count("t2") == 0; }, ApplyBound));
    CHECK(fixture.targets.count("t1") == 1);
}

TEST_CASE("store_restored: an instance that can't reach the store follows a peer to a later era, and none back (guards against copies compared by revision)")
{
    outage_fixture fixture;
    catalogue_snapshot later = peerCopy(2, configurationSpec(9), {{"t9", targetSpec("s0")}}, {"dc2"});
    later.era = fixture.newest.era.value() + 1;
    const std::uint64_t revision = fixture.newest.evacuations->revisions.newest;
    catalogue_snapshot earlier = peerCopy(revision + 1000, configurationSpec(7), {{"t7", targetSpec("s0")}}, {"dc7"});
    earlier.era = fixture.newest.era.value() - 1;
    catalogue_snapshot unnamed = peerCopy(revision + 2000, configurationSpec(8), {{"t8", targetSpec("s0")}}, {"dc8"});
    peer_server behind(fixture, 18221, encodeSnapshot(earlier));
    peer_server olderBuild(fixture, 18222, encodeSnapshot(unnamed));
    REQUIRE(fixture.runUntil([&] { return behind.requests >= 2 && olderBuild.requests >= 2; }));
    CHECK(fixture.configuration->version() == 4);
    CHECK(fixture.targets.count("t7") + fixture.targets.count("t8") == 0);
    CHECK(fixture.evacuated == std::set<std::string>{"dc3"});
    peer_server ahead(fixture, 18223, encodeSnapshot(later));
    CHECK(fixture.runUntil([&] { return fixture.configuration->version() == 9 && fixture.targets.count("t9") == 1; }, ApplyBound));
    fixture.runFor(1500ms);
    CHECK(fixture.targets.count("t7") + fixture.targets.count("t8") == 0);
}

TEST_CASE("store_restored: a copy is handed to a peer of an earlier era whatever its revisions, and none to a peer that knows of a later one")
{
    restored_fixture fixture;
    fixture.startAndCopy();
    fixture.returnToCopy(encounter::Waiting, [] {});
    const std::optional<std::uint64_t> before = fixture.sync->snapshot({}).value().era;
    REQUIRE(fixture.runUntil([&] { return fixture.sync->snapshot({}).value_or(catalogue_snapshot{}).era > before; }, ApplyBound));
    REQUIRE(fixture.runUntil([&] { return fixture.sync->snapshot({before, 9000, 9000, 9000}).value().targets.has_value(); }, ApplyBound));
    const std::optional<std::uint64_t> era = fixture.sync->snapshot({}).value().era;
    CHECK_FALSE(fixture.sync->snapshot({era, 9000, 9000, 9000}).value().targets.has_value());
    CHECK_FALSE(fixture.sync->snapshot({era.value() + 1, 0, 0, 0}).has_value());
}

TEST_CASE("store_restored: an evacuation that the copy doesn't have holds until it can have been written again (its data centre got requests meanwhile: EVAC)")
{
    for (const encounter met : Encounters) {
        CAPTURE(static_cast<int>(met));
        restored_fixture fixture;
        fixture.startAndCopy();
        fixture.standin.put("evacuations", "dc2", json::object());
        REQUIRE(fixture.runUntil([&] { return fixture.evacuated.count("dc2") == 1; }));
        fixture.returnToCopy(met, [] {});
        bool wasDropped = false;
        fixture.runUntil(
            [&] {
                wasDropped = wasDropped || fixture.evacuated.count("dc2") == 0;
                return wasDropped;
            },
            RewriteTime);
        fixture.standin.put("evacuations", "dc2", json::object());
        fixture.runFor(300ms);
        CHECK_FALSE(wasDropped);
        fixture.standin.erase("evacuations", "dc2");
        CHECK(fixture.runUntil([&] { return fixture.evacuated.count("dc2") == 0; }, ApplyBound));
    }
}

TEST_CASE("store_restored: an evacuation that was taken back while the store was away ends in bounded time, and so does one that the copy brings back")
{
    restored_fixture fixture;
    fixture.startAndCopy();
    fixture.standin.put("evacuations", "dc2", json::object());
    fixture.standin.erase("evacuations", "lifted");
    REQUIRE(fixture.runUntil([&] { return fixture.evacuated == std::set<std::string>{"dc2"}; }));
    fixture.returnToCopy(encounter::Below, [] {});
    REQUIRE(fixture.runUntil([&] { return fixture.evacuated == std::set<std::string>{"dc2", "lifted"}; }, ApplyBound));
    fixture.standin.erase("evacuations", "lifted");
    CHECK(fixture.runUntil([&] { return fixture.evacuated == std::set<std::string>{"dc2"}; }, ApplyBound));
    CHECK(fixture.runUntil([&] { return fixture.evacuated.empty(); }, 10s));
}

TEST_CASE("store_restored: a target that drained or ended before isn't used again because the copy shows it ready (it got requests again: DRAIN)")
{
    for (const encounter met : Encounters) {
        CAPTURE(static_cast<int>(met));
        restored_fixture fixture;
        fixture.startAndCopy();
        fixture.standin.put("servers", "t1", targetSpec("s0", 5, "draining"));
        fixture.standin.erase("servers", "ended");
        REQUIRE(fixture.runUntil([&] { return fixture.targets["t1"].target.condition == target_condition::Draining && fixture.targets.count("ended") == 0; }));
        fixture.standin.erase("servers", "t2");
        REQUIRE(fixture.runUntil([&] { return fixture.targets["t2"].isStale; }));
        fixture.returnToCopy(met, [] {});
        bool wasUsed = false;
        fixture.runUntil(
            [&] {
                const bool isStaleOrGone = fixture.targets.count("t2") == 0 || fixture.targets["t2"].isStale;
                wasUsed = wasUsed || fixture.targets["t1"].target.condition == target_condition::Ready || fixture.targets.count("ended") == 1 || !isStaleOrGone;
                return wasUsed;
            },
            RewriteTime);
        CHECK_FALSE(wasUsed);
        CHECK(fixture.targets["t0"].target.condition == target_condition::Ready);
    }
}

TEST_CASE("store_restored: a target that the copy brings back is used as soon as it writes again, or when it has outlived the end of its registration")
{
    restored_fixture fixture;
    fixture.startAndCopy();
    fixture.standin.erase("servers", "ended");
    fixture.standin.erase("servers", "t2");
    REQUIRE(fixture.runUntil([&] { return fixture.targets.count("ended") + fixture.targets.count("t2") == 0; }));
    fixture.returnToCopy(encounter::Below, [] {});
    fixture.runFor(500ms);
    CHECK(fixture.targets.count("ended") + fixture.targets.count("t2") == 0);
    fixture.standin.put("servers", "t2", targetSpec("s0", 6));
    CHECK(fixture.runUntil([&] { return fixture.targets.count("t2") == 1; }, 1s));
    CHECK(fixture.targets.count("ended") == 0);
    CHECK(fixture.runUntil([&] { return fixture.targets.count("ended") == 1; }, 10s));
}

TEST_SUITE_END();
