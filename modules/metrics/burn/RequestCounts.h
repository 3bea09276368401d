#pragma once

#include <cstdint>

namespace Greengage {

/// Numbers of requests completed within a period.
struct RequestCounts {
    std::uint64_t total = 0;
    /// Requests that met the service's objective: answered within its latency limit.
    std::uint64_t good = 0;

    RequestCounts& operator+=(const RequestCounts& other)
    {
        this->total += other.total;
        this->good += other.good;
        return *this;
    }
};

} // namespace Greengage
