#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/MovedVm.h>
#include <fleet/maintenance/ledger/WaveState.h>

#include <string>
#include <vector>

namespace Greengage {

/// The newest run of one wave. A VM of the run stands in exactly one of `remaining`, `done`, `stuck` and the ledger's
/// VMs out of service, or has been dropped because the document no longer names it.
struct WaveProgress {
    WaveId wave;
    WaveState state = WaveState::Running;
    /// The newest command taken, so that one whose answer was lost is not taken twice.
    std::string lastCommand;
    std::vector<VmId> remaining;
    std::vector<MovedVm> done;
    /// VMs that were put back because they had not drained in time.
    std::vector<VmId> stuck;

    bool operator==(const WaveProgress&) const = default;
};

} // namespace Greengage
