#pragma once

#include <fleet/requests/RequestPlane.h>

#include <memory>
#include <vector>

namespace Greengage {

/// A daemon of a simulated fleet: its request plane and the faults applied to it.
class SimulatedDaemon {
public:
    bool isRunning() const { return this->alive && !this->frozen; }

    PeerState identity;
    std::unique_ptr<RequestPlane> plane;
    bool alive = false;
    bool frozen = false;
    /// Whether only the connection to the store is cut.
    bool storeCut = false;
    Instant leaseEnd = Instant::min();
    std::uint64_t appliedRevision = 0;
    /// Inputs that arrived while the daemon was frozen.
    std::vector<RequestInput> pendingInputs;
};

} // namespace Greengage
