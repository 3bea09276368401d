#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// The platform has answered a RebootVm.
struct RebootReported {
    VmId vm;
    /// Number of the newest reboot that the platform has taken for the VM.
    std::uint64_t operation = 0;
    /// Whether that reboot is over.
    bool done = false;
};

} // namespace Greengage
