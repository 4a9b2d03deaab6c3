#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace balsamhook
{

/// Lifecycle of a target at its owner.
enum class target_state : std::uint8_t {
    NotOwned,
    AwaitingTakeover, ///< Assigned to this instance while the previous owner may still send.
    Cold, ///< New, restarted, taken over or overloaded: the limit is below the configured slots.
    Warm, ///< The limit has reached the configured slots.
    Draining, ///< Leaving, or its data centre is out: no new attempts.
    Unreachable, ///< No connection can be opened: no new attempts until one can.
    Releasing, ///< No longer owned; attempts in flight continue.
};

enum class target_event : std::uint8_t {
    Assigned,
    TakeoverAllowed,
    OwnershipLost,
    Released,
    FullLimitReached,
    LimitReset,
    DrainStarted,
    DrainEnded,
    ConnectFailed,
    ConnectSucceeded,
};

std::string_view nameOf(target_state state);

/// State machine of one target. Events without a transition from the current state are ignored. Not thread-safe.
class target_machine
{
public:
    target_machine();
    ~target_machine();
    target_machine(target_machine &&other) noexcept;
    target_machine &operator=(target_machine &&other) noexcept;

    void process(target_event event);
    target_state state() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
