#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/VmMaintenance.h>

#include <map>
#include <vector>

namespace Greengage {

class FleetView;

/// Sorts candidates so that those come first whose service, then zone, then rack needs the most further rounds under
/// its budget: these determine how long the whole wave takes. Ties are ordered by VM name.
void sortByRoundsLeft(const FleetView&, std::vector<VmMaintenance>& candidates);

} // namespace Greengage
