#pragma once

#include <tests/daemon/FleetFixture.h>

namespace Greengage {

/// Two daemons in two availability zones that serve requests under the fixture's document.
struct RunningFleet : FleetFixture {
    RunningFleet();

    /// Waits until a daemon is healthy and its requests reach endpoints.
    void awaitServing(int number);
};

} // namespace Greengage
