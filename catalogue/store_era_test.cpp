#include <doctest/doctest.h>

#include "catalogue/catalogue.h"

using namespace balsamhook;
using verdict = store_era::verdict;

TEST_CASE("store_era: a later era is followed, whoever names it, and late answers of the earlier one are outdated")
{
    store_era era;
    const auto first = era.beginCall();
    CHECK(era.observe(3, first) == verdict::Current);
    const auto late = era.beginCall();
    CHECK(era.observeHint(4) == verdict::Changed);
    CHECK(era.observe(3, late) == verdict::Outdated);
    CHECK(era.observeHint(3) == verdict::Outdated);
    CHECK(era.observe(4, late) == verdict::Current);
    CHECK(era.observe(6, era.beginCall()) == verdict::Changed);
    CHECK(era.followed() == 6U);
}

TEST_CASE("store_era: a wrong later era is given up by the next answer (guards against one odd header that stops the catalogue for good)")
{
    store_era era;
    CHECK(era.observe(3, era.beginCall()) == verdict::Current);
    CHECK(era.observeHint(900) == verdict::Changed);
    CHECK(era.observeHint(3) == verdict::Outdated);
    CHECK(era.observe(3, era.beginCall()) == verdict::Changed);
    CHECK(era.followed() == 3U);
}

TEST_CASE("store_era: answers without an era count by when their call began (guards against a store, or a message of an older build, that names none)")
{
    store_era unnamed;
    CHECK(unnamed.observe(std::nullopt, unnamed.beginCall()) == verdict::Current);
    CHECK(unnamed.observeHint(std::nullopt) == verdict::Current);
    CHECK(unnamed.observe(2, unnamed.beginCall()) == verdict::Changed);
    store_era hinted;
    CHECK(hinted.observeHint(std::nullopt) == verdict::Current);
    CHECK(hinted.observe(2, hinted.beginCall()) == verdict::Changed);

    store_era named;
    CHECK(named.observe(2, named.beginCall()) == verdict::Current);
    const auto late = named.beginCall();
    CHECK(named.observe(std::nullopt, late) == verdict::Current);
    CHECK(named.observeHint(3) == verdict::Changed);
    CHECK(named.observe(std::nullopt, late) == verdict::Outdated);
    CHECK(named.observe(std::nullopt, named.beginCall()) == verdict::Current);
}

TEST_CASE("store_era: after it was forgotten the next era is a first one, and calls from before are late")
{
    store_era era;
    CHECK(era.observe(3, era.beginCall()) == verdict::Current);
    const auto late = era.beginCall();
    era.reset();
    CHECK(era.observe(std::nullopt, late) == verdict::Outdated);
    CHECK(era.observe(9, era.beginCall()) == verdict::Current);
}
