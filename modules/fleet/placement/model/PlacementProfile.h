#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// Settings of the one placement policy. `workshop` and `yard` are the two in use; single mechanisms can be switched
/// off for measurements.
struct PlacementProfile {
    /// How far above its share a team may be, as a part of the fleet, before its work is checkpointed for a team below.
    double shareTolerance = 0.02;
    /// Part of the fleet that teams above their shares leave free, so that a team below its share starts at once.
    double headroom = 0;
    /// Which quantile of the actual sizes seen is reserved.
    double sizeQuantile = 0.9;
    /// A task on a draining worker that is expected to end within this time is left to end.
    Seconds finishOnDrainWithin { 30 };

    bool learnsSizes = true;
    bool borrows = true;
    bool preemptsForUrgent = true;
    bool preemptsForShares = true;
    bool setsAsideWorkers = true;
    /// Whether the fullest worker that fits is taken, instead of the first.
    bool packsTightly = true;
    /// Whether teams furthest below their share go first, instead of the oldest job.
    bool ordersByShare = true;
    bool checkpointsOnDrain = true;

    /// Buffer cost and roll-out time weigh more.
    static PlacementProfile workshop();
    /// Closeness to share weighs more.
    static PlacementProfile yard();
    /// First fit, oldest job first, no borrowing and none of the other mechanisms.
    static PlacementProfile baseline();
};

} // namespace Greengage
