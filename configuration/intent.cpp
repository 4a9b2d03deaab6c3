#include "configuration/plan.h"

#include "configuration/document_json.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

using nlohmann::json;

template<class Entries>
auto findNamed(Entries &entries, const std::string &name) -> decltype(entries.data())
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&name](const auto &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

error notFound(const std::string &field, const std::string &name, const std::string &kind)
{
    return error{error_code::NotFound, error_step::Validate, "", field + ": value '" + name + "' is not the name of a " + kind + " of the configuration"};
}

intent readApply(json_reader &reader, complaints &found)
{
    apply_configuration_intent wanted;
    wanted.document = readDocument(reader.any("document"), "document", found);
    return wanted;
}

intent readTakeOut(json_reader &reader, complaints &)
{
    take_out_data_centre_intent wanted;
    wanted.dataCentre = reader.name("data_centre");
    wanted.override = reader.flag("override", false);
    return wanted;
}

intent readBringBack(json_reader &reader, complaints &)
{
    return bring_back_data_centre_intent{reader.name("data_centre")};
}

intent readAddTarget(json_reader &reader, complaints &found)
{
    add_target_intent wanted;
    wanted.target = readTarget(reader.any("target"), "target", found);
    wanted.service = reader.name("service");
    wanted.shard = reader.name("shard");
    return wanted;
}

intent readRetire(json_reader &reader, complaints &)
{
    retire_target_intent wanted;
    wanted.target = reader.name("target");
    wanted.override = reader.flag("override", false);
    return wanted;
}

intent readPolicy(json_reader &reader, complaints &)
{
    set_service_policy_intent wanted;
    wanted.service = reader.name("service");
    if (reader.has("deadline_ms")) {
        wanted.deadline = std::chrono::milliseconds(reader.number("deadline_ms", DeadlineMilliseconds));
    }
    if (reader.has("minimum_coverage")) {
        wanted.minimumCoverage = reader.real("minimum_coverage", 0.0, HighestCoverage, 0.0);
    }
    if (reader.has("answer_after_ms")) {
        wanted.answerAfter = std::chrono::milliseconds(reader.number("answer_after_ms", {0, DeadlineMilliseconds.highest}));
    }
    if (reader.has("hedge_percent")) {
        wanted.hedgePercent = reader.real("hedge_percent", 0.0, HighestHedgePercent, 0.0);
    }
    if (!wanted.deadline && !wanted.minimumCoverage && !wanted.answerAfter && !wanted.hedgePercent) {
        reader.complain("intent", "set_service_policy needs one of deadline_ms, minimum_coverage, answer_after_ms, hedge_percent");
    }
    return wanted;
}

struct intent_kind
{
    std::string_view name;
    intent (*read)(json_reader &reader, complaints &found);
};

constexpr intent_kind IntentKinds[] = {
    {"apply_configuration", &readApply},
    {"take_out_data_centre", &readTakeOut},
    {"bring_back_data_centre", &readBringBack},
    {"add_target", &readAddTarget},
    {"retire_target", &readRetire},
    {"set_service_policy", &readPolicy},
};

const intent_kind *findIntentKind(const std::string &name)
{
    const auto *const found = std::find_if(std::begin(IntentKinds), std::end(IntentKinds), [&name](const intent_kind &kind) { return kind.name == name; });
    return found == std::end(IntentKinds) ? nullptr : found;
}

std::string intentNames()
{
    std::string names;
    for (const intent_kind &kind : IntentKinds) {
        names += (names.empty() ? "" : ", ") + std::string(kind.name);
    }
    return names;
}

/// Changes a copy of the document; the caller checks the result.
struct intent_application
{
    configuration_document &document;

    result<void> operator()(const apply_configuration_intent &wanted) const
    {
        document = wanted.document;
        return success();
    }

    result<void> operator()(const take_out_data_centre_intent &wanted) const
    {
        return setOut(wanted.dataCentre, true);
    }

    result<void> operator()(const bring_back_data_centre_intent &wanted) const
    {
        return setOut(wanted.dataCentre, false);
    }

    result<void> operator()(const add_target_intent &wanted) const
    {
        service_configuration *service = findNamed(document.services, wanted.service);
        if (service == nullptr) {
            return notFound("service", wanted.service, "service");
        }
        const auto hasName = [&wanted](const shard_configuration &shard) { return shard.shard == wanted.shard; };
        const auto shard = std::find_if(service->shards.begin(), service->shards.end(), hasName);
        if (shard == service->shards.end()) {
            return notFound("shard", wanted.shard, "shard");
        }
        if (document.findTarget(wanted.target.name) != nullptr) {
            return failure(error_code::Invalid, error_step::Validate, "", "target.name: value '" + wanted.target.name + "' is already the name of a target");
        }
        shard->targets.push_back(wanted.target.name);
        document.targets.push_back(wanted.target);
        return success();
    }

    result<void> operator()(const retire_target_intent &wanted) const
    {
        target_configuration *target = findNamed(document.targets, wanted.target);
        if (target == nullptr) {
            return notFound("target", wanted.target, "target");
        }
        target->leaving = true;
        return success();
    }

    result<void> operator()(const set_service_policy_intent &wanted) const
    {
        service_configuration *service = findNamed(document.services, wanted.service);
        if (service == nullptr) {
            return notFound("service", wanted.service, "service");
        }
        service->deadline = wanted.deadline.value_or(service->deadline);
        service->minimumCoverage = wanted.minimumCoverage.value_or(service->minimumCoverage);
        service->answerAfter = wanted.answerAfter.value_or(service->answerAfter);
        service->hedgePercent = wanted.hedgePercent.value_or(service->hedgePercent);
        return success();
    }

    result<void> setOut(const std::string &name, bool out) const
    {
        data_centre_configuration *dataCentre = findNamed(document.dataCentres, name);
        if (dataCentre == nullptr) {
            return notFound("data_centre", name, "data centre");
        }
        dataCentre->out = out;
        return success();
    }
};

} // namespace

result<intent> parseIntent(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseStrictJson(text));
    complaints found;
    json_reader reader(value, "", found);
    const json &name = reader.any("intent");
    if (!found.isEmpty()) {
        return found.first();
    }
    const intent_kind *kind = name.is_string() ? findIntentKind(name.get<std::string>()) : nullptr;
    if (kind == nullptr) {
        reader.complain("intent", "value " + shownValue(name) + " is not one of " + intentNames());
        return found.first();
    }
    intent wanted = kind->read(reader, found);
    reader.finish();
    if (!found.isEmpty()) {
        return found.first();
    }
    return wanted;
}

result<configuration_document> applyIntent(const configuration_document &current, const intent &wanted)
{
    configuration_document changed = current;
    BOOST_OUTCOME_TRY(std::visit(intent_application{changed}, wanted));
    // Parsing the text applies every rule of a document, whichever way it came about.
    return parseDocument(documentText(changed));
}

} // namespace balsamhook
