#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

#include <map>
#include <vector>

namespace Greengage {

class LiveDemand;

/// Divides the slots of a service's endpoints between the live daemons by their demand. Daemons with the same demand
/// data compute the same division, so that together they use no more than an endpoint's slots. While there are more
/// slots than demand, the remaining slots are divided evenly, so that new requests can start at once at every daemon.
class SlotShares {
public:
    static constexpr int slotsPerEndpoint = 8;

    SlotShares(const Tick&, const LiveDemand&);

    /// Number of requests that this daemon may have running at an endpoint of the service.
    int slotsAt(const VmId&, const ServiceId&);

    /// Number of further requests that this daemon may start at the service's endpoints together.
    int freeAt(const ServiceId&);

    /// Divides the slots by the demands; returns one count for each demand, in the same order.
    static std::vector<int> divide(int slots, const std::vector<int>& demands);

private:
    void divideService(const ServiceId&);

    const Tick& tick;
    const LiveDemand& demand;
    std::map<ServiceId, std::map<VmId, int>> shares;
};

} // namespace Greengage
