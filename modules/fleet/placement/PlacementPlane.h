#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/PlacementInput.h>
#include <fleet/placement/PlacementOutput.h>
#include <fleet/placement/model/PlacementProfile.h>

#include <memory>
#include <vector>

namespace Greengage {

/// Places jobs on workers: learnt sizes, weighted fair shares with borrowing, upper limits, urgent work first, faulty
/// workers set aside. It knows no socket, no clock and no log; the same inputs at the same instants give the same
/// outputs.
class PlacementPlane {
public:
    explicit PlacementPlane(PlacementProfile);
    ~PlacementPlane();

    /// Takes the inputs in order, runs every system once, and returns what is to be done. Call it soon after each
    /// input and at the latest every 250 ms.
    std::vector<PlacementOutput> tick(Instant now, std::vector<PlacementInput> inputs);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
