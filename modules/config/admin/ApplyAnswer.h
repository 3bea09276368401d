#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// What a daemon answers to a submission that it has accepted, now or before.
struct ApplyAnswer {
    std::uint64_t revision = 0;
    /// Whether every daemon has applied the revision, or can no longer act on an older one.
    bool inForce = false;
    /// Names of the daemons that are not known to have applied it.
    std::vector<std::string> behind;
};

} // namespace Greengage
