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

constexpr std::size_t MostDataCentres = 64;
constexpr std::size_t MostServices = 256;
constexpr std::size_t MostShards = 1024;
constexpr std::size_t MostReplicas = 64;
constexpr std::size_t MostTargets = 4096;
constexpr number_range Slots{1, 1024};
constexpr std::uint64_t MostConnections = 10000;
// JSON readers that hold numbers as doubles represent whole numbers exactly up to this one.
constexpr number_range LayoutEpoch{1, (std::uint64_t(1) << 53U) - 1};
constexpr std::size_t LongestAddressBytes = 64;

/// Returns the entries in the order of their names: the order of services and of targets has no meaning, and equal documents give equal texts.
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

/// Complains when a name occurs a second time in its list.
class unique_names
{
public:
    explicit unique_names(complaints &found)
        : m_complaints(found)
    {
    }

    void add(const std::string &name, const std::string &field)
    {
        const auto [earlier, isNew] = m_fields.emplace(name, field);
        if (!isNew) {
            m_complaints.add(field, "value " + quoted(name) + " is already used by " + earlier->second + "; allowed is one use");
        }
    }

private:
    complaints &m_complaints;
    std::map<std::string, std::string> m_fields;
};

data_centre_configuration readDataCentre(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    data_centre_configuration dataCentre;
    dataCentre.name = reader.name("name");
    dataCentre.out = reader.isSecond("state", "in", "out", false);
    reader.finish();
    return dataCentre;
}

shard_configuration readShard(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    shard_configuration shard;
    shard.shard = reader.name("shard");
    const json &targets = reader.list("targets", MostReplicas);
    if (targets.empty()) {
        reader.complain("targets", "a list of 0 entries is not in 1 to " + std::to_string(MostReplicas));
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!targets[i].is_string()) {
            found.add(entryPath(reader.fieldPath("targets"), i), "value " + shownValue(targets[i]) + " is not the name of a target");
            continue;
        }
        shard.targets.push_back(targets[i].get<std::string>());
    }
    reader.finish();
    return shard;
}

void readShards(json_reader &reader, service_configuration &service, complaints &found)
{
    const json &shards = reader.list("shards", MostShards);
    const std::size_t most = service.kind == service_kind::Command ? 1 : MostShards;
    if (shards.empty() || shards.size() > most) {
        reader.complain("shards", "a list of " + std::to_string(shards.size()) + " entries is not in 1 to " + std::to_string(most));
    }
    unique_names names(found);
    for (std::size_t i = 0; i < shards.size(); ++i) {
        const std::string path = entryPath(reader.fieldPath("shards"), i);
        service.shards.push_back(readShard(shards[i], path, found));
        names.add(service.shards.back().shard, path + ".shard");
    }
}

service_configuration readService(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    service_configuration service;
    service.name = reader.name("name");
    service.kind = reader.isSecond("kind", "query", "command", true) ? service_kind::Command : service_kind::Query;
    service.layoutEpoch = reader.number("layout_epoch", LayoutEpoch, service.layoutEpoch);
    const auto defaultDeadline = static_cast<std::uint64_t>(service.deadline.count());
    service.deadline = std::chrono::milliseconds(reader.number("deadline_ms", DeadlineMilliseconds, defaultDeadline));
    service.minimumCoverage = reader.real("minimum_coverage", 0.0, HighestCoverage, service.minimumCoverage);
    const auto longestWait = static_cast<std::uint64_t>(service.deadline.count());
    service.answerAfter = std::chrono::milliseconds(reader.number("answer_after_ms", {0, longestWait}, 0));
    service.hedgePercent = reader.real("hedge_percent", 0.0, HighestHedgePercent, service.hedgePercent);
    readShards(reader, service, found);
    reader.finish();
    return service;
}

/// Reads a list of named entries with one function for each entry.
template<class Entry>
std::vector<Entry>
readNamed(json_reader &reader, const std::string &field, std::size_t most, complaints &found, Entry (*read)(const json &, const std::string &, complaints &))
{
    std::vector<Entry> entries;
    unique_names names(found);
    const json &values = reader.list(field, most);
    entries.reserve(values.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string path = entryPath(reader.fieldPath(field), i);
        entries.push_back(read(values[i], path, found));
        names.add(entries.back().name, path + ".name");
    }
    return entries;
}

/// Checks that each target is in an existing data centre and has an address of its own.
void checkTargets(const configuration_document &document, const json_reader &reader, complaints &found)
{
    unique_names addresses(found);
    for (std::size_t i = 0; i < document.targets.size(); ++i) {
        const target_configuration &target = document.targets[i];
        const std::string path = entryPath(reader.fieldPath("targets"), i);
        if (document.findDataCentre(target.dataCentre) == nullptr) {
            found.add(path + ".data_centre", "value " + quoted(target.dataCentre) + " is not the name of a data centre of the document");
        }
        addresses.add(describe(target.address), path + ".address");
    }
}

/// Checks that each target named by a shard exists and is in one shard only.
void checkShards(const configuration_document &document, const json_reader &reader, complaints &found)
{
    std::set<std::string_view> known;
    for (const target_configuration &target : document.targets) {
        known.insert(target.name);
    }
    unique_names used(found);
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const auto &shards = document.services[i].shards;
        for (std::size_t j = 0; j < shards.size(); ++j) {
            const std::string shardPath = entryPath(entryPath(reader.fieldPath("services"), i) + ".shards", j) + ".targets";
            for (std::size_t k = 0; k < shards[j].targets.size(); ++k) {
                const std::string &name = shards[j].targets[k];
                const std::string path = entryPath(shardPath, k);
                if (!known.contains(name)) {
                    found.add(path, "value " + shownValue(name) + " is not the name of a target of the document");
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

target_configuration readTarget(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    target_configuration target;
    target.name = reader.name("name");
    target.dataCentre = reader.name("data_centre");
    const std::string address = reader.text("address", LongestAddressBytes);
    const result<endpoint> parsed = parseEndpoint(address);
    if (parsed) {
        target.address = parsed.value();
    } else {
        reader.complain("address", parsed.error().message);
    }
    target.slots = static_cast<std::uint32_t>(reader.number("slots", Slots));
    target.connections = static_cast<std::uint32_t>(reader.number("connections", {target.slots, MostConnections}));
    target.coldSlots = static_cast<std::uint32_t>(reader.number("cold_slots", {1, target.slots}));
    target.leaving = reader.isSecond("state", "in", "leaving", false);
    reader.finish();
    return target;
}

configuration_document readDocument(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    configuration_document document;
    document.dataCentres = readNamed(reader, "data_centres", MostDataCentres, found, &readDataCentre);
    document.services = readNamed(reader, "services", MostServices, found, &readService);
    document.targets = readNamed(reader, "targets", MostTargets, found, &readTarget);
    reader.finish();
    if (found.isEmpty()) {
        checkTargets(document, reader, found);
        checkShards(document, reader, found);
    }
    return document;
}

result<configuration_document> parseDocument(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseStrictJson(text));
    complaints found;
    configuration_document document = readDocument(value, "", found);
    if (!found.isEmpty()) {
        return found.first();
    }
    return document;
}

std::string documentText(const configuration_document &document)
{
    return jsonText(toJson(document));
}

} // namespace balsamhook
