#include <fleet/requests/RequestPlane.h>

#include <fleet/requests/admission/Admission.h>
#include <fleet/requests/attempts/AttemptTracker.h>
#include <fleet/requests/claims/ClaimManager.h>
#include <fleet/requests/dispatch/Dispatcher.h>
#include <fleet/requests/dispatch/EndpointTable.h>
#include <fleet/requests/dispatch/RequestExpiry.h>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/ExpiredAllotments.h>
#include <fleet/requests/limits/LimitEscrow.h>
#include <fleet/requests/tables/RequestTables.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

class RequestPlane::Implementation {
public:
    Implementation(PeerState self, const RequestPolicy& policy)
    {
        this->tables.self = std::move(self);
        this->tables.policy = policy;
    }

    std::vector<RequestOutput> tick(Instant now, const std::vector<RequestInput>& inputs)
    {
        std::vector<RequestOutput> outbox;
        Tick tick { this->tables, now, outbox };
        LimitEscrow(tick).checkContact();
        for (const auto& input : inputs)
            std::visit([&](const auto& message) { handle(tick, message); }, input);
        RequestExpiry(tick).run();
        AttemptTracker(tick).settleUnknown();
        if (this->tables.hasWaitingRequests())
            Dispatcher(tick).run();
        LimitEscrow(tick).run();
        return outbox;
    }

    RequestTables tables;

private:
    static void handle(Tick& tick, const RequestArrived& message) { Admission(tick).admit(message); }
    static void handle(Tick& tick, const CallerLeft& message) { RequestExpiry(tick).handle(message); }
    static void handle(Tick& tick, const EndpointsListed& message) { EndpointTable(tick).handle(message); }
    static void handle(Tick& tick, const AttemptEnded& message) { AttemptTracker(tick).handle(message); }

    static void handle(Tick& tick, const RunningReported& message)
    {
        AttemptTracker(tick).handle(message);
        ExpiredAllotments(tick).handle(message);
    }

    static void handle(Tick& tick, const ShutdownRequested&) { tick.tables.shuttingDown = true; }

    static void handle(Tick& tick, const DocumentApplied& message)
    {
        auto& tables = tick.tables;
        if (tables.document && message.document->revision <= tables.document->revision)
            return;
        tables.apply(message.document);
        EndpointTable(tick).assignServices();
        Admission(tick).recheckWaiting();
    }

    static void handle(Tick& tick, const StoreConfirmed& message) { FreshnessFence(tick).handle(message); }
    static void handle(Tick& tick, const ClaimSettled& message) { ClaimManager(tick).handle(message); }
    static void handle(Tick& tick, const AllotmentsRead& message) { LimitEscrow(tick).handle(message); }
    static void handle(Tick& tick, const AllotmentsWriteFailed& message) { LimitEscrow(tick).handle(message); }
    static void handle(Tick& tick, const PeerHeard& message) { FreshnessFence(tick).handle(message); }

    static void handle(Tick& tick, const MembersListed& message)
    {
        FreshnessFence(tick).handle(message);
        LimitEscrow(tick).handle(message);
    }
};

RequestPlane::RequestPlane(PeerState self, const RequestPolicy& policy)
    : implementation(std::make_unique<Implementation>(std::move(self), policy))
{
}

RequestPlane::~RequestPlane() = default;

std::vector<RequestOutput> RequestPlane::tick(Instant now, std::vector<RequestInput> inputs)
{
    return this->implementation->tick(now, inputs);
}

PeerState RequestPlane::describe(Instant now) const
{
    auto& tables = this->implementation->tables;
    std::vector<RequestOutput> outbox;
    Tick tick { tables, now, outbox };
    PeerState state = tables.self;
    FreshnessFence(tick).describe(state);
    state.shuttingDown = tables.shuttingDown;
    state.appliedLedgerRevision = tables.ledgerRevision;
    for (const auto& [id, endpoint] : tables.endpoints) {
        if (endpoint.draining && endpoint.running > 0)
            state.busyDrainingVms.push_back(id);
    }
    for (const auto& [key, teamQueue] : tables.teamQueues) {
        if (teamQueue.running > 0 || teamQueue.waiting > 0)
            state.demand.push_back(TeamDemand { key.queue, key.team, teamQueue.running, teamQueue.waiting });
    }
    return state;
}

bool RequestPlane::servesKeyedWork(Instant now) const
{
    std::vector<RequestOutput> outbox;
    Tick tick { this->implementation->tables, now, outbox };
    return FreshnessFence(tick).allowsKeyedWork();
}

int RequestPlane::runningAt(const VmId& endpoint) const
{
    const auto& endpoints = this->implementation->tables.endpoints;
    auto found = endpoints.find(endpoint);
    return found == endpoints.end() ? 0 : found->second.running;
}

bool RequestPlane::isIdle() const { return this->implementation->tables.idle; }

} // namespace Greengage
