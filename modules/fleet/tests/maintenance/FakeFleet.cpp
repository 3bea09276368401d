#include "FakeFleet.h"

#include <algorithm>

namespace Greengage {

namespace {

constexpr Milliseconds stepDuration(100);
constexpr std::size_t zoneCount = 3;
constexpr int listLagSteps = 20;
/// A daemon that has confirmed neither the document nor the ledger for this long sends no work.
constexpr Seconds freshnessBound(5);
constexpr Seconds memberLease(10);

ZoneId zoneName(std::size_t index) { return ZoneId("zone-" + std::to_string(index)); }

} // namespace

FakeFleet::FakeFleet(const Schedule& schedule)
    : schedule(schedule)
    , random(schedule.seed)
{
    this->buildDocument();
    for (std::size_t index = 0; index < zoneCount; index++) {
        FakeDaemon daemon;
        daemon.name = "daemon-" + std::to_string(index);
        daemon.zone = zoneName(index);
        daemon.plane = std::make_unique<MaintenancePlane>(daemon.id());
        this->daemons.push_back(std::move(daemon));
    }
}

void FakeFleet::buildDocument()
{
    Document document;
    document.revision = 1;
    for (const char* name : { "pricing", "stock" }) {
        Service service;
        service.name = ServiceId(name);
        service.maxUnavailable = 3;
        service.maxUnavailablePerRack = 1;
        service.maxUnavailablePerZone = 2;
        document.services.push_back(service);
        Pool pool;
        pool.name = PoolId(name);
        pool.service = service.name;
        for (std::size_t index = 0; index < 9; index++) {
            FakeVm vm;
            vm.record.id = VmId(std::string(name) + "-" + std::to_string(index));
            vm.record.zone = zoneName(index % zoneCount);
            vm.record.rack = RackId("rack-" + std::to_string(index % 6));
            pool.vms.push_back(vm.record.id);
            this->vms[vm.record.id] = vm;
        }
        document.pools.push_back(pool);
    }
    Pool spare;
    spare.name = PoolId("spare");
    document.pools.push_back(spare);
    Wave wave;
    wave.name = WaveId("weekly");
    wave.pools = { PoolId("pricing") };
    wave.maxConcurrent = 4;
    wave.drainTimeoutSeconds = this->schedule.drainTimeoutSeconds;
    wave.action = this->schedule.action;
    if (wave.action == WaveAction::Move)
        wave.target = PoolId("stock");
    else
        wave.pools.emplace_back("stock");
    document.waves.push_back(wave);
    this->newestDocument = std::make_shared<Document>(document);
}

bool FakeFleet::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

int FakeFleet::pick(int low, int high) { return std::uniform_int_distribution<>(low, high)(this->random); }

void FakeFleet::submitCommand(WaveVerb verb)
{
    auto id = "command-" + std::to_string(++this->commandCount);
    auto daemon = static_cast<std::size_t>(this->pick(0, static_cast<int>(zoneCount) - 1));
    this->deliver(
        daemon, Milliseconds(0), WaveCommanded { id, WaveId("weekly"), verb, Deadline::after(this->now, Seconds(60)) });
}

void FakeFleet::run(Seconds span)
{
    for (Instant end = this->now + span; this->now < end;)
        this->step();
}

void FakeFleet::stopFailures()
{
    this->failuresStopped = true;
    this->cutUntil.clear();
    this->storeOutUntil = Instant::min();
    for (auto& [id, vm] : this->vms)
        vm.failedUntil = std::min(vm.failedUntil, this->now);
    for (auto& daemon : this->daemons)
        daemon.frozenUntil = Instant::min();
}

WaveState FakeFleet::state() const
{
    const auto* progress = this->ledger.find(WaveId("weekly"));
    return progress ? progress->state : WaveState::RolledBack;
}

void FakeFleet::occupy(const VmId& vm, Seconds span) { this->vms.at(vm).work.push_back(this->now + span); }

void FakeFleet::failVm(const VmId& vm, Seconds span) { this->vms.at(vm).failedUntil = this->now + span; }

void FakeFleet::cutZone(const ZoneId& zone, Seconds span) { this->cutUntil[zone] = this->now + span; }

void FakeFleet::killDaemon(std::size_t index)
{
    auto& daemon = this->daemons[index];
    daemon.incarnation++;
    daemon.plane = std::make_unique<MaintenancePlane>(daemon.id());
    daemon.inbox.clear();
    daemon.document.reset();
    daemon.ledgerRevision = 0;
    daemon.draining.clear();
    daemon.storeConfirmedAt = Instant::min();
}

bool FakeFleet::isCut(const ZoneId& from, const ZoneId& to) const
{
    auto isCutOff = [&](const ZoneId& zone) {
        auto found = this->cutUntil.find(zone);
        return found != this->cutUntil.end() && this->now < found->second;
    };
    return from != to && (isCutOff(from) || isCutOff(to));
}

void FakeFleet::step()
{
    this->now += stepDuration;
    this->injectFailures();
    this->tickPlatform();
    this->tickStore();
    auto due = std::partition(this->deliveries.begin(), this->deliveries.end(),
        [&](const FakeDelivery& delivery) { return delivery.at > this->now; });
    std::vector<FakeDelivery> arrived(due, this->deliveries.end());
    this->deliveries.erase(due, this->deliveries.end());
    for (auto& delivery : arrived) {
        auto& daemon = this->daemons[delivery.daemon];
        if (daemon.incarnation == delivery.incarnation)
            daemon.inbox.push_back(std::move(delivery.input));
    }
    for (std::size_t index = 0; index < this->daemons.size(); index++)
        this->tickDaemon(index);
}

void FakeFleet::injectFailures()
{
    if (this->failuresStopped || !this->schedule.hasFailures)
        return;
    if (this->chance(0.004)) {
        auto vm = std::next(this->vms.begin(), this->pick(0, static_cast<int>(this->vms.size()) - 1));
        this->failVm(vm->first, Seconds(this->pick(5, 60)));
    }
    if (this->chance(0.001))
        this->cutZone(zoneName(static_cast<std::size_t>(this->pick(0, 2))), Seconds(this->pick(3, 40)));
    if (this->chance(0.001))
        this->stopStore(Seconds(this->pick(1, 30)));
    if (this->chance(0.002))
        this->daemons[static_cast<std::size_t>(this->pick(0, 2))].frozenUntil = this->now + Seconds(this->pick(1, 60));
    if (this->chance(0.002))
        this->killDaemon(static_cast<std::size_t>(this->pick(0, 2)));
}

void FakeFleet::tickPlatform()
{
    std::vector<VmRecord> list;
    for (auto& [id, vm] : this->vms) {
        vm.isUp = this->now >= vm.failedUntil;
        if (!vm.isUp)
            vm.work.clear();
        std::erase_if(vm.work, [&](Instant end) { return end <= this->now; });
        if (!vm.isDown(this->now))
            vm.downSince = Instant::max();
        else
            vm.downSince = std::min(vm.downSince, this->now);
        list.push_back(vm.record);
    }
    this->listHistory.push_back(list);
}

void FakeFleet::tickStore()
{
    auto due = std::partition(
        this->writes.begin(), this->writes.end(), [&](const FakeWrite& write) { return write.at > this->now; });
    std::vector<FakeWrite> arrived(due, this->writes.end());
    this->writes.erase(due, this->writes.end());
    for (const auto& write : arrived)
        this->applyWrite(write);
}

void FakeFleet::applyWrite(const FakeWrite& write)
{
    auto answer = [&](MaintenanceInput input) {
        if (!write.answerIsLost && this->daemons[write.daemon].incarnation == write.incarnation)
            this->deliver(write.daemon, Milliseconds(this->pick(0, 200)), std::move(input));
    };
    if (!this->isStoreUp() || write.update.expectedVersion != this->ledgerVersion) {
        answer(LedgerWriteFailed {});
        return;
    }
    auto after = MaintenanceLedger::decode(write.update.value).value();
    this->checkWrite(this->ledger, after);
    this->ledger = after;
    this->ledgerValue = write.update.value;
    this->ledgerVersion++;
    answer(LedgerRead { write.sentAt, this->ledgerVersion, this->ledgerValue });
}

void FakeFleet::deliver(std::size_t daemon, Milliseconds delay, MaintenanceInput input)
{
    this->deliveries.push_back({ this->now + delay, daemon, this->daemons[daemon].incarnation, std::move(input) });
}

void FakeFleet::tickDaemon(std::size_t index)
{
    auto& daemon = this->daemons[index];
    if (this->now < daemon.frozenUntil)
        return;
    const bool reachesStore = this->isStoreUp() && !this->isCutFromPlatform(daemon.zone);
    if (reachesStore && this->chance(0.5)) {
        daemon.leaseUntil = this->now + memberLease;
        if (this->chance(0.3)) {
            daemon.storeConfirmedAt = this->now;
            daemon.document = this->newestDocument;
            daemon.inbox.emplace_back(DocumentApplied { daemon.document });
            daemon.inbox.emplace_back(LedgerRead { this->now, this->ledgerVersion, this->ledgerValue });
        }
        MembersListed members;
        for (const auto& other : this->daemons) {
            if (this->now < other.leaseUntil)
                members.members.push_back({ other.id(), other.zone, {} });
        }
        daemon.inbox.emplace_back(members);
        auto lag = static_cast<std::size_t>(this->pick(1, listLagSteps));
        if (this->listHistory.size() > lag)
            daemon.inbox.emplace_back(EndpointsListed { this->listHistory[this->listHistory.size() - lag], {}, 0 });
    }
    this->exchangePeerStates(index);
    auto outputs = daemon.plane->tick(this->now, std::move(daemon.inbox));
    daemon.inbox.clear();
    daemon.ledgerRevision = daemon.plane->ledger().revision;
    daemon.draining = daemon.plane->ledger().outOfService();
    for (const auto& output : outputs)
        this->carryOut(index, output);
    this->sendWork(daemon);
}

void FakeFleet::sendWork(FakeDaemon& daemon)
{
    if (!daemon.document || this->now - freshnessBound > daemon.storeConfirmedAt)
        return;
    for (const auto& pool : daemon.document->pools) {
        for (const auto& id : pool.vms) {
            auto& vm = this->vms.at(id);
            if (daemon.draining.count(id) != 0 || this->isCut(daemon.zone, vm.record.zone) || !this->chance(0.05))
                continue;
            if (this->poolOf(id)->name != pool.name)
                this->reportViolation(
                    "work of " + pool.name.string() + " sent to " + id.string() + ", which is no longer in the pool");
            if (!vm.isDown(this->now) && vm.work.size() < 8)
                vm.work.push_back(this->now + Milliseconds(this->pick(100, 6000)));
        }
    }
}

void FakeFleet::exchangePeerStates(std::size_t index)
{
    auto& daemon = this->daemons[index];
    PeerState state;
    state.incarnation = daemon.id();
    state.zone = daemon.zone;
    state.appliedLedgerRevision = daemon.ledgerRevision;
    state.appliedRevision = daemon.document ? daemon.document->revision : 0;
    for (std::size_t other = 0; other < this->daemons.size(); other++) {
        if (other == index || (!this->isCut(daemon.zone, this->daemons[other].zone) && this->chance(0.5)))
            this->deliver(other, Milliseconds(other == index ? 0 : this->pick(0, 300)), PeerHeard { state, this->now });
    }
}

void FakeFleet::carryOut(std::size_t index, const MaintenanceOutput& output)
{
    std::visit([&](const auto& message) { this->carryOut(index, message); }, output);
}

void FakeFleet::carryOut(std::size_t index, const ReadLedger&)
{
    if (this->isStoreUp() && !this->isCutFromPlatform(this->daemons[index].zone))
        this->deliver(
            index, Milliseconds(this->pick(0, 300)), LedgerRead { this->now, this->ledgerVersion, this->ledgerValue });
    else
        this->deliver(index, Milliseconds(1000), LedgerReadFailed {});
}

void FakeFleet::carryOut(std::size_t index, const UpdateLedger& update)
{
    if (!this->isStoreUp() || this->isCutFromPlatform(this->daemons[index].zone)) {
        this->deliver(index, Milliseconds(500), LedgerWriteFailed {});
        return;
    }
    const bool isLost = this->schedule.losesAnswers && !this->failuresStopped && this->chance(0.1);
    auto delay = Milliseconds(isLost ? this->pick(0, 3000) : this->pick(0, 200));
    this->writes.push_back({ this->now + delay, this->now, index, this->daemons[index].incarnation, update, isLost });
    if (isLost)
        this->deliver(index, Milliseconds(this->pick(100, 3000)), LedgerWriteFailed {});
}

void FakeFleet::carryOut(std::size_t index, const RebootVm& reboot)
{
    if (this->isCutFromPlatform(this->daemons[index].zone))
        return;
    auto& vm = this->vms.at(reboot.vm);
    if (reboot.operation > vm.operation) {
        vm.operation = reboot.operation;
        vm.reboots++;
        if (!vm.work.empty())
            this->reportViolation("reboot of " + reboot.vm.string() + " interrupts running work");
        const auto* entry = this->ledger.find(reboot.vm);
        if (!entry || entry->phase != MaintenancePhase::Rebooting)
            this->reportViolation("reboot of " + reboot.vm.string() + " is not in the ledger");
        vm.rebootingUntil = this->now + Seconds(this->pick(3, 15));
    }
    if (this->chance(0.9))
        this->deliver(index, Milliseconds(this->pick(0, 300)),
            RebootReported { reboot.vm, vm.operation, this->now >= vm.rebootingUntil });
}

void FakeFleet::carryOut(std::size_t index, const MoveVm& move)
{
    if (!this->isStoreUp() || this->isCutFromPlatform(this->daemons[index].zone))
        return;
    if (move.baseRevision != this->newestDocument->revision)
        return;
    auto changed = std::make_shared<Document>(*this->newestDocument);
    changed->revision++;
    for (auto& pool : changed->pools) {
        if (pool.name == move.from)
            std::erase(pool.vms, move.vm);
        if (pool.name == move.to)
            pool.vms.push_back(move.vm);
    }
    if (!this->vms.at(move.vm).work.empty())
        this->reportViolation("move of " + move.vm.string() + " while work runs on it");
    const auto* entry = this->ledger.find(move.vm);
    if (!entry || entry->phase != MaintenancePhase::Moving)
        this->reportViolation("move of " + move.vm.string() + " is not in the ledger");
    this->newestDocument = changed;
    this->checkDocument();
}

void FakeFleet::carryOut(std::size_t index, const AskRunning& ask)
{
    const auto& vm = this->vms.at(ask.endpoint);
    if (this->isCut(this->daemons[index].zone, vm.record.zone) || vm.isDown(this->now))
        return;
    RunningReported report { ask.endpoint, this->now, std::vector<RunningWork>(vm.work.size()) };
    this->deliver(index, Milliseconds(this->pick(0, 1500)), report);
}

} // namespace Greengage
