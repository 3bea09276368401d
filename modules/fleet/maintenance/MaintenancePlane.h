#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/MaintenanceInput.h>
#include <fleet/maintenance/MaintenanceOutput.h>

#include <memory>
#include <vector>

namespace Greengage {

struct MaintenanceLedger;

/// Drives maintenance waves from one daemon. Every daemon runs one; the member with the smallest incarnation drives,
/// and a second that believes the same does no harm, since each step is a compare-and-swap of the ledger. It knows no
/// socket, no clock and no log; the same inputs at the same instants give the same outputs.
class MaintenancePlane {
public:
    explicit MaintenancePlane(IncarnationId self);
    ~MaintenancePlane();

    /// Takes the inputs in order, runs every system once, and returns what is to be done. The daemon calls it soon
    /// after each input and at the latest every 250 ms.
    std::vector<MaintenanceOutput> tick(Instant now, std::vector<MaintenanceInput> inputs);

    /// The newest ledger known. Its `outOfService` is what EndpointsListed calls draining, its revision what PeerState
    /// calls the applied revision of the ledger.
    const MaintenanceLedger& ledger() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
