#pragma once

#include <core/time/BootClock.h>

#include <chrono>

namespace Greengage {

/// A point on this machine's boot clock, in microseconds. It has no meaning in another process: messages carry ages or
/// remaining times instead.
using Instant = std::chrono::time_point<BootClock, std::chrono::microseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Anything that tells the current instant. Production code passes a BootClock, tests a ManualClock.
template <typename Type>
concept ClockSource = requires(const Type& clock)
{
    {
        clock.current()
        } -> std::convertible_to<Instant>;
};

} // namespace Greengage
