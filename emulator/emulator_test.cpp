#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "emulator/emulator.h"

#include <rapidcheck.h>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Seed = 1;
constexpr double MaxRefusedWithFreeSlots = 0.005;
constexpr auto MeanWork = 120ms;

std::vector<work_distribution> mixedWork()
{
    return {exponentialWork(MeanWork), twoModeWork(MeanWork), paretoWork(MeanWork), logNormalWork(MeanWork / 4)};
}

/// Returns a site whose targets are busy for the given share of the time, if the mean work is MeanWork.
emulated_site siteWith(double load, std::size_t senders, std::size_t targets, unsigned slots)
{
    emulated_site site;
    site.senders = senders;
    site.targets = targets;
    site.slots = slots;
    site.work = constantWork(MeanWork);
    site.requestsPerSecond = load * static_cast<double>(targets * slots) / std::chrono::duration<double>(MeanWork).count();
    return site;
}

} // namespace

TEST_CASE("in_flight_limit: requests of mixed work are served while slots are free (guards against 93% refused with 30 of 90 slots in use)")
{
    emulated_site site = siteWith(0.3, 2, 3, 30);
    for (const work_distribution &work : mixedWork()) {
        site.work = work;
        const emulation_report report = emulate(site, Seed);
        CHECK(report.requests > 1000);
        CHECK(report.shareRefusedWithFreeSlots() < MaxRefusedWithFreeSlots);
    }
}

TEST_CASE("in_flight_limit: one instance can use the slots of targets that have many (guards against refusals of equal requests at 60% load)")
{
    const emulation_report report = emulate(siteWith(0.6, 2, 3, 30), Seed);
    CHECK(report.shareRefusedWithFreeSlots() < MaxRefusedWithFreeSlots);
    CHECK(report.shareInTime() > 0.99);
}

TEST_CASE("in_flight_limit: overload of single requests is refused in time and the others are in time (guards against queues that make all late)")
{
    const emulation_report report = emulate(siteWith(1.4, 1, 4, 2), Seed);
    MESSAGE("share in time at 140% load: ", report.shareInTime(), " of 0.71 possible");
    CHECK(report.shareInTime() > 0.63);
    CHECK(report.refusedWithFreeSlots == 0);
}

TEST_CASE("in_flight_limit: targets that were slow for a while are used again at once (guards against refusals that outlast the cause)")
{
    emulated_site site = siteWith(0.5, 6, 4, 4);
    site.slowFrom = 8s;
    site.slowUntil = 12s;
    site.slowFactor = 6;
    const emulation_report report = emulate(site, Seed);
    CHECK(report.refused > 0);
    CHECK(report.refusedAfterSlowPeriod == 0);
}

TEST_CASE("in_flight_limit: no site refuses requests with free slots at moderate load (property)")
{
    CHECK(rc::check("share refused with free slots", [] {
        const auto kinds = mixedWork();
        emulated_site site = siteWith(0.1 * *rc::gen::inRange(1, 7),
                                      static_cast<std::size_t>(*rc::gen::inRange(1, 31)),
                                      static_cast<std::size_t>(*rc::gen::inRange(2, 11)),
                                      static_cast<unsigned>(*rc::gen::inRange(2, 31)));
        site.work = kinds[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(kinds.size())))];
        site.duration = 10s;
        const emulation_report report = emulate(site, static_cast<std::uint32_t>(*rc::gen::inRange(0, 1000000)));
        RC_ASSERT(report.refusedWithFreeSlots <= 2 + report.requests * MaxRefusedWithFreeSlots);
    }));
}
