#include <fleet/requests/RequestPlane.h>

#include <fleet/requests/admission/Admission.h>
#include <fleet/requests/attempts/Attempts.h>
#include <fleet/requests/claims/Claims.h>
#include <fleet/requests/dispatch/Dispatch.h>
#include <fleet/requests/dispatch/EndpointTable.h>
#include <fleet/requests/dispatch/Expiry.h>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/DeadAllotments.h>
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
            std::visit([&](const auto& message) { take(tick, message); }, input);
        Expiry(tick).run();
        Attempts(tick).settleUnknown();
        if (this->tables.isAnyWaiting())
            Dispatch(tick).run();
        LimitEscrow(tick).run();
        return outbox;
    }

    RequestTables tables;

private:
    static void take(Tick& tick, const RequestArrived& message) { Admission(tick).admit(message); }
    static void take(Tick& tick, const CallerLeft& message) { Expiry(tick).take(message); }
    static void take(Tick& tick, const EndpointsListed& message) { EndpointTable(tick).take(message); }
    static void take(Tick& tick, const AttemptEnded& message) { Attempts(tick).take(message); }

    static void take(Tick& tick, const RunningReported& message)
    {
        Attempts(tick).take(message);
        DeadAllotments(tick).take(message);
    }

    static void take(Tick& tick, const ShutdownRequested&) { tick.tables.shuttingDown = true; }

    static void take(Tick& tick, const DocumentApplied& message)
    {
        auto& tables = tick.tables;
        if (tables.document && message.document->revision <= tables.document->revision)
            return;
        tables.apply(message.document);
        EndpointTable(tick).assignServices();
        Admission(tick).recheckWaiting();
    }

    static void take(Tick& tick, const StoreConfirmed& message) { FreshnessFence(tick).take(message); }
    static void take(Tick& tick, const ClaimSettled& message) { Claims(tick).take(message); }
    static void take(Tick& tick, const AllotmentsRead& message) { LimitEscrow(tick).take(message); }
    static void take(Tick& tick, const AllotmentsWriteFailed& message) { LimitEscrow(tick).take(message); }
    static void take(Tick& tick, const PeerHeard& message) { FreshnessFence(tick).take(message); }

    static void take(Tick& tick, const MembersListed& message)
    {
        FreshnessFence(tick).take(message);
        LimitEscrow(tick).take(message);
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
    for (const auto& [key, line] : tables.lines) {
        if (line.running > 0 || line.waiting > 0)
            state.demand.push_back(TeamDemand { key.queue, key.team, line.running, line.waiting });
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
