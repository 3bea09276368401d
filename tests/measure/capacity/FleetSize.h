#pragma once

#include <string>

namespace Greengage {

/// How large a fleet is, as far as a daemon's control work depends on it.
struct FleetSize {
    std::string label;
    int services = 0;
    /// Pools of endpoints.
    int pools = 0;
    int endpoints = 0;
    int workers = 0;
    int teams = 0;
    /// Daemons that exchange states with one another.
    int daemons = 0;
    int zones = 0;
};

} // namespace Greengage
