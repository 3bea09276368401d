#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// A daemon's answer to a submission that has been accepted, by this call or by an earlier one.
struct ApplyAnswer {
    std::uint64_t revision = 0;
    /// Whether every daemon either has applied the revision or can no longer act on an older one.
    bool inForce = false;
    /// Names of the daemons that have not confirmed the revision yet.
    std::vector<std::string> behind;
};

} // namespace Greengage
