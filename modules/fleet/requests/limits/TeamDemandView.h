#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// A daemon's view of a team's limit and of the demand for it.
struct TeamDemandView {
    TeamId team;
    int limit = 0;
    /// Units that belong to no allotment.
    int free = 0;
    /// Units of this daemon's allotment, and the number of them in use.
    int held = 0;
    int running = 0;
    /// Requests that wait at this daemon, and at all live peers together.
    int waiting = 0;
    int peersWaiting = 0;
    /// Whether requests wait at a live peer that holds less than half of an equal share.
    bool peerStarves = false;
    /// This daemon's share of the limit in proportion to its demand.
    int fairShare = 0;
    /// Share of the limit, rounded down, if all daemons had the same demand.
    int equalShare = 0;
    /// Whether the demand of all live daemons exceeds the limit.
    bool isShort = false;

    /// Whether daemons must keep to their fair share, so that a starving peer gets units.
    bool mustShare() const { return this->isShort && this->peerStarves; }
};

} // namespace Greengage
