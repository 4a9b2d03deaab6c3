#include "membership/member_list.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using json = nlohmann::json;

json memberJson(const listed_member &member)
{
    const member_entry &entry = member.entry;
    return {{"instance", entry.instance},
            {"data_centre", entry.dataCentre},
            {"front", entry.frontEndpoint},
            {"dispatch", entry.dispatchEndpoint},
            {"control", entry.controlEndpoint},
            {"gossip", entry.gossipEndpoint},
            {"operator", entry.operatorEndpoint},
            {"leaving", entry.leaving},
            {"incarnation", member.incarnation},
            {"joined", member.joined}};
}

listed_member memberFromJson(const json &value)
{
    listed_member member;
    member.entry.instance = value.at("instance").get<std::string>();
    member.entry.dataCentre = value.at("data_centre").get<std::string>();
    member.entry.frontEndpoint = value.at("front").get<std::string>();
    member.entry.dispatchEndpoint = value.at("dispatch").get<std::string>();
    member.entry.controlEndpoint = value.at("control").get<std::string>();
    member.entry.gossipEndpoint = value.at("gossip").get<std::string>();
    member.entry.operatorEndpoint = value.at("operator").get<std::string>();
    member.entry.leaving = value.at("leaving").get<bool>();
    member.incarnation = value.at("incarnation").get<std::string>();
    member.joined = value.at("joined").get<std::uint64_t>();
    return member;
}

member_list listFromJson(const json &value)
{
    member_list list;
    list.version = value.at("version").get<std::uint64_t>();
    list.nonce = value.at("nonce").get<std::string>();
    list.revision = value.at("revision").get<std::uint64_t>();
    list.root = value.at("root").get<std::string>();
    list.previous = value.at("previous").get<std::vector<std::string>>();
    for (const json &member : value.at("members")) {
        list.members.push_back(memberFromJson(member));
    }
    return list;
}

lease_table leasesFromJson(const json &value)
{
    lease_table leases;
    leases.listVersion = value.at("list_version").get<std::uint64_t>();
    for (const auto &[instance, lease] : value.at("members").items()) {
        leases.entries[instance]
            = {lease.at("incarnation").get<std::string>(), lease.at("sequence").get<std::uint64_t>(), lease.at("revoked_at").get<std::uint64_t>()};
    }
    return leases;
}

/// Parses JSON text; exceptions of nlohmann::json become an error.
template<class Value>
result<Value> parseObject(Value (*convert)(const json &), std::string_view text, const std::string &name)
{
    try {
        return convert(json::parse(text));
    } catch (const json::exception &parseError) {
        return failure(error_code::Invalid, error_step::Decode, name, parseError.what());
    }
}

} // namespace

const listed_member *member_list::find(std::string_view instance) const
{
    for (const listed_member &member : members) {
        if (member.entry.instance == instance) {
            return &member;
        }
    }
    return nullptr;
}

bool member_list::contains(std::string_view instance, std::string_view incarnation) const
{
    const listed_member *member = find(instance);
    return member != nullptr && member->incarnation == incarnation;
}

std::vector<member_entry> member_list::entries() const
{
    std::vector<member_entry> all;
    all.reserve(members.size());
    for (const listed_member &member : members) {
        all.push_back(member.entry);
    }
    return all;
}

lease_entry lease_table::find(std::string_view instance, std::string_view incarnation) const
{
    const auto found = entries.find(instance);
    const bool isSameIncarnation = found != entries.end() && found->second.incarnation == incarnation;
    return isSameIncarnation ? found->second : lease_entry{std::string(incarnation), 0, 0};
}

result<member_list> parseMemberList(std::string_view text)
{
    return parseObject(listFromJson, text, "members/list");
}

std::string memberListText(const member_list &list)
{
    json members = json::array();
    for (const listed_member &member : list.members) {
        members.push_back(memberJson(member));
    }
    const json value = {{"version", list.version},
                        {"nonce", list.nonce},
                        {"revision", list.revision},
                        {"root", list.root},
                        {"previous", list.previous},
                        {"members", std::move(members)}};
    return value.dump();
}

result<lease_table> parseLeases(std::string_view text)
{
    return parseObject(leasesFromJson, text, "leases");
}

std::string leasesText(const lease_table &leases)
{
    json members = json::object();
    for (const auto &[instance, lease] : leases.entries) {
        members[instance] = {{"incarnation", lease.incarnation}, {"sequence", lease.sequence}, {"revoked_at", lease.revokedAt}};
    }
    return json{{"list_version", leases.listVersion}, {"members", std::move(members)}}.dump();
}

} // namespace balsamhook
