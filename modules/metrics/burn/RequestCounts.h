#pragma once

#include <cstdint>

namespace Greengage {

/// Requests of one span of time.
struct RequestCounts {
    std::uint64_t total = 0;
    /// Those that kept the service's objective: answered within its latency.
    std::uint64_t good = 0;

    RequestCounts& operator+=(const RequestCounts& other)
    {
        this->total += other.total;
        this->good += other.good;
        return *this;
    }
};

} // namespace Greengage
