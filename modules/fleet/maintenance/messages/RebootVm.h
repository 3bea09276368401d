#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Ask the platform to reboot a drained VM; answered with RebootReported, or not at all. It is asked again until the
/// reboot is done: the platform runs each operation number once and ignores one that is not above the newest it has
/// taken for the VM.
struct RebootVm {
    VmId vm;
    std::uint64_t operation = 0;
};

} // namespace Greengage
