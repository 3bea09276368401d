#pragma once

#include <fleet/peers/PeerSighting.h>

#include <vector>

namespace Greengage {

/// The membership list was read from the store: the daemons that hold a lease. Contact is needed with the zones of
/// these daemons.
struct MembersListed {
    std::vector<PeerSighting> members;
};

} // namespace Greengage
