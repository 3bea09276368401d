#pragma once

#include <cstdint>

namespace Greengage {

/// The submission's change has been made before, or the submission would change nothing.
struct AlreadyInForce {
    /// Revision that holds it.
    std::uint64_t revision = 0;
};

} // namespace Greengage
