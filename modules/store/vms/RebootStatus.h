#pragma once

#include <cstdint>

namespace Greengage {

/// The platform's status of a VM's reboots.
struct RebootStatus {
    /// Operation number of the newest reboot that the platform has accepted for the VM.
    std::uint64_t operation = 0;
    /// Whether that reboot has finished.
    bool done = false;
};

} // namespace Greengage
