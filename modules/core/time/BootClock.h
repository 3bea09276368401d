#pragma once

#include <chrono>

namespace Greengage {

/// The kernel's boot-time clock (CLOCK_BOOTTIME). It never goes backwards and keeps running while the process is
/// stopped or the machine is suspended, so a deadline that expires during a pause counts as passed when the process
/// resumes.
class BootClock {
public:
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard requires the name

    static time_point now();

    time_point current() const { return now(); }
};

} // namespace Greengage
