#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/sharing/DaemonDemand.h>
#include <fleet/requests/tables/Tick.h>

#include <vector>

namespace Greengage {

struct PeerRow;

/// The demand of this daemon and of the peers that have spoken of late, in the order of incarnations.
class LiveDemand {
public:
    explicit LiveDemand(Tick&);

    std::vector<const PeerRow*> livePeers() const;
    std::vector<DaemonDemand> ofTeam(const TeamId&) const;
    std::vector<DaemonDemand> ofService(const ServiceId&) const;

private:
    template <typename Wanted> std::vector<DaemonDemand> collect(const Wanted&) const;

    Tick& tick;
};

} // namespace Greengage
