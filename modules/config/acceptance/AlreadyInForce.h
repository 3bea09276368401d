#pragma once

#include <cstdint>

namespace Greengage {

/// The submission's change was accepted earlier, or the submission would change nothing.
struct AlreadyInForce {
    /// Revision that contains the change.
    std::uint64_t revision = 0;
};

} // namespace Greengage
