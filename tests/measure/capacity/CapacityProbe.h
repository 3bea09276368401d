#pragma once

#include <fleet/requests/RequestPlane.h>
#include <measure/capacity/FleetSize.h>
#include <measure/capacity/Reading.h>
#include <measure/capacity/SyntheticFleet.h>

#include <vector>

namespace Greengage {

/// Measures the processor time, memory and message size of each part of a daemon in a fleet of one size.
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
    /// Confirms each write of the allotments, as a store without other writers does.
    static void confirmAllotments(RequestPlane&, Instant now, const std::vector<RequestOutput>&);
    void addReading(const char* part, const char* unit, const char* driver, int driverAmount, double cost);

    FleetSize size;
    SyntheticFleet fleet;
    std::vector<Reading> readings;
};

} // namespace Greengage
