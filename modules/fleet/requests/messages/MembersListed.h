#pragma once

#include <fleet/peers/PeerSighting.h>

#include <vector>

namespace Greengage {

/// The membership in the store has been read: the daemons that hold a lease. Their zones are those that must be heard.
struct MembersListed {
    std::vector<PeerSighting> members;
};

} // namespace Greengage
