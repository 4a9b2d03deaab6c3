#include <doctest/doctest.h>

#include "catalogue/catalogue.h"

using namespace balsamhook;
using names = evacuation_set::names;

TEST_CASE("evacuation_set: what an era lacks holds for the HoldPeriod of the last era, and only until it is taken back")
{
    const evacuation_set::clock::time_point start{};
    evacuation_set evacuations;
    evacuations.replace({"a", "b", "c"});
    evacuations.beginEra(start);
    evacuations.replace({"a"});
    CHECK(evacuations.inForce() == names{"a", "b", "c"});
    CHECK(evacuations.listed() == names{"a"});
    evacuations.erase("b");
    CHECK(evacuations.inForce() == names{"a", "c"});

    const auto second = start + evacuation_set::HoldPeriod / 2;
    evacuations.beginEra(second);
    evacuations.replace({});
    evacuations.expire(start + evacuation_set::HoldPeriod);
    CHECK(evacuations.inForce() == names{"a", "c"});
    evacuations.insert("a");
    evacuations.expire(second + evacuation_set::HoldPeriod);
    CHECK(evacuations.inForce() == names{"a"});
}
