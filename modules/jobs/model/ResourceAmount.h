#pragma once

#include <cstdint>

namespace Greengage {

/// An amount of resources: what a task occupies, what a worker has, or what a team may use.
struct ResourceAmount {
    /// Thousandths of a core.
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    ResourceAmount& operator+=(const ResourceAmount& other)
    {
        this->cpuMillis += other.cpuMillis;
        this->memoryMegabytes += other.memoryMegabytes;
        this->accelerators += other.accelerators;
        return *this;
    }

    ResourceAmount& operator-=(const ResourceAmount& other)
    {
        this->cpuMillis -= other.cpuMillis;
        this->memoryMegabytes -= other.memoryMegabytes;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend ResourceAmount operator+(ResourceAmount left, const ResourceAmount& right) { return left += right; }
    friend ResourceAmount operator-(ResourceAmount left, const ResourceAmount& right) { return left -= right; }

    /// Whether each resource of this amount is at most that of `free`.
    bool fitsIn(const ResourceAmount& free) const
    {
        return this->cpuMillis <= free.cpuMillis && this->memoryMegabytes <= free.memoryMegabytes
            && this->accelerators <= free.accelerators;
    }
};

} // namespace Greengage
