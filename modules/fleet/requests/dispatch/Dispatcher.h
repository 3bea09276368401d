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

/// Starts waiting requests while their team has a free unit of its limit and an endpoint has a free slot. The most
/// urgent work goes first; within a priority the team that runs least for its share.
class Dispatcher {
public:
    explicit Dispatcher(Tick&);

    void run();

private:
    /// Starts at most one request of the best line; false if nothing can be started.
    bool startNext();
    /// The request at the front of a line, after dropping those that no longer wait or come too late; null if the line
    /// is empty.
    RequestRow* frontOf(TeamQueue&) const;
    /// Whether so little time is left, though there was enough on arrival, that an answer in time is unlikely.
    bool cannotFinishInTime(const RequestRow&) const;
    /// Whether freshness and the team's limit allow the request to start now.
    bool isPermitted(const RequestRow&) const;
    /// Whether this daemon's last slot at the service is kept for the other teams.
    bool mustLeaveLastSlot(const RequestRow&);
    bool precedes(const RequestRow&, const RequestRow& other) const;
    void begin(TeamQueue&, RequestRow&, EndpointRow&);
    void send(RequestRow&, const EndpointRow&);
    /// When the attempt that is being sent counts as silent.
    Deadline answerBy(const RequestRow&) const;

    Tick& tick;
    /// Instant from which keyed work must not be started.
    Instant keyedWorkEnd;
    LiveDemand demand;
    FleetUsage usage;
    SlotShares slots;
    /// Lines whose front cannot be started in this tick.
    std::set<const TeamQueue*> blocked;
};

} // namespace Greengage
