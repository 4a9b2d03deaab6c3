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

intent readApplyConfiguration(json_reader &reader, validation_errors &errors)
{
    apply_configuration_intent requested;
    requested.document = readDocument(reader.any("document"), "document", errors);
    return requested;
}

intent readTakeOutDataCentre(json_reader &reader, validation_errors &)
{
    take_out_data_centre_intent requested;
    requested.dataCentre = reader.name("data_centre");
    requested.override = reader.flag("override", false);
    return requested;
}

intent readBringBackDataCentre(json_reader &reader, validation_errors &)
{
    return bring_back_data_centre_intent{reader.name("data_centre")};
}

intent readAddTarget(json_reader &reader, validation_errors &errors)
{
    add_target_intent requested;
    requested.target = readTarget(reader.any("target"), "target", errors);
    requested.service = reader.name("service");
    requested.shard = reader.name("shard");
    return requested;
}

intent readRetireTarget(json_reader &reader, validation_errors &)
{
    retire_target_intent requested;
    requested.target = reader.name("target");
    requested.override = reader.flag("override", false);
    return requested;
}

intent readSetServicePolicy(json_reader &reader, validation_errors &)
{
    set_service_policy_intent requested;
    requested.service = reader.name("service");
    if (reader.has("deadline_ms")) {
        requested.deadline = std::chrono::milliseconds(reader.number("deadline_ms", DeadlineMilliseconds));
    }
    if (reader.has("minimum_coverage")) {
        requested.minimumCoverage = reader.real("minimum_coverage", 0.0, MaxCoverage, 0.0);
    }
    if (reader.has("answer_after_ms")) {
        requested.answerAfter = std::chrono::milliseconds(reader.number("answer_after_ms", {0, DeadlineMilliseconds.maximum}));
    }
    if (reader.has("hedge_percent")) {
        requested.hedgePercent = reader.real("hedge_percent", 0.0, MaxHedgePercent, 0.0);
    }
    if (!requested.deadline && !requested.minimumCoverage && !requested.answerAfter && !requested.hedgePercent) {
        reader.addError("intent", "set_service_policy needs one of deadline_ms, minimum_coverage, answer_after_ms, hedge_percent");
    }
    return requested;
}

struct intent_kind
{
    std::string_view name;
    intent (*read)(json_reader &reader, validation_errors &errors);
};

constexpr intent_kind IntentKinds[] = {
    {"apply_configuration", &readApplyConfiguration},
    {"take_out_data_centre", &readTakeOutDataCentre},
    {"bring_back_data_centre", &readBringBackDataCentre},
    {"add_target", &readAddTarget},
    {"retire_target", &readRetireTarget},
    {"set_service_policy", &readSetServicePolicy},
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

/// Visitor that applies an intent to a copy of the document. The result isn't validated.
struct intent_visitor
{
    configuration_document &document;

    result<void> operator()(const apply_configuration_intent &requested) const
    {
        document = requested.document;
        return success();
    }

    result<void> operator()(const take_out_data_centre_intent &requested) const
    {
        return setOut(requested.dataCentre, true);
    }

    result<void> operator()(const bring_back_data_centre_intent &requested) const
    {
        return setOut(requested.dataCentre, false);
    }

    result<void> operator()(const add_target_intent &requested) const
    {
        service_configuration *service = findNamed(document.services, requested.service);
        if (service == nullptr) {
            return notFound("service", requested.service, "service");
        }
        const auto hasName = [&requested](const shard_configuration &shard) { return shard.shard == requested.shard; };
        const auto shard = std::find_if(service->shards.begin(), service->shards.end(), hasName);
        if (shard == service->shards.end()) {
            return notFound("shard", requested.shard, "shard");
        }
        if (document.findTarget(requested.target.name) != nullptr) {
            return failure(error_code::Invalid, error_step::Validate, "", "target.name: value '" + requested.target.name + "' is already the name of a target");
        }
        shard->targets.push_back(requested.target.name);
        document.targets.push_back(requested.target);
        return success();
    }

    result<void> operator()(const retire_target_intent &requested) const
    {
        target_configuration *target = findNamed(document.targets, requested.target);
        if (target == nullptr) {
            return notFound("target", requested.target, "target");
        }
        target->leaving = true;
        return success();
    }

    result<void> operator()(const set_service_policy_intent &requested) const
    {
        service_configuration *service = findNamed(document.services, requested.service);
        if (service == nullptr) {
            return notFound("service", requested.service, "service");
        }
        service->deadline = requested.deadline.value_or(service->deadline);
        service->minimumCoverage = requested.minimumCoverage.value_or(service->minimumCoverage);
        service->answerAfter = requested.answerAfter.value_or(service->answerAfter);
        service->hedgePercent = requested.hedgePercent.value_or(service->hedgePercent);
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
    validation_errors errors;
    json_reader reader(value, "", errors);
    const json &name = reader.any("intent");
    if (!errors.isEmpty()) {
        return errors.first();
    }
    const intent_kind *kind = name.is_string() ? findIntentKind(name.get<std::string>()) : nullptr;
    if (kind == nullptr) {
        reader.addError("intent", "value " + valueExcerpt(name) + " is not one of " + intentNames());
        return errors.first();
    }
    intent requested = kind->read(reader, errors);
    reader.rejectUnknownFields();
    if (!errors.isEmpty()) {
        return errors.first();
    }
    return requested;
}

result<configuration_document> applyIntent(const configuration_document &current, const intent &requested)
{
    configuration_document changed = current;
    BOOST_OUTCOME_TRY(std::visit(intent_visitor{changed}, requested));
    // Parsing the text validates the changed document by the same rules as any other document.
    return parseDocument(documentText(changed));
}

} // namespace balsamhook
