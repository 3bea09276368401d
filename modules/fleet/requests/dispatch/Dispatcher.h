#pragma once

#include <core/time/Deadline.h>
#include <fleet/requests/sharing/FleetUsage.h>
#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/sharing/SlotShares.h>
#include <fleet/requests/tables/Tick.h>

#include <set>

namespace Greengage {

struct EndpointRow;
struct RequestRow;
struct TeamQueue;

/// Starts waiting requests while their team has a free unit of its limit and an endpoint has a free slot. Requests of
/// the most urgent priority start first; within a priority, those of the team with the fewest running requests relative
/// to its share.
class Dispatcher {
public:
    explicit Dispatcher(Tick&);

    void run();

private:
    /// Starts at most one request, the first by the serving order; false if none can be started.
    bool startNext();
    /// The first waiting request of a team queue, after removing those that no longer wait or cannot finish in time;
    /// null if none is left.
    RequestRow* frontOf(TeamQueue&) const;
    /// Whether too little time is left for an answer to be likely, although there was enough on arrival.
    bool cannotFinishInTime(const RequestRow&) const;
    /// Whether freshness and the team's limit allow the request to start now.
    bool isPermitted(const RequestRow&) const;
    /// Whether this daemon's last free slot at the service is reserved for the other teams.
    bool mustLeaveLastSlot(const RequestRow&);
    bool precedes(const RequestRow&, const RequestRow& other) const;
    void begin(TeamQueue&, RequestRow&, EndpointRow&);
    void send(RequestRow&, const EndpointRow&);
    /// When the attempt that is being sent times out.
    Deadline answerBy(const RequestRow&) const;

    Tick& tick;
    /// Instant from which keyed requests must not be started.
    Instant keyedWorkEnd;
    LiveDemand demand;
    FleetUsage usage;
    SlotShares slots;
    /// Team queues whose first request cannot be started in this tick.
    std::set<const TeamQueue*> blocked;
};

} // namespace Greengage
