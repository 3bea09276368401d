#pragma once

#include <fleet/peers/PeerObservation.h>

#include <vector>

namespace Greengage {

/// The membership list was read from the store: the daemons that hold a lease. Contact is needed with the zones of
/// these daemons.
struct MembersListed {
    std::vector<PeerObservation> members;
};

} // namespace Greengage
