#pragma once

#include <cstdint>

namespace Greengage {

/// What the platform says of a VM's reboots.
struct RebootStatus {
    /// Number of the newest reboot that the platform has taken for the VM.
    std::uint64_t operation = 0;
    /// Whether that reboot is over.
    bool done = false;
};

} // namespace Greengage
