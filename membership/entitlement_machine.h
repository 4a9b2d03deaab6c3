#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace balsamhook
{

/// Why an instance may or may not act as owner.
enum class entitlement_state : std::uint8_t {
    Starting, ///< Never entitled so far.
    EntitledByLease, ///< The reporter confirmed a heartbeat that is younger than the lease time.
    EntitledByMajority, ///< No lease; a majority of the member list acknowledged heartbeats younger than the lease time.
    Expired,
    Left, ///< Handed over everything in a planned stop; final.
};

std::string_view nameOf(entitlement_state state);

/// Entitlement of one instance as a Boost.MSM table. Not thread-safe.
class entitlement_machine
{
public:
    entitlement_machine();
    ~entitlement_machine();
    entitlement_machine(const entitlement_machine &) = delete;
    entitlement_machine &operator=(const entitlement_machine &) = delete;

    /// Applies what holds now. The lease takes precedence over the majority.
    void update(bool hasLease, bool hasMajority);

    /// Ends the entitlement for good.
    void leave();

    entitlement_state state() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
