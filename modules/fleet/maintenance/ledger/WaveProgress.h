#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/MovedVm.h>
#include <fleet/maintenance/ledger/WaveState.h>

#include <string>
#include <vector>

namespace Greengage {

/// The most recent run of one wave. A VM of the run is in exactly one of `remaining`, `done`, `stuck` and the ledger's
/// VMs out of service, or has been dropped because the document no longer lists it.
struct WaveProgress {
    WaveId wave;
    WaveState state = WaveState::Running;
    /// The most recent command applied. A command that is repeated because its answer was lost is not applied twice.
    std::string lastCommand;
    std::vector<VmId> remaining;
    std::vector<MovedVm> done;
    /// VMs whose drain timed out and was cancelled.
    std::vector<VmId> stuck;

    bool operator==(const WaveProgress&) const = default;
};

} // namespace Greengage
