#include <fleet/placement/model/PlacementProfile.h>

namespace Greengage {

PlacementProfile PlacementProfile::workshop()
{
    PlacementProfile profile;
    profile.shareTolerance = 0.05;
    profile.finishOnDrainWithin = Seconds(5);
    return profile;
}

PlacementProfile PlacementProfile::yard()
{
    PlacementProfile profile;
    profile.shareTolerance = 0.01;
    profile.headroom = 0.1;
    profile.finishOnDrainWithin = Seconds(60);
    return profile;
}

PlacementProfile PlacementProfile::baseline()
{
    PlacementProfile profile;
    profile.learnsSizes = false;
    profile.borrows = false;
    profile.preemptsForUrgent = false;
    profile.preemptsForShares = false;
    profile.quarantinesWorkers = false;
    profile.packsTightly = false;
    profile.ordersByShare = false;
    profile.checkpointsOnDrain = false;
    return profile;
}

} // namespace Greengage
