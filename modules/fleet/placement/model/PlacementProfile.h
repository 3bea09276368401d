#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// Settings of the placement policy. `workshop` and `yard` are the two profiles in use; single mechanisms can be
/// switched off for measurements.
struct PlacementProfile {
    /// How far a team may exceed its share, as a fraction of the fleet, before its work is checkpointed for a team
    /// below its share.
    double shareTolerance = 0.02;
    /// Fraction of the fleet that teams above their shares leave free, so that a team below its share can start at
    /// once.
    double headroom = 0;
    /// The quantile of the observed actual sizes that is reserved.
    double sizeQuantile = 0.9;
    /// A task on a draining worker that is expected to end within this time is allowed to finish.
    Seconds finishOnDrainWithin { 30 };

    bool learnsSizes = true;
    bool borrows = true;
    bool preemptsForUrgent = true;
    bool preemptsForShares = true;
    bool setsAsideWorkers = true;
    /// Whether the fullest worker with enough free capacity is chosen, instead of the first.
    bool packsTightly = true;
    /// Whether teams furthest below their share go first, instead of the oldest job.
    bool ordersByShare = true;
    bool checkpointsOnDrain = true;

    /// Favours low buffer cost and short roll-out time.
    static PlacementProfile workshop();
    /// Favours closeness to the teams' shares.
    static PlacementProfile yard();
    /// First fit, oldest job first, no borrowing and none of the other mechanisms.
    static PlacementProfile baseline();
};

} // namespace Greengage
