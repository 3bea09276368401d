#pragma once

namespace Greengage {

/// What the kernel says that this process uses.
struct ProcessUsage {
    double cpuSeconds = 0;
    /// Resident bytes, shared libraries included.
    double residentBytes = 0;
    /// Resident bytes that no other process shares.
    double privateBytes = 0;
    double openDescriptors = 0;

    /// Reads the present values; what cannot be read is 0.
    static ProcessUsage read();
};

} // namespace Greengage
