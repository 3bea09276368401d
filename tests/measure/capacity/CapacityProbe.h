#pragma once

#include <fleet/requests/RequestPlane.h>
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
    /// Answers a write of the allotments as a store would that nobody else writes to.
    static void answerAllotments(RequestPlane&, Instant now, const std::vector<RequestOutput>&);
    void add(const char* part, const char* unit, const char* driver, int driverAmount, double cost);

    FleetSize size;
    SyntheticFleet fleet;
    std::vector<Reading> readings;
};

} // namespace Greengage
