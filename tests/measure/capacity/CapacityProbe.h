#pragma once

#include <measure/capacity/FleetSize.h>
#include <measure/capacity/Reading.h>
#include <measure/capacity/SyntheticFleet.h>

#include <vector>

namespace Greengage {

/// Measures what each part of a daemon costs in a fleet of one size.
class CapacityProbe {
public:
    explicit CapacityProbe(const FleetSize&);

    std::vector<Reading> measure();

private:
    void measureDocument();
    void measureVmList();
    void measurePeerState();
    void measureAllotments();
    void measureRequestPlane();
    void measureMaintenancePlane();
    void add(const char* part, const char* unit, const char* driver, int driverAmount, double cost);

    FleetSize size;
    SyntheticFleet fleet;
    std::vector<Reading> readings;
};

} // namespace Greengage
