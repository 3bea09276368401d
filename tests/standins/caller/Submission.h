#pragma once

#include <core/time/Deadline.h>
#include <standins/caller/CallerLoad.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// A piece of work that a caller wants done once; it may take several attempts.
struct Submission {
    std::string name;
    const CallerLoad* load = nullptr;
    int runMilliseconds = 0;
    Deadline deadline;
    int attempts = 0;
    /// Index of the daemon that the last attempt was sent to.
    std::size_t daemon = 0;
};

} // namespace Greengage
