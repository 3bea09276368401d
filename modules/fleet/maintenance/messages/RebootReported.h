#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// The platform answered a RebootVm.
struct RebootReported {
    VmId vm;
    /// Operation number of the newest reboot that the platform has accepted for the VM.
    std::uint64_t operation = 0;
    /// Whether that reboot is complete.
    bool done = false;
};

} // namespace Greengage
