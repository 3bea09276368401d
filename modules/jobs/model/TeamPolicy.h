#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/ResourceAmount.h>

namespace Greengage {

/// The operators' settings for one team.
struct TeamPolicy {
    TeamId id;
    /// Weight of the team relative to other teams when a pool is full.
    double weight = 1;
    /// Maximum that the team may have running across all pools; zero in a resource means no limit.
    ResourceAmount maximum;
};

} // namespace Greengage
