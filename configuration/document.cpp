#include "configuration/document.h"

#include "configuration/document_json.h"

#include <algorithm>
#include <map>
#include <set>

namespace balsamhook
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxDataCentres = 64;
constexpr std::size_t MaxServices = 256;
constexpr std::size_t MaxShards = 1024;
constexpr std::size_t MaxReplicas = 64;
constexpr std::size_t MaxTargets = 4096;
constexpr number_range Slots{1, 1024};
constexpr std::uint64_t MaxConnections = 10000;
// JSON readers that store numbers as doubles represent integers exactly up to this limit.
constexpr number_range LayoutEpoch{1, (std::uint64_t(1) << 53U) - 1};
constexpr std::size_t MaxAddressBytes = 64;

/// Returns the entries as JSON, sorted by name. The order of services and of targets has no meaning, and equal documents must have equal texts.
template<class Entries>
json sortedByName(const Entries &entries)
{
    json sorted = json::array();
    for (const auto &entry : entries) {
        sorted.push_back(toJson(entry));
    }
    std::sort(sorted.begin(), sorted.end(), [](const json &left, const json &right) { return left.at("name") < right.at("name"); });
    return sorted;
}

template<class Entries>
auto findNamed(const Entries &entries, std::string_view name) -> decltype(entries.data())
{
    const auto found = std::find_if(entries.begin(), entries.end(), [name](const auto &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

std::string entryPath(const std::string &list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

std::string quoted(const std::string &name)
{
    return "'" + name + "'";
}

/// Reports a name that occurs more than once in its list.
class unique_names
{
public:
    explicit unique_names(validation_errors &errors)
        : m_errors(errors)
    {
    }

    void add(const std::string &name, const std::string &field)
    {
        const auto [previous, isInserted] = m_fields.emplace(name, field);
        if (!isInserted) {
            m_errors.add(field, "value " + quoted(name) + " is already used by " + previous->second + "; values must be unique");
        }
    }

private:
    validation_errors &m_errors;
    std::map<std::string, std::string> m_fields;
};

data_centre_configuration readDataCentre(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    data_centre_configuration dataCentre;
    dataCentre.name = reader.name("name");
    dataCentre.out = reader.binaryChoice("state", "in", "out", false);
    reader.rejectUnknownFields();
    return dataCentre;
}

shard_configuration readShard(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    shard_configuration shard;
    shard.shard = reader.name("shard");
    const json &targets = reader.list("targets", MaxReplicas);
    if (targets.empty()) {
        reader.addError("targets", "a list of 0 entries is not in 1 to " + std::to_string(MaxReplicas));
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!targets[i].is_string()) {
            errors.add(entryPath(reader.fieldPath("targets"), i), "value " + valueExcerpt(targets[i]) + " is not the name of a target");
            continue;
        }
        shard.targets.push_back(targets[i].get<std::string>());
    }
    reader.rejectUnknownFields();
    return shard;
}

void readShards(json_reader &reader, service_configuration &service, validation_errors &errors)
{
    const json &shards = reader.list("shards", MaxShards);
    const std::size_t maxShards = service.kind == service_kind::Command ? 1 : MaxShards;
    if (shards.empty() || shards.size() > maxShards) {
        reader.addError("shards", "a list of " + std::to_string(shards.size()) + " entries is not in 1 to " + std::to_string(maxShards));
    }
    unique_names names(errors);
    for (std::size_t i = 0; i < shards.size(); ++i) {
        const std::string path = entryPath(reader.fieldPath("shards"), i);
        service.shards.push_back(readShard(shards[i], path, errors));
        names.add(service.shards.back().shard, path + ".shard");
    }
}

service_configuration readService(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    service_configuration service;
    service.name = reader.name("name");
    service.kind = reader.binaryChoice("kind", "query", "command", true) ? service_kind::Command : service_kind::Query;
    service.layoutEpoch = reader.number("layout_epoch", LayoutEpoch, service.layoutEpoch);
    const auto defaultDeadline = static_cast<std::uint64_t>(service.deadline.count());
    service.deadline = std::chrono::milliseconds(reader.number("deadline_ms", DeadlineMilliseconds, defaultDeadline));
    service.minimumCoverage = reader.real("minimum_coverage", 0.0, MaxCoverage, service.minimumCoverage);
    const auto maxAnswerAfter = static_cast<std::uint64_t>(service.deadline.count());
    service.answerAfter = std::chrono::milliseconds(reader.number("answer_after_ms", {0, maxAnswerAfter}, 0));
    service.hedgePercent = reader.real("hedge_percent", 0.0, MaxHedgePercent, service.hedgePercent);
    readShards(reader, service, errors);
    reader.rejectUnknownFields();
    return service;
}

/// Reads a list of named entries with the given function.
template<class Entry>
std::vector<Entry> readNamed(json_reader &reader,
                             const std::string &field,
                             std::size_t maxEntries,
                             validation_errors &errors,
                             Entry (*read)(const json &, const std::string &, validation_errors &))
{
    std::vector<Entry> entries;
    unique_names names(errors);
    const json &values = reader.list(field, maxEntries);
    entries.reserve(values.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string path = entryPath(reader.fieldPath(field), i);
        entries.push_back(read(values[i], path, errors));
        names.add(entries.back().name, path + ".name");
    }
    return entries;
}

/// Validates that each target's data centre exists and that its address is unique.
void checkTargets(const configuration_document &document, const json_reader &reader, validation_errors &errors)
{
    unique_names addresses(errors);
    for (std::size_t i = 0; i < document.targets.size(); ++i) {
        const target_configuration &target = document.targets[i];
        const std::string path = entryPath(reader.fieldPath("targets"), i);
        if (document.findDataCentre(target.dataCentre) == nullptr) {
            errors.add(path + ".data_centre", "value " + quoted(target.dataCentre) + " is not the name of a data centre of the document");
        }
        addresses.add(describe(target.address), path + ".address");
    }
}

/// Validates that each target of a shard exists and belongs to one shard only.
void checkShards(const configuration_document &document, const json_reader &reader, validation_errors &errors)
{
    std::set<std::string_view> targetNames;
    for (const target_configuration &target : document.targets) {
        targetNames.insert(target.name);
    }
    unique_names used(errors);
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const auto &shards = document.services[i].shards;
        for (std::size_t j = 0; j < shards.size(); ++j) {
            const std::string shardPath = entryPath(entryPath(reader.fieldPath("services"), i) + ".shards", j) + ".targets";
            for (std::size_t k = 0; k < shards[j].targets.size(); ++k) {
                const std::string &name = shards[j].targets[k];
                const std::string path = entryPath(shardPath, k);
                if (!targetNames.contains(name)) {
                    errors.add(path, "value " + valueExcerpt(name) + " is not the name of a target of the document");
                }
                used.add(name, path);
            }
        }
    }
}

} // namespace

const data_centre_configuration *configuration_document::findDataCentre(std::string_view name) const
{
    return findNamed(dataCentres, name);
}

const service_configuration *configuration_document::findService(std::string_view name) const
{
    return findNamed(services, name);
}

const target_configuration *configuration_document::findTarget(std::string_view name) const
{
    return findNamed(targets, name);
}

bool configuration_document::isUsable(const target_configuration &target) const
{
    const data_centre_configuration *dataCentre = findDataCentre(target.dataCentre);
    return !target.leaving && dataCentre != nullptr && !dataCentre->out;
}

json toJson(const data_centre_configuration &dataCentre)
{
    return {{"name", dataCentre.name}, {"state", dataCentre.out ? "out" : "in"}};
}

json toJson(const service_configuration &service)
{
    json shards = json::array();
    for (const shard_configuration &shard : service.shards) {
        shards.push_back({{"shard", shard.shard}, {"targets", shard.targets}});
    }
    return {{"name", service.name},
            {"kind", service.kind == service_kind::Command ? "command" : "query"},
            {"layout_epoch", service.layoutEpoch},
            {"deadline_ms", service.deadline.count()},
            {"minimum_coverage", service.minimumCoverage},
            {"answer_after_ms", service.answerAfter.count()},
            {"hedge_percent", service.hedgePercent},
            {"shards", std::move(shards)}};
}

json toJson(const target_configuration &target)
{
    return {{"name", target.name},
            {"data_centre", target.dataCentre},
            {"address", describe(target.address)},
            {"slots", target.slots},
            {"connections", target.connections},
            {"cold_slots", target.coldSlots},
            {"state", target.leaving ? "leaving" : "in"}};
}

json toJson(const configuration_document &document)
{
    json dataCentres = json::array();
    for (const auto &dataCentre : document.dataCentres) {
        dataCentres.push_back(toJson(dataCentre));
    }
    return {{"data_centres", std::move(dataCentres)}, {"services", sortedByName(document.services)}, {"targets", sortedByName(document.targets)}};
}

target_configuration readTarget(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    target_configuration target;
    target.name = reader.name("name");
    target.dataCentre = reader.name("data_centre");
    const std::string address = reader.text("address", MaxAddressBytes);
    const result<endpoint> parsed = parseEndpoint(address);
    if (parsed) {
        target.address = parsed.value();
    } else {
        reader.addError("address", parsed.error().message);
    }
    target.slots = static_cast<std::uint32_t>(reader.number("slots", Slots));
    target.connections = static_cast<std::uint32_t>(reader.number("connections", {target.slots, MaxConnections}));
    target.coldSlots = static_cast<std::uint32_t>(reader.number("cold_slots", {1, target.slots}));
    target.leaving = reader.binaryChoice("state", "in", "leaving", false);
    reader.rejectUnknownFields();
    return target;
}

configuration_document readDocument(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    configuration_document document;
    document.dataCentres = readNamed(reader, "data_centres", MaxDataCentres, errors, &readDataCentre);
    document.services = readNamed(reader, "services", MaxServices, errors, &readService);
    document.targets = readNamed(reader, "targets", MaxTargets, errors, &readTarget);
    reader.rejectUnknownFields();
    if (errors.isEmpty()) {
        checkTargets(document, reader, errors);
        checkShards(document, reader, errors);
    }
    return document;
}

result<configuration_document> parseDocument(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseStrictJson(text));
    validation_errors errors;
    configuration_document document = readDocument(value, "", errors);
    if (!errors.isEmpty()) {
        return errors.first();
    }
    return document;
}

std::string documentText(const configuration_document &document)
{
    return jsonText(toJson(document));
}

} // namespace balsamhook
