#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// Writes the value of all allotments by compare-and-swap. At most one such write is in progress at a time.
struct UpdateAllotments {
    std::uint64_t expectedVersion = 0;
    std::string value;
};

} // namespace Greengage
