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

/// Addresses of one instance: peers and callers connect to the advertised address; the instance listens on the actual address and sends from it.
struct link_entry
{
    std::string advertised;
    std::string actual;
    std::string dataCentre;
};

/// Treatment of the traffic in one direction, in increasing severity.
enum class link_state : std::uint8_t {
    Pass,
    Silent, ///< Connections stay open and their bytes are held until the direction passes again. Datagrams are dropped.
    Cut, ///< Connections are reset, new ones are refused and datagrams are dropped.
};

/// Addresses, delays and faults of the link, without sockets. Not thread-safe.
class link_rules
{
public:
    /// Parses {"entries":[{"advertised","actual","data_centre"}],"tcp_ports":[...],"udp_ports":[...],"delays":[{"between":[A,B],"ms":N}]}.
    /// A and B are data centres or "caller". Returns Invalid when the text is malformed, a field is missing or a delay has an unknown name. Never throws.
    static result<link_rules> parse(std::string_view json);

    const std::vector<link_entry> &entries() const;
    const std::vector<std::uint16_t> &tcpPorts() const;
    const std::vector<std::uint16_t> &udpPorts() const;

    /// Returns the instance that sends from the address; nullptr for callers and all other addresses.
    const link_entry *findSource(std::string_view actualAddress) const;

    /// Returns the one-way delay between the data centres of the instances. A null `from` stands for "caller". 0 for pairs without a configured delay.
    std::chrono::microseconds delay(const link_entry *from, const link_entry &to) const;

    /// Sets the state of one direction. Each name is a data centre, the advertised address of an instance, or "caller". "caller" has no effect as `to`.
    void setState(const std::string &from, const std::string &to, link_state state);

    /// Returns the most severe state that applies to the direction. A null `from` stands for "caller".
    link_state state(const link_entry *from, const link_entry &to) const;

    /// Returns whether the name is a data centre, the advertised address of an instance, or "caller".
    bool isKnownName(std::string_view name) const;

    /// Returns all directions with a fault, as "from to state".
    std::vector<std::string> faults() const;

private:
    std::vector<link_entry> m_entries;
    std::vector<std::uint16_t> m_tcpPorts;
    std::vector<std::uint16_t> m_udpPorts;
    std::map<std::pair<std::string, std::string>, std::chrono::microseconds> m_delays;
    std::map<std::pair<std::string, std::string>, link_state> m_states;
};

/// Parses "pass", "silent" or "cut". Returns Invalid for other texts.
result<link_state> parseLinkState(std::string_view name);

} // namespace balsamhook
