#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "configuration/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace balsamhook;
using nlohmann::json;

namespace
{

/// Returns a document with two data centres, a query service of two shards with two replicas each, and a command service.
json exampleJson()
{
    json targets = json::array();
    json shards = json::array();
    int port = 9000;
    const auto addTarget = [&](const std::string &name, const std::string &dataCentre) {
        targets.push_back({{"name", name},
                           {"data_centre", dataCentre},
                           {"address", "127.40.1.1:" + std::to_string(port++)},
                           {"slots", 2},
                           {"connections", 25},
                           {"cold_slots", 1},
                           {"state", "in"}});
    };
    for (const std::string shard : {"0", "1"}) {
        addTarget("finder-" + shard + "-a", "dc1");
        addTarget("finder-" + shard + "-b", "dc2");
        shards.push_back({{"shard", shard}, {"targets", {"finder-" + shard + "-a", "finder-" + shard + "-b"}}});
    }
    addTarget("ledger-a", "dc1");
    addTarget("ledger-b", "dc2");
    return {{"data_centres", {{{"name", "dc1"}, {"state", "in"}}, {{"name", "dc2"}, {"state", "in"}}}},
            {"services",
             {{{"name", "finder"}, {"kind", "query"}, {"layout_epoch", 1}, {"deadline_ms", 260}, {"shards", shards}},
              {{"name", "ledger"}, {"kind", "command"}, {"shards", {{{"shard", "0"}, {"targets", {"ledger-a", "ledger-b"}}}}}}}},
            {"targets", targets}};
}

configuration_document example()
{
    return parseDocument(exampleJson().dump()).value();
}

/// Returns the error message for a document, or an empty string when it is valid.
std::string errorMessageOf(const json &document)
{
    const auto parsed = parseDocument(document.dump());
    if (parsed) {
        return "";
    }
    CHECK(parsed.error().code == error_code::Invalid);
    CHECK(parsed.error().step == error_step::Validate);
    return parsed.error().message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

intent parsedIntent(const json &requested)
{
    auto parsed = parseIntent(requested.dump());
    REQUIRE_MESSAGE(parsed.has_value(), describe(parsed.error()));
    return parsed.value();
}

result<plan> planOf(const configuration_document &current, std::uint64_t baseRevision, const json &requested)
{
    return makePlan(current, baseRevision, parsedIntent(requested), requested.dump(), "p1");
}

/// Returns a document with one query service of the given number of shards with two replicas each.
configuration_document wideDocument(std::size_t shards)
{
    configuration_document document;
    document.dataCentres = {{"dc1", false}, {"dc2", false}};
    service_configuration service;
    service.name = "wide";
    for (std::size_t i = 0; i < shards; ++i) {
        shard_configuration shard{std::to_string(i), {}};
        for (const char *replica : {"a", "b"}) {
            target_configuration target;
            target.name = "wide-" + shard.shard + "-" + replica;
            target.dataCentre = *replica == 'a' ? "dc1" : "dc2";
            target.address = {"127.40.1.1", static_cast<std::uint16_t>(9000 + document.targets.size())};
            target.slots = 2;
            target.connections = 25;
            shard.targets.push_back(target.name);
            document.targets.push_back(target);
        }
        service.shards.push_back(shard);
    }
    document.services.push_back(service);
    return document;
}

// Generators of random valid documents.

std::string randomName(const std::string &prefix, std::size_t index)
{
    const auto suffix = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019._-")));
    return prefix + std::to_string(index) + "-" + suffix.substr(0, 20);
}

target_configuration randomTarget(const configuration_document &document, std::size_t index)
{
    target_configuration target;
    target.name = randomName("t", index);
    target.dataCentre = (*rc::gen::elementOf(document.dataCentres)).name;
    target.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    target.slots = *rc::gen::inRange<std::uint32_t>(1, 1025);
    target.connections = *rc::gen::inRange<std::uint32_t>(target.slots, 10001);
    target.coldSlots = *rc::gen::inRange<std::uint32_t>(1, target.slots + 1);
    target.leaving = *rc::gen::arbitrary<bool>();
    return target;
}

service_configuration randomService(configuration_document &document, std::size_t index)
{
    service_configuration service;
    service.name = randomName("s", index);
    service.kind = *rc::gen::element(service_kind::Query, service_kind::Command);
    service.layoutEpoch = *rc::gen::inRange<std::uint64_t>(1, std::uint64_t(1) << 53U);
    service.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 60001));
    service.answerAfter = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, service.deadline.count() + 1));
    service.minimumCoverage = *rc::gen::inRange(0, 10001) / 10000.0;
    service.hedgePercent = *rc::gen::inRange(0, 100001) / 1000.0;
    const std::size_t shards = service.kind == service_kind::Command ? 1 : *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t i = 0; i < shards; ++i) {
        shard_configuration shard{randomName("", i), {}};
        const std::size_t replicas = *rc::gen::inRange<std::size_t>(1, 4);
        for (std::size_t j = 0; j < replicas; ++j) {
            document.targets.push_back(randomTarget(document, document.targets.size()));
            shard.targets.push_back(document.targets.back().name);
        }
        service.shards.push_back(shard);
    }
    return service;
}

configuration_document randomDocument()
{
    configuration_document document;
    const std::size_t dataCentres = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t i = 0; i < dataCentres; ++i) {
        document.dataCentres.push_back({randomName("dc", i), *rc::gen::arbitrary<bool>()});
    }
    const std::size_t services = *rc::gen::inRange<std::size_t>(0, 4);
    for (std::size_t i = 0; i < services; ++i) {
        service_configuration service = randomService(document, i);
        document.services.push_back(std::move(service));
    }
    return document;
}

/// Replaces or adds a value at a random position.
void mutate(json &value)
{
    const bool descend = value.is_structured() && !value.empty() && *rc::gen::inRange(0, 4) != 0;
    if (descend) {
        const std::size_t child = *rc::gen::inRange<std::size_t>(0, value.size());
        mutate(*std::next(value.begin(), static_cast<std::ptrdiff_t>(child)));
        return;
    }
    const json replacements[] = {nullptr, true, -1, 0, 1, 4097, std::uint64_t(-1), 1e300, 0.5, "", "dc1", std::string(300, 'x'), json::array(), json::object()};
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0 && value.is_object()) {
        value[*rc::gen::element<std::string>("state", "name", "surprise")]
            = *rc::gen::elementOf(std::vector<json>(std::begin(replacements), std::end(replacements)));
    } else if (kind == 1 && value.is_array() && !value.empty()) {
        value.push_back(value[0]);
    } else {
        value = *rc::gen::elementOf(std::vector<json>(std::begin(replacements), std::end(replacements)));
    }
}

/// Truncates a text or overwrites bytes of it.
std::string damage(std::string text)
{
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const std::size_t position = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::inRange(0, 4) == 0) {
            text.resize(position);
        } else {
            text[position] = *rc::gen::arbitrary<char>();
        }
    }
    return text;
}

} // namespace

TEST_CASE("a document is the same after a round trip through its text")
{
    const configuration_document document = example();
    CHECK(document.services.at(0).shards.at(1).targets == std::vector<std::string>{"finder-1-a", "finder-1-b"});
    CHECK(document.services.at(1).kind == service_kind::Command);
    CHECK(document.findTarget("finder-0-b")->dataCentre == "dc2");
    CHECK(document.findTarget("finder-0-b")->connections == 25);
    CHECK(document.findTarget("nobody") == nullptr);
    CHECK(documentText(parseDocument(documentText(document)).value()) == documentText(document));
    CHECK(parseDocument(R"({"data_centres":[],"services":[],"targets":[]})").has_value());
}

TEST_CASE("a target is usable unless it is leaving or its data centre is out")
{
    configuration_document document = example();
    CHECK(document.isUsable(*document.findTarget("finder-0-a")));
    document.dataCentres[0].out = true;
    CHECK_FALSE(document.isUsable(*document.findTarget("finder-0-a")));
    CHECK(document.isUsable(*document.findTarget("finder-0-b")));
    document.targets[1].leaving = true;
    CHECK_FALSE(document.isUsable(*document.findTarget("finder-0-b")));
}

TEST_CASE("the error for a value out of range has the field, the value and the allowed range")
{
    struct bad_value
    {
        const char *pointer;
        json value;
        const char *message;
    };
    const bad_value cases[] = {
        {"/targets/3/slots", 0, "targets[3].slots: value 0 is not a whole number in 1 to 1024"},
        {"/targets/3/slots", 1025, "targets[3].slots: value 1025 is not a whole number in 1 to 1024"},
        {"/targets/3/slots", 1.5, "targets[3].slots: value 1.5 is not a whole number in 1 to 1024"},
        {"/targets/3/slots", -1, "targets[3].slots: value -1 is not a whole number in 1 to 1024"},
        {"/targets/3/slots", "2", "targets[3].slots: value \"2\" is not a whole number in 1 to 1024"},
        {"/targets/0/connections", 1, "targets[0].connections: value 1 is not a whole number in 2 to 10000"},
        {"/targets/0/connections", 10001, "targets[0].connections: value 10001 is not a whole number in 2 to 10000"},
        {"/targets/0/cold_slots", 3, "targets[0].cold_slots: value 3 is not a whole number in 1 to 2"},
        {"/targets/0/cold_slots", 0, "targets[0].cold_slots: value 0 is not a whole number in 1 to 2"},
        {"/targets/0/state", "out", "targets[0].state: value \"out\" is not 'in' or 'leaving'"},
        {"/targets/0/address", "host:80", "targets[0].address: 'host:80' is not a numeric IP address and a port in 1 to 65535"},
        {"/targets/0/name", "", "targets[0].name: value \"\" is not a name"},
        {"/targets/0/name", "a/b", "targets[0].name: value \"a/b\" is not a name"},
        {"/targets/0/name", "..", "targets[0].name: value \"..\" is not a name"},
        {"/services/0/deadline_ms", 0, "services[0].deadline_ms: value 0 is not a whole number in 1 to 60000"},
        {"/services/0/deadline_ms", 60001, "services[0].deadline_ms: value 60001 is not a whole number in 1 to 60000"},
        {"/services/0/answer_after_ms", 261, "services[0].answer_after_ms: value 261 is not a whole number in 0 to 260"},
        {"/services/0/minimum_coverage", 1.01, "services[0].minimum_coverage: value 1.01 is not a number in 0.0 to 1.0"},
        {"/services/0/hedge_percent", -1, "services[0].hedge_percent: value -1 is not a number in 0.0 to 100.0"},
        {"/services/0/layout_epoch", 0, "services[0].layout_epoch: value 0 is not a whole number in 1 to 9007199254740991"},
        {"/services/0/kind", "mixed", "services[0].kind: value \"mixed\" is not 'query' or 'command'"},
        {"/services/0/shards/0/targets", json::array(), "services[0].shards[0].targets: a list of 0 entries is not in 1 to 64"},
        {"/services/0/shards", json::array(), "services[0].shards: a list of 0 entries is not in 1 to 1024"},
        {"/services/0/kind", "command", "services[0].shards: a list of 2 entries is not in 1 to 1"},
        {"/data_centres/0/state", "off", "data_centres[0].state: value \"off\" is not 'in' or 'out'"},
        {"/data_centres", 5, "data_centres: value 5 is not a list"},
    };
    for (const bad_value &bad : cases) {
        json document = exampleJson();
        document[json::json_pointer(bad.pointer)] = bad.value;
        const std::string message = errorMessageOf(document);
        CAPTURE(bad.pointer);
        CHECK_MESSAGE(contains(message, bad.message), message);
    }
}

TEST_CASE("the error for a missing, unknown or duplicate field has its name")
{
    json document = exampleJson();
    document["targets"][1].erase("cold_slots");
    CHECK(errorMessageOf(document) == "targets[1].cold_slots: the field is missing");
    document = exampleJson();
    document["services"][0]["hedge_precent"] = 5;
    CHECK(errorMessageOf(document) == "services[0].hedge_precent: the field is unknown");
    document = exampleJson();
    document["extra"] = 1;
    CHECK(errorMessageOf(document) == "extra: the field is unknown");
    const auto repeated = parseDocument(R"({"data_centres":[],"services":[],"targets":[],"targets":[]})");
    REQUIRE(repeated.has_error());
    CHECK(contains(repeated.error().message, "\"targets\": the field occurs twice"));
    for (const char *text : {"", "{", "[]", "null", "{\"data_centres\":[]}", "{\"a\":1}trailing"}) {
        CAPTURE(text);
        CHECK(parseDocument(text).has_error());
    }
}

TEST_CASE("duplicate names and dangling references are refused")
{
    json document = exampleJson();
    document["targets"][1]["name"] = "finder-0-a";
    CHECK(contains(errorMessageOf(document), "targets[1].name: value 'finder-0-a' is already used by targets[0].name"));
    document = exampleJson();
    document["targets"][1]["address"] = document["targets"][0]["address"];
    CHECK(contains(errorMessageOf(document), "targets[1].address: value '127.40.1.1:9000' is already used"));
    document = exampleJson();
    document["data_centres"][1]["name"] = "dc1";
    CHECK(contains(errorMessageOf(document), "data_centres[1].name: value 'dc1' is already used"));
    document = exampleJson();
    document["services"][1]["name"] = "finder";
    CHECK(contains(errorMessageOf(document), "services[1].name: value 'finder' is already used"));
    document = exampleJson();
    document["services"][0]["shards"][1]["shard"] = "0";
    CHECK(contains(errorMessageOf(document), "services[0].shards[1].shard: value '0' is already used"));
    document = exampleJson();
    document["services"][0]["shards"][1]["targets"][0] = "finder-0-a";
    CHECK(contains(errorMessageOf(document), "services[0].shards[1].targets[0]: value 'finder-0-a' is already used by services[0].shards[0].targets[0]"));
    document = exampleJson();
    document["services"][1]["shards"][0]["targets"][0] = "finder-0-a";
    CHECK(contains(errorMessageOf(document), "services[1].shards[0].targets[0]: value 'finder-0-a' is already used"));
    document = exampleJson();
    document["services"][0]["shards"][0]["targets"][1] = "nobody";
    CHECK(contains(errorMessageOf(document), "services[0].shards[0].targets[1]: value \"nobody\" is not the name of a target"));
    document = exampleJson();
    document["targets"][0]["data_centre"] = "dc9";
    CHECK(contains(errorMessageOf(document), "targets[0].data_centre: value 'dc9' is not the name of a data centre"));
}

TEST_CASE("a document of 4096 targets is valid and within the size limit of objects, and one of 4097 targets is refused")
{
    configuration_document document = wideDocument(1024);
    const configuration_document second = wideDocument(1024);
    document.services.push_back(second.services[0]);
    document.services[1].name = "wide2";
    for (std::size_t i = 0; i < second.targets.size(); ++i) {
        target_configuration target = second.targets[i];
        target.name += "-2";
        target.address.address = "127.40.1.2";
        document.targets.push_back(target);
        document.services[1].shards[i / 2].targets[i % 2] = target.name;
    }
    REQUIRE(document.targets.size() == 4096);
    REQUIRE(parseDocument(documentText(document)).has_value());
    const json requested = {{"intent", "apply_configuration"}, {"document", json::parse(documentText(document))}};
    const auto proposed = planOf({}, 0, requested);
    REQUIRE_MESSAGE(proposed.has_value(), describe(proposed.error()));
    CHECK(planText(proposed.value()).size() < 1024 * 1024);
    for (const section_text &section : splitSections(document)) {
        CHECK(section.text.size() < 1024 * 1024);
    }
    document.targets.push_back(document.targets[0]);
    document.targets.back().name = "spare";
    CHECK(errorMessageOf(json::parse(documentText(document))) == "targets: a list of 4097 entries is not in 0 to 4096");
}

TEST_CASE("property: a random document is the same after a round trip through its text and its sections")
{
    CHECK(rc::check([] {
        const configuration_document document = randomDocument();
        const std::string text = documentText(document);
        const auto parsed = parseDocument(text);
        if (!parsed) {
            RC_FAIL(describe(parsed.error()));
        }
        RC_ASSERT(documentText(parsed.value()) == text);
        RC_ASSERT(describeChanges(document, parsed.value()).empty());
        const configuration_root root = makeRoot(document, 3, "n", "p");
        RC_ASSERT(documentText(joinSections(root, splitSections(document)).value()) == text);
    }));
}

TEST_CASE("property: mutated JSON is accepted or refused without an exception")
{
    CHECK(rc::check([] {
        json value = exampleJson();
        const int mutations = *rc::gen::inRange(1, 5);
        for (int i = 0; i < mutations; ++i) {
            mutate(value);
        }
        const auto parsed = parseDocument(value.dump());
        if (parsed) {
            RC_ASSERT(parseDocument(documentText(parsed.value())).has_value());
        } else {
            RC_ASSERT(parsed.error().code == error_code::Invalid);
            RC_ASSERT(!parsed.error().message.empty());
        }
        json requested = {{"intent", "apply_configuration"}, {"document", value}};
        RC_ASSERT(parseIntent(requested.dump()).has_value() == parsed.has_value());
    }));
}

TEST_CASE("property: inputs with corrupt bytes cause no exception in any parser")
{
    const json addTarget = {{"intent", "add_target"}, {"target", exampleJson()["targets"][0]}, {"service", "finder"}, {"shard", "0"}};
    const json policy = {{"intent", "set_service_policy"}, {"service", "finder"}, {"deadline_ms", 100}};
    const auto proposed = planOf(example(), 1, {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}});
    REQUIRE(proposed.has_value());
    const std::string inputs[]
        = {exampleJson().dump(), addTarget.dump(), policy.dump(), planText(proposed.value()), rootText(makeRoot(example(), 1, "n", "p"))};
    CHECK(rc::check([&inputs] {
        const std::string text = damage(inputs[*rc::gen::inRange<std::size_t>(0, std::size(inputs))]);
        // Only exceptions and crashes are tested; each parser may accept or refuse the text.
        static_cast<void>(parseDocument(text).has_value());
        static_cast<void>(parseIntent(text).has_value());
        static_cast<void>(parsePlan(text).has_value());
        static_cast<void>(parseRoot(text).has_value());
        const auto copied = makePlan(example(), 1, take_out_data_centre_intent{"dc1", false}, text, text);
        RC_ASSERT(copied.has_value());
        static_cast<void>(parsePlan(planText(copied.value())).has_value());
    }));
}

TEST_CASE("deeply nested JSON is refused (guards against recursion that exhausts the stack)")
{
    const std::string deep(200000, '[');
    CHECK(parseDocument(deep).has_error());
    CHECK(parseDocument(deep + std::string(200000, ']')).has_error());
}

TEST_CASE("a root is the same after a round trip through its text, and invalid roots are refused")
{
    configuration_root root = makeRoot(example(), 1, "nonce-1", "p1");
    root = makeNextRoot(root, example(), "nonce-2", "p2");
    CHECK(root.revision == 2);
    const auto parsed = parseRoot(rootText(root));
    REQUIRE(parsed.has_value());
    CHECK(rootText(parsed.value()) == rootText(root));
    CHECK(parsed.value().earlier.at(0).nonce == "nonce-1");
    json value = json::parse(rootText(root));
    value["nonce"] = "";
    CHECK(parseRoot(value.dump()).has_error());
    value = json::parse(rootText(root));
    value["sections"].erase("targets-7");
    CHECK(parseRoot(value.dump()).has_error());
    value = json::parse(rootText(root));
    value["sections"]["targets-7"] = "../members/list";
    CHECK(parseRoot(value.dump()).has_error());
    value = json::parse(rootText(root));
    value["revision"] = 0;
    CHECK(parseRoot(value.dump()).has_error());
    value = json::parse(rootText(root));
    value.erase("earlier");
    CHECK(parseRoot(value.dump()).has_value());
}

TEST_CASE("a missing section and an altered one have different error codes")
{
    const configuration_root root = makeRoot(example(), 1, "n", "p");
    std::vector<section_text> texts = splitSections(example());
    CHECK(documentText(joinSections(root, texts).value()) == documentText(example()));
    std::vector<section_text> incomplete = texts;
    incomplete.pop_back();
    CHECK(joinSections(root, incomplete).error().code == error_code::NotFound);
    texts[1].text += " ";
    CHECK(joinSections(root, texts).error().code == error_code::Invalid);
    CHECK(joinSections(configuration_root(), texts).has_error());
}

TEST_CASE("unchanged sections keep their hashes")
{
    configuration_document changed = example();
    changed.dataCentres[0].out = true;
    const configuration_root before = makeRoot(example(), 1, "n", "p");
    const configuration_root after = makeRoot(changed, 2, "m", "q");
    for (const auto &[name, hash] : before.sections) {
        CAPTURE(name);
        CHECK((hash != after.sections.at(name)) == (name == "data_centres"));
    }
}

TEST_CASE("a change of one target changes one section (guards against transfers that grow with the site)")
{
    configuration_document changed = example();
    changed.targets[0].slots += 1;
    const configuration_root before = makeRoot(example(), 1, "n", "p");
    const configuration_root after = makeRoot(changed, 2, "m", "q");
    const auto isChanged = [&after](const auto &section) { return section.second != after.sections.at(section.first); };
    CHECK(std::count_if(before.sections.begin(), before.sections.end(), isChanged) == 1);
}

TEST_CASE("an intent changes the entries and fields that it names")
{
    const configuration_document document = example();
    const auto out = applyIntent(document, parsedIntent({{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}}));
    CHECK(out.value().findDataCentre("dc1")->out);
    const auto back = applyIntent(out.value(), parsedIntent({{"intent", "bring_back_data_centre"}, {"data_centre", "dc1"}}));
    CHECK(documentText(back.value()) == documentText(document));
    const auto retired = applyIntent(document, parsedIntent({{"intent", "retire_target"}, {"target", "ledger-a"}}));
    CHECK(retired.value().findTarget("ledger-a")->leaving);
    const json target = {{"name", "new"}, {"data_centre", "dc2"}, {"address", "10.0.0.9:9000"}, {"slots", 4}, {"connections", 8}, {"cold_slots", 1}};
    const auto added = applyIntent(document, parsedIntent({{"intent", "add_target"}, {"target", target}, {"service", "finder"}, {"shard", "1"}}));
    CHECK(added.value().findService("finder")->shards[1].targets.back() == "new");
    CHECK(added.value().findTarget("new")->slots == 4);
    const auto policy = applyIntent(document,
                                    parsedIntent({{"intent", "set_service_policy"},
                                                  {"service", "finder"},
                                                  {"deadline_ms", 500},
                                                  {"minimum_coverage", 0.9},
                                                  {"answer_after_ms", 300},
                                                  {"hedge_percent", 2}}));
    const service_configuration &finder = *policy.value().findService("finder");
    CHECK(finder.deadline == std::chrono::milliseconds(500));
    CHECK(finder.answerAfter == std::chrono::milliseconds(300));
    CHECK(finder.minimumCoverage == doctest::Approx(0.9));
    CHECK(finder.hedgePercent == doctest::Approx(2));
    CHECK(finder.shards.size() == 2);
}

TEST_CASE("invalid intents, and intents that don't match the document, are refused")
{
    const json bad[] = {
        {{"intent", "explode"}},
        {{"intent", 5}},
        json::object(),
        {{"intent", "take_out_data_centre"}},
        {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}, {"overide", true}},
        {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}, {"override", "yes"}},
        {{"intent", "bring_back_data_centre"}, {"data_centre", "dc1"}, {"override", true}},
        {{"intent", "set_service_policy"}, {"service", "finder"}},
        {{"intent", "set_service_policy"}, {"service", "finder"}, {"deadline_ms", 0}},
        {{"intent", "add_target"}, {"target", {{"name", "x"}}}, {"service", "finder"}, {"shard", "0"}},
        {{"intent", "apply_configuration"}, {"document", 7}},
    };
    for (const json &requested : bad) {
        CAPTURE(requested.dump());
        CHECK(parseIntent(requested.dump()).has_error());
    }
    const configuration_document document = example();
    const auto codeOf = [&document](const intent &requested) { return applyIntent(document, requested).error().code; };
    CHECK(codeOf(take_out_data_centre_intent{"dc9", false}) == error_code::NotFound);
    CHECK(codeOf(retire_target_intent{"nobody", false}) == error_code::NotFound);
    CHECK(codeOf(add_target_intent{document.targets[0], "finder", "0"}) == error_code::Invalid);
    CHECK(codeOf(add_target_intent{document.targets[0], "finder", "9"}) == error_code::NotFound);
    target_configuration duplicate = document.targets[0];
    duplicate.name = "other-name";
    CHECK(codeOf(add_target_intent{duplicate, "finder", "0"}) == error_code::Invalid);
    set_service_policy_intent policy;
    policy.service = "finder";
    policy.answerAfter = std::chrono::milliseconds(261);
    CHECK(codeOf(policy) == error_code::Invalid);
}

TEST_CASE("a plan that leaves a shard without a usable replica requires an override")
{
    configuration_document document = example();
    const json takeOut = {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}};
    const auto harmless = planOf(document, 4, takeOut);
    REQUIRE(harmless.has_value());
    CHECK(harmless.value().state == plan_state::Proposed);
    CHECK(harmless.value().steps == std::vector<std::string>{"data centre 'dc1' is taken out of service"});
    const service_preview &finder = harmless.value().preview.at(0);
    CHECK(finder.service == "finder");
    CHECK(finder.slotsBefore == 8);
    CHECK(finder.slotsAfter == 4);
    CHECK(finder.shardsWithOneReplica == std::vector<std::string>{"0", "1"});
    CHECK(finder.shardsWithoutReplica.empty());
    CHECK(harmless.value().warnings.at(0) == "service 'finder' has 2 of 2 shards with only one usable replica");

    document.targets[1].leaving = true;
    const auto refused = planOf(document, 4, takeOut);
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == error_code::Invalid);
    CHECK(refused.error().message == "the plan would leave no usable replica for 'finder' shard '0'");
    const auto retire = planOf(document, 4, {{"intent", "retire_target"}, {"target", "finder-0-a"}});
    CHECK(retire.has_error());
    const auto forced = planOf(document, 4, {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}, {"override", true}});
    REQUIRE(forced.has_value());
    CHECK(forced.value().preview.at(0).shardsWithoutReplica == std::vector<std::string>{"0"});
    CHECK(planOf(document, 4, {{"intent", "retire_target"}, {"target", "finder-0-a"}, {"override", true}}).has_value());
}

TEST_CASE("a shard that already has no usable replica doesn't block other plans, and a new shard without one does")
{
    configuration_document document = example();
    document.dataCentres[0].out = true;
    document.targets[1].leaving = true;
    CHECK(planOf(document, 4, {{"intent", "set_service_policy"}, {"service", "finder"}, {"deadline_ms", 100}}).has_value());
    CHECK(planOf(document, 4, {{"intent", "bring_back_data_centre"}, {"data_centre", "dc1"}}).has_value());
    CHECK(planOf(document, 4, {{"intent", "retire_target"}, {"target", "finder-1-b"}}).has_error());
    const json apply = {{"intent", "apply_configuration"}, {"document", json::parse(documentText(document))}};
    CHECK(planOf(example(), 4, apply).has_error());
    CHECK(planOf({}, 0, apply).has_error());
    CHECK(planOf(document, 4, apply).value().warnings.at(0) == "the plan changes nothing");
}

TEST_CASE("describeChanges: one sentence for each changed entry and field")
{
    configuration_document after = example();
    after.targets[0].slots = 4;
    after.targets[5].leaving = true;
    after.services[0].deadline = std::chrono::milliseconds(300);
    after.services[0].shards[0].targets.pop_back();
    after.services[0].shards[1].shard = "2";
    after.dataCentres.push_back({"dc3", false});
    const std::vector<std::string> expected = {
        "data centre 'dc3' is added",
        "service 'finder' changes deadline_ms 260 to 300",
        "service 'finder' loses shard '1'",
        "service 'finder' shard '0' changes targets [\"finder-0-a\",\"finder-0-b\"] to [\"finder-0-a\"]",
        "service 'finder' gains shard '2' with targets [\"finder-1-a\",\"finder-1-b\"]",
        "target 'finder-0-a' changes slots 2 to 4",
        "target 'ledger-b' is retired",
    };
    CHECK(describeChanges(example(), after) == expected);
    CHECK(describeChanges(example(), example()).empty());
    configuration_document reordered = example();
    std::swap(reordered.dataCentres[0], reordered.dataCentres[1]);
    CHECK(describeChanges(example(), reordered) == std::vector<std::string>{"the order of the entries changes"});
    // The order of targets and services has no meaning and isn't reported as a change.
    reordered = example();
    std::swap(reordered.targets[0], reordered.targets[1]);
    CHECK(documentText(reordered) == documentText(example()));
    CHECK(describeChanges(example(), reordered).empty());
}

TEST_CASE("a plan is the same after a round trip through its text")
{
    plan proposed = planOf(example(), 4, {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}}).value();
    for (const plan_state state : {plan_state::Proposed, plan_state::Confirming, plan_state::Applied, plan_state::Refused}) {
        proposed.state = state;
        proposed.revision = 5;
        proposed.refusal = "stale";
        const auto parsed = parsePlan(planText(proposed));
        REQUIRE(parsed.has_value());
        CHECK(planText(parsed.value()) == planText(proposed));
        CHECK(parsed.value().state == state);
        CHECK(parsed.value().digest == proposed.digest);
    }
    json value = json::parse(planText(proposed));
    value["state"] = "maybe";
    CHECK(parsePlan(value.dump()).has_error());
}

TEST_CASE("property: the digest changes with the base revision, the intent and the document")
{
    CHECK(rc::check([] {
        const configuration_document document = randomDocument();
        const std::string name = (*rc::gen::elementOf(document.dataCentres)).name;
        const intent takeOut = take_out_data_centre_intent{name, true};
        const intent bringBack = bring_back_data_centre_intent{name};
        const auto revision = *rc::gen::inRange<std::uint64_t>(0, 1000);
        const auto other = *rc::gen::inRange<std::uint64_t>(0, 1000);
        const std::string digest = makePlan(document, revision, takeOut, "out", "p1").value().digest;
        RC_ASSERT(makePlan(document, revision, takeOut, "out", "p2").value().digest == digest);
        RC_ASSERT((makePlan(document, other, takeOut, "out", "p1").value().digest == digest) == (other == revision));
        RC_ASSERT(makePlan(document, revision, takeOut, "out ", "p1").value().digest != digest);
        RC_ASSERT(makePlan(document, revision, bringBack, "out", "p1").value().digest != digest);
    }));
}

TEST_CASE("plan machine: a plan is applied or refused once, and both states are final")
{
    plan_machine machine(plan_state::Proposed);
    CHECK_FALSE(machine.process(plan_event::Applied));
    CHECK(machine.state() == plan_state::Proposed);
    CHECK(machine.process(plan_event::Confirm));
    CHECK(machine.state() == plan_state::Confirming);
    CHECK_FALSE(machine.isUnsettled());
    CHECK(machine.process(plan_event::Applied));
    CHECK(machine.state() == plan_state::Applied);
    for (const plan_state end : {plan_state::Applied, plan_state::Refused}) {
        plan_machine ended(end);
        for (int event = 0; event <= static_cast<int>(plan_event::SettledRefused); ++event) {
            CHECK_FALSE(ended.process(static_cast<plan_event>(event)));
            CHECK(ended.state() == end);
        }
    }
}

TEST_CASE("plan machine: after a lost response a conflict doesn't refuse the plan, and only a settle event determines the outcome")
{
    plan_machine machine(plan_state::Proposed);
    CHECK(machine.process(plan_event::Confirm));
    CHECK(machine.process(plan_event::ResponseLost));
    CHECK(machine.isUnsettled());
    CHECK(machine.process(plan_event::Conflict));
    CHECK(machine.isUnsettled());
    CHECK(machine.state() == plan_state::Confirming);
    CHECK(machine.process(plan_event::SettledApplied));
    CHECK(machine.state() == plan_state::Applied);

    plan_machine resumed(plan_state::Confirming);
    CHECK(resumed.isUnsettled());
    CHECK(resumed.process(plan_event::SettledRefused));
    CHECK(resumed.state() == plan_state::Refused);

    plan_machine conflicted(plan_state::Proposed);
    CHECK(conflicted.process(plan_event::Confirm));
    CHECK(conflicted.process(plan_event::Conflict));
    CHECK(conflicted.state() == plan_state::Refused);
}

TEST_CASE("decideConfirm: the decision depends on digest, state and revision")
{
    plan proposed = planOf(example(), 4, {{"intent", "take_out_data_centre"}, {"data_centre", "dc1"}}).value();
    CHECK(decideConfirm(proposed, "other", 4) == confirm_decision::WrongDigest);
    CHECK(decideConfirm(proposed, proposed.digest, 4) == confirm_decision::Write);
    CHECK(decideConfirm(proposed, proposed.digest, 5) == confirm_decision::Stale);
    proposed.state = plan_state::Applied;
    CHECK(decideConfirm(proposed, proposed.digest, 9) == confirm_decision::AlreadyApplied);
    proposed.state = plan_state::Refused;
    CHECK(decideConfirm(proposed, proposed.digest, 4) == confirm_decision::Refused);
    proposed.state = plan_state::Confirming;
    CHECK(decideConfirm(proposed, proposed.digest, 4) == confirm_decision::Settle);
}

TEST_CASE("settle: the outcome of an update is determined from later roots, up to the limit of recorded origins")
{
    const configuration_document document = example();
    const configuration_root base = makeRoot(document, 4, "n4", "p4");
    CHECK(settle(nullptr, 0, "mine", "p") == settlement::Unwritten);
    CHECK(settle(&base, 4, "mine", "p") == settlement::Unwritten);
    configuration_root ours = makeNextRoot(base, document, "mine", "p");
    configuration_root theirs = makeNextRoot(base, document, "n5", "p5");
    for (std::size_t later = 0; later <= MaxEarlierOrigins; ++later) {
        CHECK(settle(&ours, 4, "mine", "p") == settlement::Applied);
        CHECK(settle(&ours, 4, "other-controller", "p") == settlement::Applied);
        CHECK(settle(&theirs, 4, "mine", "p") == settlement::Superseded);
        ours = makeNextRoot(ours, document, "later", "q");
        theirs = makeNextRoot(theirs, document, "later", "q");
    }
    CHECK(settle(&ours, 4, "mine", "p") == settlement::Unknown);
    CHECK(settle(&theirs, 4, "mine", "p") == settlement::Unknown);
    CHECK(eventOf(settlement::Applied) == plan_event::SettledApplied);
    CHECK(eventOf(settlement::Superseded) == plan_event::SettledRefused);
    CHECK_FALSE(eventOf(settlement::Unwritten).has_value());
    CHECK_FALSE(eventOf(settlement::Unknown).has_value());
}
