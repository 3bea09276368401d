#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/PlacementInput.h>
#include <fleet/placement/PlacementOutput.h>
#include <fleet/placement/model/PlacementProfile.h>

#include <memory>
#include <vector>

namespace Greengage {

/// Places jobs on workers by learned sizes, weighted fair shares with borrowing, and upper limits; urgent work goes
/// first and faulty workers are quarantined. The plane uses no socket, clock or log; the same inputs at the same
/// instants give the same outputs.
class PlacementPlane {
public:
    explicit PlacementPlane(PlacementProfile);
    ~PlacementPlane();

    /// Applies the inputs in order, runs every system once and returns the actions to execute. Call it soon after each
    /// input and at least every 250 ms.
    std::vector<PlacementOutput> tick(Instant now, std::vector<PlacementInput> inputs);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
