#pragma once

#include <chrono>
#include <cstdint>

namespace balsamhook
{

/// Monotonic clock that includes the time during which the machine is suspended (CLOCK_BOOTTIME). Leases and entitlement use it, so that a lease
/// also expires during a suspension. Time points are comparable between the processes of one machine.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Nanoseconds since boot, for messages between processes of one machine.
inline std::int64_t toNanoseconds(boot_clock::time_point time)
{
    return time.time_since_epoch().count();
}

inline boot_clock::time_point fromNanoseconds(std::int64_t nanoseconds)
{
    return boot_clock::time_point(std::chrono::nanoseconds(nanoseconds));
}

/// Wall-clock time since the Unix epoch, for the expiry of command keys, peer incarnations and logs. Not for leases or timeouts, because the wall clock can
/// be set back.
std::chrono::milliseconds unixTime();

} // namespace balsamhook
