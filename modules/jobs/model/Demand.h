#pragma once

#include <cstdint>

namespace Greengage {

/// An amount of resources: what a task occupies, what a worker has, or what a team may use.
struct Demand {
    /// Thousandths of a core.
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    Demand& operator+=(const Demand& other)
    {
        this->cpuMillis += other.cpuMillis;
        this->memoryMegabytes += other.memoryMegabytes;
        this->accelerators += other.accelerators;
        return *this;
    }

    Demand& operator-=(const Demand& other)
    {
        this->cpuMillis -= other.cpuMillis;
        this->memoryMegabytes -= other.memoryMegabytes;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend Demand operator+(Demand left, const Demand& right) { return left += right; }
    friend Demand operator-(Demand left, const Demand& right) { return left -= right; }

    /// Whether each resource of this amount is at most that of `free`.
    bool fitsIn(const Demand& free) const
    {
        return this->cpuMillis <= free.cpuMillis && this->memoryMegabytes <= free.memoryMegabytes
            && this->accelerators <= free.accelerators;
    }
};

} // namespace Greengage
