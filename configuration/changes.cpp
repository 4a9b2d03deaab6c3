#include "configuration/plan.h"

#include "configuration/document_json.h"

namespace balsamhook
{

namespace
{

using nlohmann::json;

// Keeps a plan for thousands of targets below the size limit of one object.
constexpr std::size_t MostSentencesPerKind = 200;

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

/// Collects sentences about one kind of entry, up to a limit.
class sentences
{
public:
    void add(std::string sentence)
    {
        if (m_list.size() < MostSentencesPerKind) {
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

std::string stateSentence(const std::string &subject, const std::string &state)
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

void describeShards(const std::string &subject, const json &before, const json &after, sentences &told)
{
    const auto old = shardTargets(before);
    const auto now = shardTargets(after);
    for (const auto &[shard, targets] : old) {
        if (!now.contains(shard)) {
            told.add(subject + " loses shard '" + shard + "'");
        }
    }
    for (const auto &[shard, targets] : now) {
        const auto earlier = old.find(shard);
        if (earlier == old.end()) {
            told.add(subject + " gains shard '" + shard + "' with targets " + jsonText(targets));
        } else if (earlier->second != targets) {
            told.add(subject + " shard '" + shard + "' changes targets " + jsonText(earlier->second) + " to " + jsonText(targets));
        }
    }
    const bool onlyOrder = old == now && before != after;
    if (onlyOrder) {
        told.add(subject + " changes the order of its shards");
    }
}

void describeFields(const std::string &subject, const json &before, const json &after, sentences &told)
{
    for (const auto &[field, value] : after.items()) {
        const json &old = before.at(field);
        if (old == value) {
            continue;
        }
        if (field == "shards") {
            describeShards(subject, old, value, told);
        } else if (field == "state") {
            told.add(stateSentence(subject, value.get<std::string>()));
        } else {
            told.add(subject + " changes " + field + " " + jsonText(old) + " to " + jsonText(value));
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
    const named_values old = byName(before);
    const named_values now = byName(after);
    sentences told;
    for (const auto &[name, value] : old) {
        if (!now.contains(name)) {
            told.add(kind + " '" + name + "' is removed");
        }
    }
    for (const auto &[name, value] : now) {
        const std::string subject = kind + " '" + name + "'";
        const auto earlier = old.find(name);
        if (earlier == old.end()) {
            told.add(subject + " is added" + additionDetails(value));
        } else {
            describeFields(subject, earlier->second, value, told);
        }
    }
    told.appendTo(list, kind);
}

} // namespace

std::vector<std::string> describeChanges(const configuration_document &before, const configuration_document &after)
{
    std::vector<std::string> list;
    describeKind("data centre", before.dataCentres, after.dataCentres, list);
    describeKind("service", before.services, after.services, list);
    describeKind("target", before.targets, after.targets, list);
    const bool onlyOrder = list.empty() && documentText(before) != documentText(after);
    if (onlyOrder) {
        list.emplace_back("the order of the entries changes");
    }
    return list;
}

} // namespace balsamhook
