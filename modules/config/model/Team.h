#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A group of callers, with its share of the fleet under contention and its limit across the whole fleet.
struct Team {
    TeamId name;
    std::string owner;
    WorkspaceId workspace;
    /// Relative weight of the team when the fleet is fully used; above 0.
    double share = 1.0;
    /// Maximum number of the team's requests that may run at once in the whole fleet; 0 stops the team.
    int limit = 0;
    int line = 0;
};

} // namespace Greengage
