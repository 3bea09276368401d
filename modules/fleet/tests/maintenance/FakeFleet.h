#pragma once

#include "FakeDaemon.h"
#include "FakeDelivery.h"
#include "FakeVm.h"
#include "FakeWrite.h"
#include "Schedule.h"

#include <config/model/Document.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Greengage {

/// Fakes of the platform, the store and the daemons on a virtual clock, with failures drawn from a seed. Records each
/// violated invariant as text.
class FakeFleet {
public:
    explicit FakeFleet(const Schedule&);

    void submitCommand(WaveVerb);
    /// Runs for the given virtual time.
    void run(Seconds);
    /// Stops injecting failures and ends those in progress.
    void stopFailures();

    WaveState state() const;
    const MaintenanceLedger& stored() const { return this->ledger; }
    const Document& document() const { return *this->newestDocument; }
    const std::vector<std::string>& foundViolations() const { return this->violations; }
    int rebootCount(const VmId& vm) const { return this->vms.at(vm).reboots; }
    bool isDone() const { return this->state() == WaveState::Done; }
    std::map<WaveEventKind, int> eventCounts;
    std::vector<CommandSettled> settled;

    /// Keeps work running on a VM for the given time.
    void occupy(const VmId&, Seconds);
    void failVm(const VmId&, Seconds);
    void cutZone(const ZoneId&, Seconds);
    void stopStore(Seconds span) { this->storeOutUntil = this->now + span; }
    void killDaemon(std::size_t);
    const std::map<VmId, FakeVm>& platformVms() const { return this->vms; }
    Seconds elapsed() const { return std::chrono::duration_cast<Seconds>(this->now - Instant()); }

private:
    void buildDocument();
    void step();
    void injectFailures();
    void tickPlatform();
    void tickStore();
    void tickDaemon(std::size_t);
    void sendWork(FakeDaemon&);
    void exchangePeerStates(std::size_t);
    void carryOut(std::size_t, const MaintenanceOutput&);
    void carryOut(std::size_t, const ReadLedger&);
    void carryOut(std::size_t, const UpdateLedger&);
    void carryOut(std::size_t, const RebootVm&);
    void carryOut(std::size_t, const MoveVm&);
    void carryOut(std::size_t, const AskRunning&);
    void carryOut(std::size_t, const CommandSettled& settled) { this->settled.push_back(settled); }
    void carryOut(std::size_t, const WaveEvent& event) { this->eventCounts[event.kind]++; }
    void carryOut(std::size_t, const LedgerUnreadable&) { this->violations.emplace_back("ledger unreadable"); }
    void deliver(std::size_t daemon, Milliseconds delay, MaintenanceInput);
    bool isCut(const ZoneId&, const ZoneId&) const;
    bool isCutFromPlatform(const ZoneId& zone) const { return this->isCut(zone, ZoneId("platform")); }
    bool isStoreUp() const { return this->now >= this->storeOutUntil; }
    bool chance(double probability);
    int pick(int low, int high);
    void applyWrite(const FakeWrite&);
    void checkWrite(const MaintenanceLedger& before, const MaintenanceLedger& after);
    void checkDocument();
    const Pool* poolOf(const VmId&) const;
    void reportViolation(const std::string& what);

    Schedule schedule;
    std::mt19937 random;
    bool failuresStopped = false;
    Instant now { Seconds(1) };
    Instant storeOutUntil = Instant::min();
    std::map<ZoneId, Instant> cutUntil;
    std::map<VmId, FakeVm> vms;
    std::vector<std::vector<VmRecord>> listHistory;
    std::vector<FakeDaemon> daemons;
    std::vector<FakeDelivery> deliveries;
    std::vector<FakeWrite> writes;
    MaintenanceLedger ledger;
    std::string ledgerValue;
    std::uint64_t ledgerVersion = 0;
    std::shared_ptr<const Document> newestDocument;
    int commandCount = 0;
    std::vector<std::string> violations;
};

} // namespace Greengage
