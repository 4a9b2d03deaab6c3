#include "base/time.h"

#include <ctime>

namespace balsamhook
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::chrono::milliseconds unixTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace balsamhook
