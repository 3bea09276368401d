#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// Compare-and-swap the value of all allotments. At most one is under way at a time.
struct UpdateAllotments {
    std::uint64_t expectedVersion = 0;
    std::string value;
};

} // namespace Greengage
