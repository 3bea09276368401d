#pragma once

#include <string>

namespace Greengage {

/// The numbers of a fleet that determine the cost of a daemon's control work.
struct FleetSize {
    std::string label;
    int services = 0;
    /// Pools of endpoints.
    int pools = 0;
    int endpoints = 0;
    int workers = 0;
    int teams = 0;
    /// Daemons that exchange peer states.
    int daemons = 0;
    int zones = 0;
};

} // namespace Greengage
