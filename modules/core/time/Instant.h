#pragma once

#include <core/time/BootClock.h>

#include <chrono>

namespace Greengage {

/// A point in time on this machine's boot clock, in microseconds. It must not be sent to another process: messages
/// carry ages or remaining times instead.
using Instant = std::chrono::time_point<BootClock, std::chrono::microseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A clock that returns the current instant: BootClock in production code, ManualClock in tests.
template <typename Type>
concept ClockSource = requires(const Type& clock)
{
    {
        clock.current()
        } -> std::convertible_to<Instant>;
};

} // namespace Greengage
