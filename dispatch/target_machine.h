#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace balsamhook
{

/// Life of a target as its owner sees it.
enum class target_state : std::uint8_t {
    NotOwned,
    AwaitingTakeover, ///< Assigned to this instance, but the previous owner may still send.
    Cold, ///< New, restarted or taken over, or overloaded: below its full slots.
    Warm, ///< All slots in use.
    Draining, ///< Leaving, or its data centre is out: no new work.
    Unreachable, ///< No connection can be opened: no new work until one can.
    Releasing, ///< No longer owned; work in flight ends.
};

enum class target_event : std::uint8_t {
    Assigned,
    TakeoverAllowed,
    OwnershipLost,
    Released,
    FullLimitReached,
    LimitReset,
    LeaveStarted,
    LeaveEnded,
    ConnectFailed,
    ConnectSucceeded,
};

std::string_view nameOf(target_state state);

/// State machine of one target's life. An event that has no meaning in the present state is ignored. Not thread-safe.
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
