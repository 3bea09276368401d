#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

#include <map>
#include <vector>

namespace Greengage {

class LiveDemand;

/// Divides the slots of a service's endpoints between the live daemons by their demand. Daemons that know the same
/// demand compute the same division, so that together they use no more than an endpoint's slots. While there are more
/// slots than demand, the rest is divided evenly, so that new work can start at once everywhere.
class SlotShares {
public:
    static constexpr int slotsPerEndpoint = 8;

    SlotShares(const Tick&, const LiveDemand&);

    /// How many requests this daemon may hold at the endpoint, which stands in the service.
    int slotsAt(const VmId&, const ServiceId&);

    /// How many more requests this daemon may hold at the service's endpoints together.
    int freeAt(const ServiceId&);

    /// Slots of all daemons together, one count for each demand in the order given.
    static std::vector<int> divide(int slots, const std::vector<int>& demands);

private:
    void divideService(const ServiceId&);

    const Tick& tick;
    const LiveDemand& demand;
    std::map<ServiceId, std::map<VmId, int>> shares;
};

} // namespace Greengage
