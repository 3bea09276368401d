#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/MaintenanceInput.h>
#include <fleet/maintenance/MaintenanceOutput.h>

#include <memory>
#include <vector>

namespace Greengage {

struct MaintenanceLedger;

/// Drives maintenance waves from one daemon. Every daemon runs one; the member with the smallest incarnation drives. A
/// second daemon that also believes itself the driver does no harm, since each step is a compare-and-swap of the
/// ledger. The plane uses no socket, clock or log; the same inputs at the same instants give the same outputs.
class MaintenancePlane {
public:
    explicit MaintenancePlane(IncarnationId self);
    ~MaintenancePlane();

    /// Applies the inputs in order, runs every system once and returns the actions to execute. The daemon calls it soon
    /// after each input and at least every 250 ms.
    std::vector<MaintenanceOutput> tick(Instant now, std::vector<MaintenanceInput> inputs);

    /// The newest known ledger. Its `outOfService` is the draining set of EndpointsListed, and its revision is the
    /// applied ledger revision of PeerState.
    const MaintenanceLedger& ledger() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
