#include <daemon/process/Daemon.h>

#include <config/document/DocumentCodec.h>
#include <config/keys/KeyVerifier.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/text/Digest.h>
#include <core/time/BootClock.h>
#include <daemon/metrics/DaemonGauges.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <metrics/burn/BurnCodec.h>
#include <store/store/StoreEntry.h>

#include <fleet/requests/RequestOutput.h>

namespace Greengage {

namespace {

constexpr Milliseconds tickInterval { 50 };
constexpr std::size_t incarnationBytes = 8;
constexpr const char* documentKey = "config/document";
/// How long the daemon waits, once all work is finished, for the last answers to reach callers and connections to
/// close.
constexpr Milliseconds connectionCloseTimeout { 1000 };
/// How long a daemon that shuts down still accepts callers while its health page reports it as not serving.
constexpr Milliseconds shutdownNoticePeriod { 1000 };

CallerLimits toLimits(const CallerSettings& settings)
{
    CallerLimits limits;
    limits.maxConnections = settings.maxConnections;
    limits.maxHeaderBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.idleTimeout = Milliseconds(settings.idleTimeoutMilliseconds);
    return limits;
}

} // namespace

Daemon::Daemon(event_base& base, const DaemonSettings& settings, std::function<void()> onStopped)
    : settings(settings)
    , onStopped(std::move(onStopped))
    , self(makeSelf(settings))
    , plane(this->self)
    , store(base, settings.store.address, settings.store.port, settings.address)
    , documents([this](std::shared_ptr<const Document> document) {
        this->observer.documentApplied(document);
        this->maintenance.push(DocumentApplied { document });
        this->push(DocumentApplied { std::move(document) });
        this->peerExchange.exchangeNow();
    })
    , gateway(base, settings.address, toLimits(settings.callers), this->self.incarnation, this->gatewayHandlers())
    , meshServer(base, settings.address, settings.mesh.port, this->meshHandlers())
    , peerExchange(base, settings.address, this->peerHandlers())
    , watcher(base, this->store, { documentKey, MemberTable::prefix, AllotmentWriter::key, std::string(ledgerKey) },
          this->watchHandlers())
    , registration(base, this->store, makeMemberRecord(settings, this->self))
    , vmReader(base, this->store,
          { [this](const std::vector<VmRecord>& listed) {
               this->vms = listed;
               this->publishEndpoints();
           },
              [this] { this->maintenance.push(this->makeEndpointListing()); } })
    , claims(
          base, this->store, this->self.incarnation, [this](ClaimSettled settled) { this->push(std::move(settled)); })
    , allotments(base, this->store, [this](RequestInput input) { this->push(std::move(input)); })
    , maintenance(base, this->store, this->documents.known(), this->self.incarnation, this->maintenanceHandlers())
    , rollout(this->members, this->peers, this->self.incarnation)
    , adminApi(base, this->store, this->adminSources())
    , waveApi({ this->documents.known(), this->vms, this->maintenance })
    , adminServer(base,
          { [this](const std::string& key) {
               return KeyVerifier::matches(key, this->settings.admin.keySalt, this->settings.admin.keyDigest);
           },
              [this](const AdminRequest& request, AdminServer::Responder respond) {
                  if (request.path.starts_with(WaveApi::pathPrefix))
                      this->waveApi.handle(request, std::move(respond));
                  else
                      this->adminApi.handle(request, std::move(respond));
              },
              [this](CloseReason reason) { this->observer.connectionClosed("admin", reason); } })
    , tickTimer(base, [this] { this->tick(); })
{
}

PeerState Daemon::makeSelf(const DaemonSettings& settings)
{
    PeerState self;
    self.daemon = settings.name;
    self.incarnation = IncarnationId(randomHex(incarnationBytes));
    self.zone = settings.zone;
    return self;
}

MemberRecord Daemon::makeMemberRecord(const DaemonSettings& settings, const PeerState& self)
{
    return { self.daemon, self.incarnation, self.zone, settings.mesh.advertised, settings.admin.port };
}

Gateway::Handlers Daemon::gatewayHandlers()
{
    Gateway::Handlers handlers;
    handlers.onInput = [this](RequestInput input) {
        if (const auto* ended = std::get_if<AttemptEnded>(&input))
            this->observer.attemptEnded(*ended);
        if (const auto* running = std::get_if<RunningReported>(&input))
            this->maintenance.push(*running);
        this->push(std::move(input));
    };
    handlers.onAnswered = [this](const AnswerCaller& answer, const QueueId& queue, Microseconds latency) {
        this->observer.answered(answer, queue, latency);
    };
    handlers.onRefused = [this](CallerRefusal refusal) { this->observer.refused(refusal); };
    handlers.onCallerClosing = [this](CloseReason reason) { this->observer.connectionClosed("callers", reason); };
    handlers.isHealthy = [this] { return !this->shuttingDown && this->documents.known().record.has_value(); };
    handlers.metricsPage = [this] { return this->makeMetricsPage(); };
    return handlers;
}

MeshServer::Handlers Daemon::meshHandlers()
{
    MeshServer::Handlers handlers;
    handlers.describe = [this] { return this->plane.describe(BootClock::now()); };
    handlers.currentDocument = [this]() -> const DocumentRecord* {
        const auto& record = this->documents.known().record;
        return record ? &*record : nullptr;
    };
    handlers.onClosing = [this](CloseReason reason) { this->observer.connectionClosed("mesh", reason); };
    return handlers;
}

PeerExchange::Handlers Daemon::peerHandlers()
{
    PeerExchange::Handlers handlers;
    handlers.onExchangeStarting = [this] {
        Instant now = BootClock::now();
        this->maintenance.push(PeerStateReceived { this->plane.describe(now), now });
    };
    handlers.onStateReceived = [this](PeerState state, Instant askedAt) {
        this->peers.record(state, askedAt);
        this->maintenance.push(PeerStateReceived { state, askedAt });
        this->push(PeerStateReceived { std::move(state), askedAt });
    };
    handlers.appliedRevision = [this] { return this->documents.known().appliedRevision(); };
    handlers.onDocumentFetched = [this](const DocumentRecord& record) { this->documents.offer(record, "peer"); };
    return handlers;
}

StoreWatcher::Handlers Daemon::watchHandlers()
{
    StoreWatcher::Handlers handlers;
    handlers.onEntryChanged = [this](const StoreEntry& entry) { this->handleStoreEntry(entry); };
    handlers.onConfirmed = [this](Instant askedAt) {
        this->push(StoreConfirmed { askedAt, this->documents.known().newestStored });
        this->publishMembers();
    };
    handlers.onReachabilityChanged = [this] { this->updatePeers(); };
    return handlers;
}

Result<void, DaemonError> Daemon::start()
{
    auto callersListen = this->gateway.listen(this->settings.callers.port);
    if (!callersListen.has_value())
        return DaemonError { callersListen.error().detail };
    auto meshListens = this->meshServer.listen();
    if (!meshListens.has_value())
        return DaemonError { meshListens.error().detail };
    auto adminListens = this->adminServer.listen(this->settings.address, this->settings.admin.port);
    if (!adminListens.has_value())
        return DaemonError { adminListens.error().detail };
    writeLog(LogLevel::Info,
        LogLine("started")
            .add("daemon", this->self.daemon.string())
            .add("incarnation", this->self.incarnation.string())
            .add("zone", this->self.zone.string())
            .add("address", this->settings.address)
            .add("callers_port", this->settings.callers.port)
            .add("admin_port", this->settings.admin.port)
            .add("mesh_port", this->settings.mesh.port));
    this->updatePeers();
    this->watcher.start();
    this->registration.start();
    this->vmReader.start();
    this->tickTimer.schedule(Microseconds::zero());
    return success();
}

void Daemon::push(RequestInput input)
{
    this->inbox.push_back(std::move(input));
    if (!this->tickIsDue)
        this->tickTimer.schedule(Microseconds::zero());
    this->tickIsDue = true;
}

void Daemon::tick()
{
    this->tickIsDue = false;
    this->ticks += 1;
    Instant now = BootClock::now();
    std::vector<RequestInput> inputs = std::move(this->inbox);
    this->inbox.clear();
    for (const RequestOutput& output : this->plane.tick(now, std::move(inputs)))
        this->execute(output);
    this->metrics.latency("greengage_tick_seconds", "Time of one tick with its outputs.")
        .record(BootClock::now() - now);
    if (this->shuttingDown)
        this->continueShutdown(now);
    if (!this->tickIsDue)
        this->tickTimer.schedule(tickInterval);
}

void Daemon::execute(const RequestOutput& output)
{
    struct Executor {
        Daemon& daemon;
        void operator()(const SendAttempt& attempt) const { this->daemon.gateway.send(attempt); }
        void operator()(const AnswerCaller& answer) const { this->daemon.gateway.answer(answer); }
        void operator()(const WriteClaim& claim) const { this->daemon.claims.write(claim); }
        void operator()(const UpdateAllotments& update) const { this->daemon.allotments.update(update); }
        void operator()(const QueryRunning& query) const { this->daemon.gateway.queryRunning(query); }
    };
    std::visit(Executor { *this }, output);
}

void Daemon::handleStoreEntry(const StoreEntry& entry)
{
    if (entry.key.starts_with(MemberTable::prefix)) {
        if (this->members.apply(entry))
            this->updatePeers();
    } else if (entry.key == AllotmentWriter::key)
        this->allotments.handleEntry(entry);
    else if (entry.key == ledgerKey)
        this->maintenance.handleLedgerEntry(entry, this->watcher.askedAt());
    else if (entry.key == documentKey && entry.version > 0) {
        auto record = DocumentCodec::decode(entry.value);
        if (record.has_value())
            this->documents.offer(record.value(), "store");
        else
            writeLog(LogLevel::Error, LogLine("document_malformed").add("detail", record.error().message));
    }
}

void Daemon::publishMembers()
{
    MembersListed listed;
    for (const auto& [key, member] : this->members.members())
        listed.members.push_back({ member.incarnation, member.zone, {} });
    this->maintenance.push(listed);
    this->push(std::move(listed));
}

void Daemon::publishEndpoints()
{
    this->maintenance.push(this->makeEndpointListing());
    this->push(this->makeEndpointListing());
}

EndpointsListed Daemon::makeEndpointListing() const
{
    const MaintenanceLedger& ledger = this->maintenance.ledger();
    return { this->vms, ledger.outOfService(), ledger.revision };
}

/// Connects to the members listed in the store, and while the store is unreachable also to the peers in the settings.
void Daemon::updatePeers()
{
    std::vector<SocketAddress> chosen;
    for (const auto& [key, member] : this->members.members()) {
        if (member.incarnation != this->self.incarnation)
            chosen.push_back(member.mesh);
    }
    if (!this->watcher.isReachable()) {
        for (const SocketAddress& peer : this->settings.mesh.peers) {
            if (!(peer == this->settings.mesh.advertised))
                chosen.push_back(peer);
        }
    }
    this->peerExchange.setPeers(chosen);
}

MaintenanceDriver::Handlers Daemon::maintenanceHandlers()
{
    MaintenanceDriver::Handlers handlers;
    handlers.queryRunning = [this](const QueryRunning& query) { this->gateway.queryRunning(query); };
    handlers.onLedgerChanged = [this](const MaintenanceLedger&) {
        // Only the ledger changed: the maintenance plane would take a pushed listing for a newly read list of VMs.
        this->push(this->makeEndpointListing());
        this->peerExchange.exchangeNow();
    };
    handlers.onDocumentStored = [this](const DocumentRecord& record) { this->documents.offer(record, "maintenance"); };
    return handlers;
}

AdminApi::Sources Daemon::adminSources()
{
    return { this->documents.known(), this->rollout, [this] { return this->makeStatus(); },
        [this] { return this->makeMetricsPage(); },
        [this] { return encodeBurnRows(this->observer.burnRows(BootClock::now())); },
        [this](const DocumentRecord& record) { this->documents.offer(record, "operator"); } };
}

StatusReport Daemon::makeStatus()
{
    Instant now = BootClock::now();
    StatusReport report;
    report.daemon = this->self.daemon;
    report.revision = this->documents.known().appliedRevision();
    report.inForceRevision = this->rollout.inForceRevision(report.revision, now);
    report.storeReachable = this->watcher.isReachable();
    report.fresh = this->plane.servesKeyedWork(now);
    report.daemons.push_back({ this->self.daemon, this->self.zone, report.revision, 0 });
    for (const auto& [key, member] : this->members.members()) {
        const PeerRecord* peer = this->peers.find(member.incarnation);
        if (peer)
            report.daemons.push_back({ member.daemon, member.zone, peer->state.appliedRevision,
                std::chrono::duration_cast<Milliseconds>(now - peer->lastSeenAt).count() });
    }
    for (const WaveProgress& wave : this->maintenance.ledger().waves)
        report.waves.push_back({ wave.wave, std::string(nameOf(wave.state)), static_cast<int>(wave.remaining.size()),
            static_cast<int>(wave.done.size()), wave.stuck });
    this->addEndpoints(report);
    return report;
}

void Daemon::addEndpoints(StatusReport& report) const
{
    const auto& document = this->documents.known().document;
    if (!document)
        return;
    std::set<VmId> draining = this->maintenance.ledger().outOfService();
    for (const VmRecord& vm : this->vms) {
        auto holdsVm
            = [&vm](const Pool& pool) { return std::find(pool.vms.begin(), pool.vms.end(), vm.id) != pool.vms.end(); };
        auto pool = std::find_if(document->pools.begin(), document->pools.end(), holdsVm);
        if (pool == document->pools.end() || pool->service.isEmpty())
            continue;
        std::string state = draining.contains(vm.id) ? "draining" : std::string(nameOf(vm.state));
        report.endpoints.push_back({ vm.id, pool->service, state, this->plane.runningAt(vm.id) });
    }
}

std::string Daemon::makeMetricsPage()
{
    DaemonGauges gauges;
    gauges.appliedRevision = this->documents.known().appliedRevision();
    gauges.storeReachable = this->watcher.isReachable();
    gauges.callerConnectionCount = this->gateway.callerConnectionCount();
    gauges.heldCallerBytes = this->gateway.heldCallerBytes();
    gauges.meshBytesSent = this->peerExchange.bytesSent() + this->meshServer.bytesSent();
    gauges.meshBytesReceived = this->peerExchange.bytesReceived() + this->meshServer.bytesReceived();
    gauges.ticks = this->ticks;
    gauges.storeCalls = this->store.callCounts();
    gauges.publish(this->metrics);
    this->demandGauges.publish(this->metrics, this->plane.describe(BootClock::now()).demand);
    return this->metrics.exposition();
}

void Daemon::shutDown()
{
    if (this->shuttingDown)
        return;
    writeLog(LogLevel::Info, LogLine("shutdown_started").add("connections", this->gateway.callerConnectionCount()));
    this->shuttingDown = true;
    this->shutdownNoticeUntil = Deadline::after(BootClock::now(), shutdownNoticePeriod);
    this->gateway.beginClosing();
    this->push(ShutdownRequested {});
}

void Daemon::continueShutdown(Instant now)
{
    bool isIdle = this->plane.isIdle() && this->gateway.isIdle() && this->adminServer.isIdle();
    if (this->deregistering || !isIdle || !this->shutdownNoticeUntil.hasPassed(now))
        return;
    if (this->closeConnectionsAt == Deadline()) {
        writeLog(LogLevel::Info, LogLine("shutdown_drained").add("connections", this->gateway.callerConnectionCount()));
        this->gateway.closeListener();
        this->closeConnectionsAt = Deadline::after(now, connectionCloseTimeout);
    }
    bool hasCallers = this->gateway.isListening() || this->gateway.callerConnectionCount() > 0;
    if (hasCallers && !this->closeConnectionsAt.hasPassed(now))
        return;
    this->deregistering = true;
    this->registration.deregister([this] { this->finishShutdown(); });
}

void Daemon::finishShutdown()
{
    writeLog(LogLevel::Info, LogLine("stopped").add("daemon", this->self.daemon.string()));
    this->onStopped();
}

} // namespace Greengage
