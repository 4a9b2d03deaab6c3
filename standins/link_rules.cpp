#include "standins/link_rules.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 3> StateNames{"pass", "silent", "cut"};
constexpr std::string_view CallerName = "caller";

std::vector<std::string> namesOf(const link_entry *entry)
{
    if (entry == nullptr) {
        return {std::string(CallerName)};
    }
    return {entry->dataCentre, entry->advertised};
}

} // namespace

result<link_state> parseLinkState(std::string_view name)
{
    const auto *const found = std::find(StateNames.begin(), StateNames.end(), name);
    if (found == StateNames.end()) {
        return failure(error_code::Invalid, error_step::Validate, "", "state '" + std::string(name) + "' is not one of pass, silent, cut");
    }
    return static_cast<link_state>(found - StateNames.begin());
}

result<link_rules> link_rules::parse(std::string_view text)
{
    try {
        const json document = json::parse(text);
        link_rules rules;
        for (const json &entry : document.at("entries")) {
            rules.m_entries.push_back(
                {entry.at("advertised").get<std::string>(), entry.at("actual").get<std::string>(), entry.at("data_centre").get<std::string>()});
        }
        rules.m_tcpPorts = document.at("tcp_ports").get<std::vector<std::uint16_t>>();
        rules.m_udpPorts = document.at("udp_ports").get<std::vector<std::uint16_t>>();
        for (const json &entry : document.value("delays", json::array())) {
            const auto pair = entry.at("between").get<std::pair<std::string, std::string>>();
            const std::chrono::microseconds delay(static_cast<std::int64_t>(entry.at("ms").get<double>() * 1000.0));
            if (!rules.isKnownName(pair.first) || !rules.isKnownName(pair.second)) {
                return failure(error_code::Invalid, error_step::Validate, "", "delay between " + pair.first + " and " + pair.second + ": unknown name");
            }
            rules.m_delays[pair] = delay;
            rules.m_delays[{pair.second, pair.first}] = delay;
        }
        return rules;
    } catch (const json::exception &invalid) {
        return failure(error_code::Invalid, error_step::Validate, "", std::string("link settings: ") + invalid.what());
    }
}

const std::vector<link_entry> &link_rules::entries() const
{
    return m_entries;
}

const std::vector<std::uint16_t> &link_rules::tcpPorts() const
{
    return m_tcpPorts;
}

const std::vector<std::uint16_t> &link_rules::udpPorts() const
{
    return m_udpPorts;
}

const link_entry *link_rules::findSource(std::string_view actualAddress) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [actualAddress](const link_entry &entry) { return entry.actual == actualAddress; });
    return found == m_entries.end() ? nullptr : &*found;
}

std::chrono::microseconds link_rules::delay(const link_entry *from, const link_entry &to) const
{
    const auto found = m_delays.find({namesOf(from).front(), to.dataCentre});
    return found == m_delays.end() ? std::chrono::microseconds(0) : found->second;
}

void link_rules::setState(const std::string &from, const std::string &to, link_state state)
{
    if (state == link_state::Pass) {
        m_states.erase({from, to});
        return;
    }
    m_states[{from, to}] = state;
}

link_state link_rules::state(const link_entry *from, const link_entry &to) const
{
    link_state mostSevere = link_state::Pass;
    if (m_states.empty()) {
        return mostSevere;
    }
    for (const std::string &source : namesOf(from)) {
        for (const std::string &destination : namesOf(&to)) {
            const auto found = m_states.find({source, destination});
            mostSevere = found == m_states.end() ? mostSevere : std::max(mostSevere, found->second);
        }
    }
    return mostSevere;
}

bool link_rules::isKnownName(std::string_view name) const
{
    return name == CallerName
        || std::any_of(m_entries.begin(), m_entries.end(), [name](const link_entry &entry) { return entry.dataCentre == name || entry.advertised == name; });
}

std::vector<std::string> link_rules::faults() const
{
    std::vector<std::string> descriptions;
    descriptions.reserve(m_states.size());
    for (const auto &[pair, state] : m_states) {
        descriptions.push_back(pair.first + " " + pair.second + " " + std::string(StateNames.at(static_cast<std::size_t>(state))));
    }
    return descriptions;
}

} // namespace balsamhook
