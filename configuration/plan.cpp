#include "configuration/plan.h"

#include "configuration/document_json.h"
#include "configuration/root.h"

#include <algorithm>
#include <array>
#include <set>

namespace balsamhook
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxIdBytes = 128;
constexpr std::size_t MaxStrings = 100000;
constexpr number_range Revision{0, (std::uint64_t(1) << 53U) - 1};
constexpr number_range SlotSum{0, UINT32_MAX};
constexpr std::array<std::string_view, 4> StateNames{"proposed", "confirming", "applied", "refused"};

using target_index = std::map<std::string_view, const target_configuration *>;
using shard_name = std::pair<std::string, std::string>;

/// Usable replicas of one service and the sum of their slots.
struct service_capacity
{
    std::uint32_t slots = 0;
    std::map<std::string, std::size_t> replicas; ///< By shard.
};

target_index indexTargets(const configuration_document &document)
{
    target_index index;
    for (const target_configuration &target : document.targets) {
        index.emplace(target.name, &target);
    }
    return index;
}

service_capacity measureServiceCapacity(const configuration_document &document, const target_index &index, const service_configuration &service)
{
    service_capacity capacity;
    for (const shard_configuration &shard : service.shards) {
        std::size_t &replicas = capacity.replicas[shard.shard];
        for (const std::string &name : shard.targets) {
            const auto target = index.find(name);
            if (target != index.end() && document.isUsable(*target->second)) {
                ++replicas;
                capacity.slots += target->second->slots;
            }
        }
    }
    return capacity;
}

std::map<std::string, service_capacity> measureCapacity(const configuration_document &document)
{
    const target_index index = indexTargets(document);
    std::map<std::string, service_capacity> capacities;
    for (const service_configuration &service : document.services) {
        capacities.emplace(service.name, measureServiceCapacity(document, index, service));
    }
    return capacities;
}

std::vector<std::string> shardsWith(std::size_t replicas, const service_capacity &capacity)
{
    std::vector<std::string> shards;
    for (const auto &[shard, count] : capacity.replicas) {
        if (count == replicas) {
            shards.push_back(shard);
        }
    }
    return shards;
}

using capacity_map = std::map<std::string, service_capacity>;

std::vector<service_preview> makePreview(const capacity_map &before, const capacity_map &after)
{
    std::set<std::string> names;
    for (const auto &[name, capacity] : before) {
        names.insert(name);
    }
    for (const auto &[name, capacity] : after) {
        names.insert(name);
    }
    std::vector<service_preview> previews;
    for (const std::string &name : names) {
        const auto previous = before.find(name);
        const auto current = after.find(name);
        const service_capacity remaining = current == after.end() ? service_capacity() : current->second;
        const std::uint32_t slotsBefore = previous == before.end() ? 0 : previous->second.slots;
        previews.push_back({name, slotsBefore, remaining.slots, shardsWith(0, remaining), shardsWith(1, remaining)});
    }
    return previews;
}

bool hadNoReplica(const capacity_map &before, const std::string &service, const std::string &shard)
{
    const auto capacity = before.find(service);
    if (capacity == before.end()) {
        return false;
    }
    const auto replicas = capacity->second.replicas.find(shard);
    return replicas != capacity->second.replicas.end() && replicas->second == 0;
}

/// Returns the shards without a usable replica after the plan, except those that already had none.
std::vector<shard_name> lostShards(const capacity_map &before, const std::vector<service_preview> &previews)
{
    std::vector<shard_name> lost;
    for (const service_preview &preview : previews) {
        for (const std::string &shard : preview.shardsWithoutReplica) {
            if (!hadNoReplica(before, preview.service, shard)) {
                lost.emplace_back(preview.service, shard);
            }
        }
    }
    return lost;
}

std::string listShards(const std::vector<shard_name> &shards)
{
    constexpr std::size_t MaxListed = 5;
    std::string text;
    for (std::size_t i = 0; i < std::min(shards.size(), MaxListed); ++i) {
        text += (i == 0 ? "" : ", ") + ("'" + shards[i].first + "' shard '" + shards[i].second + "'");
    }
    return shards.size() <= MaxListed ? text : text + " and " + std::to_string(shards.size() - MaxListed) + " more";
}

struct override_visitor
{
    bool operator()(const take_out_data_centre_intent &requested) const
    {
        return requested.override;
    }

    bool operator()(const retire_target_intent &requested) const
    {
        return requested.override;
    }

    template<class Other>
    bool operator()(const Other &) const
    {
        return false;
    }
};

std::string ratio(std::size_t part, std::size_t whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

void addServiceWarnings(const service_preview &preview, const capacity_map &after, std::vector<std::string> &warnings)
{
    const auto capacity = after.find(preview.service);
    const std::string subject = "service '" + preview.service + "' ";
    if (capacity == after.end()) {
        warnings.push_back(subject + "is removed");
        return;
    }
    const std::size_t shards = capacity->second.replicas.size();
    if (!preview.shardsWithoutReplica.empty()) {
        warnings.push_back(subject + "has " + ratio(preview.shardsWithoutReplica.size(), shards) + " shards without a usable replica");
    }
    if (!preview.shardsWithOneReplica.empty()) {
        warnings.push_back(subject + "has " + ratio(preview.shardsWithOneReplica.size(), shards) + " shards with only one usable replica");
    }
    if (preview.slotsAfter < preview.slotsBefore) {
        warnings.push_back(subject + "keeps " + ratio(preview.slotsAfter, preview.slotsBefore) + " slots");
    }
}

std::string digestOf(const std::string &intentJson, std::uint64_t baseRevision, const configuration_document &resulting)
{
    return contentHash(jsonText(json::array({intentJson, baseRevision, documentText(resulting)})));
}

error tooLarge(const std::string &what, std::size_t bytes)
{
    return error{error_code::TooLarge,
                 error_step::Validate,
                 "",
                 what + " of " + std::to_string(bytes) + " bytes is not in 0 to " + std::to_string(MaxObjectBytes) + " bytes"};
}

/// Validates that the objects written by a confirmation are within the size limit of the platform. Checks each list of the document as a whole; its
/// sections aren't larger.
result<void> checkSizes(const configuration_document &resulting, const plan &proposed)
{
    const json sections = toJson(resulting);
    for (const auto &[name, section] : sections.items()) {
        const std::size_t bytes = jsonText(section).size();
        if (bytes > MaxObjectBytes) {
            return tooLarge("the list " + name, bytes);
        }
    }
    // Reserved for the revision and the refusal, which are added to the plan later.
    constexpr std::size_t ReservedBytes = 4096;
    const std::size_t bytes = planText(proposed).size() + ReservedBytes;
    if (bytes > MaxObjectBytes) {
        return tooLarge("the plan", bytes);
    }
    return success();
}

json previewJson(const service_preview &preview)
{
    return {{"service", preview.service},
            {"slots_before", preview.slotsBefore},
            {"slots_after", preview.slotsAfter},
            {"shards_without_replica", preview.shardsWithoutReplica},
            {"shards_with_one_replica", preview.shardsWithOneReplica}};
}

std::vector<std::string> readTexts(json_reader &reader, const std::string &field)
{
    std::vector<std::string> texts;
    for (const json &value : reader.list(field, MaxStrings)) {
        if (!value.is_string()) {
            reader.addError(field, "value " + valueExcerpt(value) + " is not a text");
            return texts;
        }
        texts.push_back(value.get<std::string>());
    }
    return texts;
}

service_preview readPreview(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    service_preview preview;
    preview.service = reader.name("service");
    preview.slotsBefore = static_cast<std::uint32_t>(reader.number("slots_before", SlotSum));
    preview.slotsAfter = static_cast<std::uint32_t>(reader.number("slots_after", SlotSum));
    preview.shardsWithoutReplica = readTexts(reader, "shards_without_replica");
    preview.shardsWithOneReplica = readTexts(reader, "shards_with_one_replica");
    reader.rejectUnknownFields();
    return preview;
}

void readBaseSections(json_reader &reader, plan &proposed, validation_errors &errors)
{
    const json &value = reader.any("base_sections");
    json_reader sections(value, "base_sections", errors);
    if (!errors.isEmpty()) {
        return;
    }
    for (const auto &[name, ignored] : value.items()) {
        proposed.baseSections[name] = sections.name(name);
    }
}

plan_state readState(json_reader &reader)
{
    const json &value = reader.any("state");
    const std::string name = value.is_string() ? value.get<std::string>() : std::string();
    const auto *const found = std::find(StateNames.begin(), StateNames.end(), name);
    if (found == StateNames.end()) {
        reader.addError("state", "value " + valueExcerpt(value) + " is not one of proposed, confirming, applied, refused");
        return plan_state::Refused;
    }
    return static_cast<plan_state>(found - StateNames.begin());
}

} // namespace

std::string_view nameOf(plan_state state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

result<plan> makePlan(const configuration_document &current, std::uint64_t baseRevision, const intent &requested, std::string intentJson, std::string id)
{
    BOOST_OUTCOME_TRY(resulting, applyIntent(current, requested));
    const capacity_map before = measureCapacity(current);
    const capacity_map after = measureCapacity(resulting);
    plan proposed;
    proposed.preview = makePreview(before, after);
    const std::vector<shard_name> lost = lostShards(before, proposed.preview);
    if (!lost.empty() && !std::visit(override_visitor{}, requested)) {
        return failure(error_code::Invalid, error_step::Validate, "", "the plan would leave no usable replica for " + listShards(lost));
    }
    proposed.id = std::move(id);
    proposed.baseRevision = baseRevision;
    if (baseRevision > 0) {
        proposed.baseSections = sectionHashes(current);
    }
    proposed.steps = describeChanges(current, resulting);
    if (proposed.steps.empty()) {
        proposed.warnings.emplace_back("the plan changes nothing");
    }
    for (const service_preview &preview : proposed.preview) {
        addServiceWarnings(preview, after, proposed.warnings);
    }
    proposed.digest = digestOf(intentJson, baseRevision, resulting);
    proposed.intentJson = std::move(intentJson);
    BOOST_OUTCOME_TRY(checkSizes(resulting, proposed));
    return proposed;
}

result<plan> parsePlan(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseStrictJson(text));
    validation_errors errors;
    json_reader reader(value, "", errors);
    plan proposed;
    proposed.id = reader.text("plan", MaxIdBytes);
    proposed.intentJson = reader.text("intent", MaxObjectBytes);
    proposed.baseRevision = reader.number("base_revision", Revision);
    readBaseSections(reader, proposed, errors);
    proposed.revision = reader.number("revision", Revision);
    proposed.state = readState(reader);
    proposed.digest = reader.text("digest", MaxIdBytes);
    proposed.steps = readTexts(reader, "steps");
    const json &previews = reader.list("preview", MaxStrings);
    for (std::size_t i = 0; i < previews.size(); ++i) {
        proposed.preview.push_back(readPreview(previews[i], "preview[" + std::to_string(i) + "]", errors));
    }
    proposed.warnings = readTexts(reader, "warnings");
    proposed.refusal = reader.text("refusal", MaxObjectBytes);
    reader.rejectUnknownFields();
    if (!errors.isEmpty()) {
        return errors.first();
    }
    return proposed;
}

std::string planText(const plan &proposed)
{
    json previews = json::array();
    for (const service_preview &preview : proposed.preview) {
        previews.push_back(previewJson(preview));
    }
    json sections = json::object();
    for (const auto &[name, hash] : proposed.baseSections) {
        sections[name] = hash;
    }
    const json value = {{"plan", proposed.id},
                        {"intent", proposed.intentJson},
                        {"base_revision", proposed.baseRevision},
                        {"base_sections", std::move(sections)},
                        {"revision", proposed.revision},
                        {"state", nameOf(proposed.state)},
                        {"digest", proposed.digest},
                        {"steps", proposed.steps},
                        {"preview", std::move(previews)},
                        {"warnings", proposed.warnings},
                        {"refusal", proposed.refusal}};
    return jsonText(value);
}

} // namespace balsamhook
