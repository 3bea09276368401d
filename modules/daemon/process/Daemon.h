#pragma once

#include <config/settings/DaemonSettings.h>
#include <core/errors/Result.h>
#include <daemon/admin/AdminApi.h>
#include <daemon/admin/WaveApi.h>
#include <daemon/allotments/AllotmentWriter.h>
#include <daemon/claims/ClaimWriter.h>
#include <daemon/configuration/DocumentKeeper.h>
#include <daemon/configuration/StoreWatcher.h>
#include <daemon/maintenance/MaintenanceDriver.h>
#include <daemon/membership/MemberTable.h>
#include <daemon/membership/Registration.h>
#include <daemon/metrics/DemandGauges.h>
#include <daemon/metrics/RequestObserver.h>
#include <daemon/peers/PeerExchange.h>
#include <daemon/peers/PeerTable.h>
#include <daemon/process/DaemonError.h>
#include <daemon/vms/VmListReader.h>
#include <fleet/requests/RequestPlane.h>
#include <gateway/admin/AdminServer.h>
#include <gateway/traffic/Gateway.h>
#include <mesh/MeshServer.h>
#include <store/store/StoreClient.h>

#include <functional>
#include <vector>

struct event_base;

namespace Greengage {

/// The entry daemon: collects inputs, runs the request plane's tick and carries out its outputs.
class Daemon {
public:
    /// `stopped` is called once, when a shutdown that was asked for is complete.
    Daemon(event_base&, const DaemonSettings&, std::function<void()> stopped);

    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    Result<void, DaemonError> start();

    /// Begins a graceful shutdown: accepted requests are finished, new ones refused.
    void shutDown();

private:
    static PeerState makeSelf(const DaemonSettings&);
    static MemberRecord makeMember(const DaemonSettings&, const PeerState& self);
    Gateway::Handlers gatewayHandlers();
    MeshServer::Handlers meshHandlers();
    PeerExchange::Handlers peerHandlers();
    StoreWatcher::Handlers watchHandlers();
    MaintenanceDriver::Handlers maintenanceHandlers();
    AdminApi::Sources adminSources();
    StatusReport makeStatus();
    void addEndpoints(StatusReport&) const;
    std::string makeMetricsPage();

    void push(RequestInput);
    void tick();
    void carryOut(const RequestOutput&);
    void takeEntry(const StoreEntry&);
    void listMembers();
    void listEndpoints();
    EndpointsListed makeListing() const;
    void choosePeers();
    void continueShutdown(Instant now);
    void finishShutdown();

    DaemonSettings settings;
    std::function<void()> stopped;
    PeerState self;
    MetricsRegistry metrics;
    RequestObserver observer { this->metrics };
    DemandGauges demandGauges;
    std::uint64_t ticks = 0;
    RequestPlane plane;
    std::vector<RequestInput> inbox;
    bool tickIsDue = false;
    std::vector<VmRecord> vms;
    MemberTable members;
    PeerTable peers;
    bool shuttingDown = false;
    bool withdrawing = false;
    /// Until then callers are still accepted and told to go elsewhere, so that the balancer can notice.
    Deadline announceUntil;
    Deadline closeConnectionsAt;
    StoreClient store;
    DocumentKeeper documents;
    Gateway gateway;
    MeshServer meshServer;
    PeerExchange peerExchange;
    StoreWatcher watcher;
    Registration registration;
    VmListReader vmReader;
    ClaimWriter claims;
    AllotmentWriter allotments;
    MaintenanceDriver maintenance;
    RolloutJudge rollout;
    AdminApi adminApi;
    WaveApi waveApi;
    AdminServer adminServer;
    Timer tickTimer;
};

} // namespace Greengage
