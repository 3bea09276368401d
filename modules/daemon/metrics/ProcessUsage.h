#pragma once

namespace Greengage {

/// The resource usage of this process as the kernel reports it.
struct ProcessUsage {
    double cpuSeconds = 0;
    /// Resident bytes, shared libraries included.
    double residentBytes = 0;
    /// Resident bytes that no other process shares.
    double privateBytes = 0;
    double openDescriptors = 0;

    /// Reads the current values; those that cannot be read are 0.
    static ProcessUsage read();
};

} // namespace Greengage
