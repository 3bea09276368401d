#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/Demand.h>

namespace Greengage {

/// What operators decide about one team.
struct TeamPolicy {
    TeamId id;
    /// The team's part, relative to other teams, when a pool is full.
    double weight = 1;
    /// The most that the team may have running across all pools; zero in a resource means no limit there.
    Demand maximum;
};

} // namespace Greengage
