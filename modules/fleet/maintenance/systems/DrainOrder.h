#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/VmMaintenance.h>

#include <map>
#include <vector>

namespace Greengage {

class FleetView;

/// Sorts candidates so that those come first whose service, then zone, then rack has most rounds of work left under its
/// budget: these set how long the whole wave takes. Equal ones keep the order of their names.
void sortByRoundsLeft(const FleetView&, std::vector<VmMaintenance>& candidates);

} // namespace Greengage
