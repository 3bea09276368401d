#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A group of callers, with its share for when the fleet is full and its upper limit across the whole fleet.
struct Team {
    TeamId name;
    std::string owner;
    WorkspaceId workspace;
    /// Weight of the team when everything is full; above 0.
    double share = 1.0;
    /// How many requests of the team may run at once in the whole fleet; 0 stops the team.
    int limit = 0;
    int line = 0;
};

} // namespace Greengage
