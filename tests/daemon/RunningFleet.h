#pragma once

#include <tests/daemon/FleetFixture.h>

namespace Greengage {

/// Two daemons in two zones that serve, with the document in force.
struct RunningFleet : FleetFixture {
    RunningFleet();

    /// Waits until a daemon has the list of endpoints.
    void awaitAnswer(int number);
};

} // namespace Greengage
