#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Ask the platform to reboot a drained VM; answered with RebootReported, or not at all. The request is repeated until
/// the reboot is complete: the platform runs each operation number once and ignores one that does not exceed the newest
/// it has accepted for the VM.
struct RebootVm {
    VmId vm;
    std::uint64_t operation = 0;
};

} // namespace Greengage
