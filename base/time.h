#pragma once

#include <chrono>
#include <cstdint>

namespace balsamhook
{

/// Monotonic clock that goes on while the machine is suspended (CLOCK_BOOTTIME). Leases and entitlement are counted
/// on it, so that a process that was suspended finds its lease expired. Its time points are valid for all processes of one machine.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Converts a boot clock time point for a message between processes of one machine.
inline std::int64_t toNanoseconds(boot_clock::time_point time)
{
    return time.time_since_epoch().count();
}

inline boot_clock::time_point fromNanoseconds(std::int64_t nanoseconds)
{
    return boot_clock::time_point(std::chrono::nanoseconds(nanoseconds));
}

/// Wall-clock time, used only for the expiry of command keys and for logs.
std::chrono::milliseconds unixTime();

} // namespace balsamhook
