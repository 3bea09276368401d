#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// What one daemon sees of a team's limit and of the demand for it.
struct TeamDemandView {
    TeamId team;
    int limit = 0;
    /// Units in nobody's allotment.
    int free = 0;
    /// Units of this daemon's allotment, and how many of them are in use.
    int held = 0;
    int running = 0;
    /// Requests that wait here, and at all live peers.
    int waiting = 0;
    int peersWaiting = 0;
    /// Whether requests wait at a live peer that holds less than half of an equal part.
    bool peerStarves = false;
    /// This daemon's part of the limit by demand.
    int fairShare = 0;
    /// This daemon's part of the limit, rounded down, if all daemons had the same demand.
    int equalShare = 0;
    /// Whether the demand of all live daemons exceeds the limit.
    bool isShort = false;

    /// Whether daemons keep to their fair part, so that a starving peer gets units.
    bool mustShare() const { return this->isShort && this->peerStarves; }
};

} // namespace Greengage
