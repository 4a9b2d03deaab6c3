#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamhook
{

/// An instance as the link sees it: others connect to the advertised address, its programs listen on the actual one and send from it.
struct link_entry
{
    std::string advertised;
    std::string actual;
    std::string dataCentre;
};

/// What the link does with traffic of one direction.
enum class link_state : std::uint8_t {
    Pass,
    Silent, ///< Bytes are held until the direction passes again, datagrams are dropped; connections stay open.
    Cut, ///< Connections are reset and refused, datagrams are dropped.
};

/// Addresses, delays and faults of the link, without sockets. Not thread-safe.
class link_rules
{
public:
    /// Parses {"entries":[{"advertised","actual","data_centre"}],"tcp_ports":[...],"udp_ports":[...],"delays":[{"between":[A,B],"ms":N}]}.
    /// A and B are data centres. Invalid with a message that names the field. Never throws.
    static result<link_rules> parse(std::string_view json);

    const std::vector<link_entry> &entries() const;
    const std::vector<std::uint16_t> &tcpPorts() const;
    const std::vector<std::uint16_t> &udpPorts() const;

    /// Returns the entry whose programs send from the address; nullptr for callers and other outsiders.
    const link_entry *findSource(std::string_view actualAddress) const;

    /// Returns the one-way delay; 0 for outsiders and pairs without one. `from` may be nullptr.
    std::chrono::microseconds delay(const link_entry *from, const link_entry &to) const;

    /// Sets the state of one direction. The names are those of a data centre or advertised addresses of one instance.
    void setState(const std::string &from, const std::string &to, link_state state);

    /// Returns the most severe state that applies to the direction. Outsiders are named "caller".
    link_state state(const link_entry *from, const link_entry &to) const;

    /// True when a data centre, an instance or "caller" has this name.
    bool knows(std::string_view name) const;

    /// Returns all directions that don't pass, as "from to state".
    std::vector<std::string> faults() const;

private:
    std::vector<link_entry> m_entries;
    std::vector<std::uint16_t> m_tcpPorts;
    std::vector<std::uint16_t> m_udpPorts;
    std::map<std::pair<std::string, std::string>, std::chrono::microseconds> m_delays;
    std::map<std::pair<std::string, std::string>, link_state> m_states;
};

/// Parses "pass", "silent" or "cut"; Invalid for other texts.
result<link_state> parseLinkState(std::string_view name);

} // namespace balsamhook
