#pragma once

#include <cstddef>
#include <cstdint>
#include <sys/types.h>

namespace Greengage {

/// The memory and descriptors of a process, read from the kernel.
class ProcessUsage {
public:
    explicit ProcessUsage(pid_t process)
        : process(process)
    {
    }

    /// Reads the current figures and keeps the peaks. `port` is the one on which the process listens; the bytes that
    /// the kernel holds unread for it count as the process's memory.
    void sample(std::uint16_t port);

    /// The largest sum seen so far of the peak of the resident memory and of the unread bytes, in bytes.
    std::size_t peakMemory() const { return this->memory; }
    /// The largest number of open descriptors seen so far.
    std::size_t peakDescriptors() const { return this->descriptors; }

private:
    pid_t process;
    std::size_t memory = 0;
    std::size_t descriptors = 0;
};

} // namespace Greengage
