#pragma once

#include <core/time/Deadline.h>
#include <standins/caller/CallerLoad.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// Something that a caller wants done once, over as many attempts as it takes.
struct Submission {
    std::string name;
    const CallerLoad* load = nullptr;
    int runMilliseconds = 0;
    Deadline deadline;
    int attempts = 0;
    /// Index of the daemon that the last attempt went to.
    std::size_t daemon = 0;
};

} // namespace Greengage
