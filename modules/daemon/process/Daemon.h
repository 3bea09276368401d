#pragma once

#include <config/settings/DaemonSettings.h>
#include <core/errors/Result.h>
#include <daemon/admin/AdminApi.h>
#include <daemon/admin/WaveApi.h>
#include <daemon/allotments/AllotmentWriter.h>
#include <daemon/claims/ClaimWriter.h>
#include <daemon/configuration/DocumentCache.h>
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

/// The entry daemon: queues inputs, runs the ticks of the request plane and executes their outputs.
class Daemon {
public:
    /// `onStopped` is called once, when a shutdown that `shutDown` began is complete.
    Daemon(event_base&, const DaemonSettings&, std::function<void()> onStopped);

    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Listens on all ports and starts the ticks. The error says which port could not be opened.
    Result<void, DaemonError> start();

    /// Begins a graceful shutdown: accepted requests are finished, new ones refused.
    void shutDown();

private:
    static PeerState makeSelf(const DaemonSettings&);
    static MemberRecord makeMemberRecord(const DaemonSettings&, const PeerState& self);
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
    void execute(const RequestOutput&);
    void handleStoreEntry(const StoreEntry&);
    void publishMembers();
    void publishEndpoints();
    EndpointsListed makeEndpointListing() const;
    void updatePeers();
    void continueShutdown(Instant now);
    void finishShutdown();

    DaemonSettings settings;
    std::function<void()> onStopped;
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
    bool deregistering = false;
    /// Until then a daemon that shuts down still accepts callers and refuses their requests, so that the load balancer
    /// can take it out of rotation.
    Deadline shutdownNoticeUntil;
    /// When connections of callers that are still open are no longer waited for.
    Deadline closeConnectionsAt;
    StoreClient store;
    DocumentCache documents;
    Gateway gateway;
    MeshServer meshServer;
    PeerExchange peerExchange;
    StoreWatcher watcher;
    Registration registration;
    VmListReader vmReader;
    ClaimWriter claims;
    AllotmentWriter allotments;
    MaintenanceDriver maintenance;
    RolloutTracker rollout;
    AdminApi adminApi;
    WaveApi waveApi;
    AdminServer adminServer;
    Timer tickTimer;
};

} // namespace Greengage
