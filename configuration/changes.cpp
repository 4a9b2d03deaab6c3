#include "configuration/plan.h"

#include "configuration/document_json.h"

namespace balsamhook
{

namespace
{

using nlohmann::json;

// Limits the size of a plan for thousands of targets to that of one object.
constexpr std::size_t MaxSentencesPerKind = 200;

using named_values = std::map<std::string, json>;

template<class Entries>
named_values byName(const Entries &entries)
{
    named_values values;
    for (const auto &entry : entries) {
        values.emplace(entry.name, toJson(entry));
    }
    return values;
}

/// Collects sentences about one kind of entry. Counts those beyond the limit.
class bounded_sentences
{
public:
    void add(std::string sentence)
    {
        if (m_list.size() < MaxSentencesPerKind) {
            m_list.push_back(std::move(sentence));
        } else {
            ++m_omitted;
        }
    }

    void appendTo(std::vector<std::string> &list, const std::string &kind) const
    {
        list.insert(list.end(), m_list.begin(), m_list.end());
        if (m_omitted > 0) {
            list.push_back(std::to_string(m_omitted) + " more changes of a " + kind);
        }
    }

private:
    std::vector<std::string> m_list;
    std::size_t m_omitted = 0;
};

std::string describeState(const std::string &subject, const std::string &state)
{
    if (state == "out") {
        return subject + " is taken out of service";
    }
    return subject + (state == "leaving" ? " is retired" : " is brought back into service");
}

std::map<std::string, json> shardTargets(const json &shards)
{
    std::map<std::string, json> targets;
    for (const json &shard : shards) {
        targets.emplace(shard.at("shard").get<std::string>(), shard.at("targets"));
    }
    return targets;
}

void describeShards(const std::string &subject, const json &before, const json &after, bounded_sentences &changes)
{
    const auto previous = shardTargets(before);
    const auto current = shardTargets(after);
    for (const auto &[shard, targets] : previous) {
        if (!current.contains(shard)) {
            changes.add(subject + " loses shard '" + shard + "'");
        }
    }
    for (const auto &[shard, targets] : current) {
        const auto previousEntry = previous.find(shard);
        if (previousEntry == previous.end()) {
            changes.add(subject + " gains shard '" + shard + "' with targets " + jsonText(targets));
        } else if (previousEntry->second != targets) {
            changes.add(subject + " shard '" + shard + "' changes targets " + jsonText(previousEntry->second) + " to " + jsonText(targets));
        }
    }
    const bool isReordered = previous == current && before != after;
    if (isReordered) {
        changes.add(subject + " changes the order of its shards");
    }
}

void describeFields(const std::string &subject, const json &before, const json &after, bounded_sentences &changes)
{
    for (const auto &[field, value] : after.items()) {
        const json &previous = before.at(field);
        if (previous == value) {
            continue;
        }
        if (field == "shards") {
            describeShards(subject, previous, value, changes);
        } else if (field == "state") {
            changes.add(describeState(subject, value.get<std::string>()));
        } else {
            changes.add(subject + " changes " + field + " " + jsonText(previous) + " to " + jsonText(value));
        }
    }
}

std::string additionDetails(const json &value)
{
    if (value.contains("address")) {
        return " in data centre " + jsonText(value.at("data_centre")) + " at " + value.at("address").get<std::string>();
    }
    if (value.contains("shards")) {
        return " with " + std::to_string(value.at("shards").size()) + " shards";
    }
    return "";
}

template<class Entries>
void describeKind(const std::string &kind, const Entries &before, const Entries &after, std::vector<std::string> &list)
{
    const named_values previous = byName(before);
    const named_values current = byName(after);
    bounded_sentences changes;
    for (const auto &[name, value] : previous) {
        if (!current.contains(name)) {
            changes.add(kind + " '" + name + "' is removed");
        }
    }
    for (const auto &[name, value] : current) {
        const std::string subject = kind + " '" + name + "'";
        const auto previousEntry = previous.find(name);
        if (previousEntry == previous.end()) {
            changes.add(subject + " is added" + additionDetails(value));
        } else {
            describeFields(subject, previousEntry->second, value, changes);
        }
    }
    changes.appendTo(list, kind);
}

} // namespace

std::vector<std::string> describeChanges(const configuration_document &before, const configuration_document &after)
{
    std::vector<std::string> list;
    describeKind("data centre", before.dataCentres, after.dataCentres, list);
    describeKind("service", before.services, after.services, list);
    describeKind("target", before.targets, after.targets, list);
    const bool isReordered = list.empty() && documentText(before) != documentText(after);
    if (isReordered) {
        list.emplace_back("the order of the entries changes");
    }
    return list;
}

} // namespace balsamhook
