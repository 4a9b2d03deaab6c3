#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "quarantine/quarantine.h"

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

const boot_clock::time_point Start{1h};

} // namespace

TEST_CASE("quarantine: a fingerprint is refused for a limited period after crashes of two targets, not of one target twice (guards against refusing requests "
          "because of one failing target)")
{
    quarantine records(1min, 16);
    records.recordCrash(7, "a", Start);
    records.recordCrash(7, "a", Start + 1s);
    CHECK_FALSE(records.isRefused(7, Start + 1s));
    records.recordCrash(7, "b", Start + 2s);
    CHECK(records.isRefused(7, Start + 2s));
    CHECK(records.notices(Start + 2s).size() == 1);
    CHECK_FALSE(records.isRefused(7, Start + 2s + 1min));
    quarantine other(1min, 16);
    other.merge({7, 30000}, Start);
    CHECK(other.isRefused(7, Start + 29s));
    CHECK_FALSE(other.isRefused(7, Start + 31s));
}

TEST_CASE("quarantine: a refusal needs as many distinct targets and requests as the thresholds say (guards against repeated reports that count as evidence)")
{
    quarantine records(1min, 16, {3, 2});
    for (int report = 0; report < 3; ++report) {
        records.recordCrash(7, "a", Start + std::chrono::seconds(report), "r1");
        records.recordCrash(7, "b", Start + std::chrono::seconds(report), "r1");
        records.recordCrash(7, "c", Start + std::chrono::seconds(report), "r1");
    }
    CHECK_FALSE(records.isRefused(7, Start + 3s));
    records.recordCrash(7, "a", Start + 4s, "r2");
    CHECK(records.refusedFor(7, Start + 4s) == 1min);
    records.recordCrash(7, "a", Start + 10s, "r2");
    CHECK(records.refusedFor(7, Start + 34s) == 30s);
    CHECK_FALSE(records.isEmpty());
}

TEST_CASE("quarantine: one crash after a refusal renews it for longer (guards against three more crashed targets each time a refusal ends)")
{
    quarantine records(1min, 16, {3, 2}, 1h);
    for (const std::string target : {"a", "b", "c"}) {
        records.recordCrash(7, target, Start, "r1");
        records.recordCrash(7, target, Start, "r2");
    }
    CHECK(records.refusedFor(7, Start) == 1min);
    records.recordCrash(7, "d", Start + 61s, "r3");
    CHECK(records.refusedFor(7, Start + 61s) == 4min);
    CHECK_MESSAGE(records.refusedFor(8, Start + 61s).count() == 0, "another fingerprint");
    quarantine other(1min, 16, {3, 2}, 1h);
    other.merge({7, 30000}, Start);
    other.recordCrash(7, "e", Start + 40s, "r4");
    CHECK_MESSAGE(other.refusedFor(7, Start + 40s) == 4min, "an instance that knows the refusal only from a peer");
    quarantine innocent(1min, 16, {3, 2}, 1h);
    innocent.merge({7, 30000}, Start);
    innocent.onCompleted(7, Start + 20s);
    CHECK_MESSAGE(innocent.isRefused(7, Start + 25s), "a request that was in flight at the verdict");
    innocent.onCompleted(7, Start + 35s);
    innocent.recordCrash(7, "e", Start + 40s, "r4");
    CHECK_MESSAGE(innocent.refusedFor(7, Start + 40s).count() == 0, "a request that was answered after its refusal");
    const auto calm = Start + 2h;
    records.recordCrash(7, "f", calm, "r5");
    CHECK_MESSAGE(records.refusedFor(7, calm).count() == 0, "a crash after a long time without any is not enough evidence");
}

TEST_CASE("quarantine: the oldest fingerprint is evicted when the capacity is exceeded (guards against unlimited memory use)")
{
    quarantine records(1min, 2);
    for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        records.recordCrash(fingerprint, "a", Start + std::chrono::seconds(fingerprint));
    }
    records.recordCrash(1, "b", Start + 4s);
    CHECK_FALSE(records.isRefused(1, Start + 4s));
    records.recordCrash(3, "b", Start + 4s);
    CHECK(records.isRefused(3, Start + 4s));
}

TEST_CASE("quarantine: a front end refuses a fingerprint after crashes of two targets at two owners (guards against evidence that is split between owners)")
{
    quarantine first(1min, 16);
    quarantine second(1min, 16);
    quarantine front(1min, 16);
    first.recordCrash(7, "a", Start);
    second.recordCrash(7, "b", Start);
    front.merge(first.snapshot(Start), Start);
    front.merge(first.snapshot(Start), Start);
    // A crash that is reported twice, as after a reconnect, counts once.
    CHECK_FALSE(front.isRefused(7, Start));
    front.merge(second.snapshot(Start), Start);
    CHECK(front.isRefused(7, Start));
}

TEST_CASE(
    "quarantine: a snapshot has only current refusals and recent crashes (guards against refusals by expired evidence at a front end that connects later)")
{
    quarantine owner(1min, 16);
    owner.recordCrash(7, "a", Start);
    owner.recordCrash(7, "b", Start);
    owner.recordCrash(8, "a", Start);
    quarantine front(1min, 16);
    front.merge(owner.snapshot(Start + 30s), Start + 30s);
    CHECK(front.isRefused(7, Start + 30s));
    CHECK_FALSE(front.isRefused(8, Start + 30s));
    CHECK(owner.snapshot(Start + 2min).crashes.empty());
    CHECK(owner.snapshot(Start + 2min).quarantined.empty());
}
