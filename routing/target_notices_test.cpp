#include <doctest/doctest.h>

#include "routing/routing.h"

#include <rapidcheck.h>

using namespace balsamhook;
using namespace std::chrono_literals;

TEST_CASE("target_notices: a leaving target stays leaving until another process has its id (guards against requests after a lapse of its registration)")
{
    const target_notices::clock::time_point now{1000s};
    const target_notices::process target{"t0", 7};
    target_notices notices;
    CHECK_FALSE(notices.isLeaving(target));
    CHECK(notices.onLeaving(target));
    CHECK_FALSE(notices.onLeaving(target));
    notices.onRemoved("t0", now);
    notices.onRemoved("other", now + 60s);
    CHECK(notices.isLeaving(target));
    CHECK_FALSE(notices.isLeaving({"t0", 8}));
    CHECK_FALSE(notices.isLeaving({"t1", 7}));
}

TEST_CASE("target_notices: notices of targets that are gone don't accumulate (guards against memory that grows with each release)")
{
    const target_notices::clock::time_point now{1000s};
    const target_notices::process target{"t0", 7};
    target_notices notices;
    notices.onLeaving(target);
    notices.onRemoved("t0", now);
    notices.onRemoved("other", now + target_notices::RetentionPeriod);
    CHECK_FALSE(notices.isLeaving(target));
}

TEST_CASE("target_notices: pauses end at the latest time asked for, for this process only (guards against requests during a pause)")
{
    const bool holds = rc::check([] {
        const target_notices::clock::time_point start{1000s};
        target_notices notices;
        const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100000));
        target_notices::clock::time_point last{};
        for (const int pause : pauses) {
            const auto until = start + std::chrono::milliseconds(pause);
            notices.onPause({"t0", 7}, until);
            last = std::max(last, until);
        }
        RC_ASSERT(notices.pausedUntil({"t0", 7}) == last);
        RC_ASSERT(notices.pausedUntil({"t0", 8}) == target_notices::clock::time_point{});
        RC_ASSERT(!notices.isLeaving({"t0", 7}));
    });
    CHECK(holds);
}
