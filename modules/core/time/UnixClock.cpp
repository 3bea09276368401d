#include <core/time/UnixClock.h>

#include <chrono>

namespace Greengage {

std::int64_t unixMilliseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Greengage
