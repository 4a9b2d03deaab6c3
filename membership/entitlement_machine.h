#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace balsamhook
{

/// Whether an instance may act as owner of its targets, and on which ground.
enum class entitlement_state : std::uint8_t {
    Starting, ///< Not entitled since the process started.
    EntitledByLease, ///< The reporter confirmed a heartbeat that is younger than the lease duration.
    EntitledByMajority, ///< No valid lease; a majority of the member list acknowledged heartbeats younger than the lease duration.
    Expired, ///< Neither a valid lease nor a majority.
    Left, ///< Released all targets in a planned stop; final.
};

std::string_view nameOf(entitlement_state state);

/// Entitlement of one instance as a Boost.MSM state machine. Not thread-safe.
class entitlement_machine
{
public:
    entitlement_machine();
    ~entitlement_machine();
    entitlement_machine(const entitlement_machine &) = delete;
    entitlement_machine &operator=(const entitlement_machine &) = delete;

    /// Sets the state from the current conditions. The lease takes precedence over the majority.
    void update(bool hasLease, bool hasMajority);

    /// Ends the entitlement permanently.
    void leave();

    entitlement_state state() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
