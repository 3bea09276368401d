#include <core/time/BootClock.h>

#include <ctime>

namespace Greengage {

BootClock::time_point BootClock::now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

} // namespace Greengage
