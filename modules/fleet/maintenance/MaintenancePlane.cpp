#include <config/model/Document.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/AdvanceSystem.h>
#include <fleet/maintenance/systems/CommandSystem.h>
#include <fleet/maintenance/systems/DrainSystem.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/LedgerReplica.h>
#include <fleet/maintenance/systems/PendingCommand.h>
#include <fleet/maintenance/systems/VmWatch.h>
#include <fleet/maintenance/systems/WaveContext.h>

#include <algorithm>
#include <set>
#include <unordered_map>

namespace Greengage {

namespace {

constexpr Seconds stepRetryInterval(1);
constexpr Seconds pollInterval(1);
constexpr Milliseconds decideInterval(500);

bool isActive(const WaveProgress& progress)
{
    return progress.state == WaveState::Running || progress.state == WaveState::RollingBack;
}

} // namespace

class MaintenancePlane::Implementation {
public:
    explicit Implementation(IncarnationId self)
        : self(std::move(self))
    {
    }

    std::vector<MaintenanceOutput> tick(Instant now, std::vector<MaintenanceInput> inputs)
    {
        this->now = now;
        this->outputs.clear();
        for (const auto& input : inputs)
            std::visit([this](const auto& message) { this->apply(message); }, input);
        this->view.refresh(now);
        this->refreshWatches();
        this->settleCommands();
        if (this->replica.beginReadIfNeeded(now, this->ledgerNeededSince()))
            this->outputs.emplace_back(ReadLedger {});
        this->decide();
        this->requestPlatformActions();
        this->pollVms();
        return std::move(this->outputs);
    }

    const MaintenanceLedger& ledger() const { return this->replica.ledger(); }

private:
    void apply(const LedgerRead& read)
    {
        auto events = this->replica.apply(this->now, read);
        if (!events) {
            this->outputs.emplace_back(LedgerUnreadable { events.error().detail });
            return;
        }
        for (const auto& event : events.value())
            this->outputs.emplace_back(event);
        if (this->replica.mayLastWriteTakeEffect())
            return;
        for (auto& pending : this->commands)
            pending.mayHaveTakenEffect = false;
    }

    void apply(const LedgerReadFailed&) { this->replica.recordReadFailure(this->now); }
    void apply(const LedgerWriteFailed&) { this->replica.recordWriteFailure(); }
    void apply(const WaveCommanded& command) { this->commands.push_back({ command }); }

    void apply(const RebootReported& reported)
    {
        auto found = this->watches.find(reported.vm);
        if (found == this->watches.end() || found->second.revision != reported.operation)
            return;
        if (found->second.phase == MaintenancePhase::Rebooting && reported.done)
            found->second.rebootDone = true;
    }

    template <typename Message> void apply(const Message& message) { this->view.apply(this->now, message); }

    /// Keeps one watch for each VM out of service and resets it when the VM enters another phase.
    void refreshWatches()
    {
        std::unordered_map<VmId, VmWatch> kept;
        for (const auto& entry : this->ledger().vms) {
            auto& watch = kept[entry.vm];
            auto found = this->watches.find(entry.vm);
            if (found != this->watches.end())
                watch = found->second;
            if (watch.revision != entry.revision || watch.phase != entry.phase)
                watch = this->makeWatch(entry);
            if (!this->view.isUnusedByEveryDaemon(this->now, entry))
                watch.unusedSince.reset();
            else if (!watch.unusedSince)
                watch.unusedSince = this->now;
        }
        this->watches = std::move(kept);
    }

    VmWatch makeWatch(const VmMaintenance& entry) const
    {
        VmWatch watch;
        watch.revision = entry.revision;
        watch.phase = entry.phase;
        watch.since = this->now;
        if (const auto* wave = this->view.wave(entry.wave))
            watch.drainDeadline = Deadline::after(this->now, Seconds(wave->drainTimeoutSeconds));
        return watch;
    }

    /// A move is requested only from a ledger that was read after the document on which the move is based.
    Instant ledgerNeededSince() const
    {
        for (const auto& entry : this->ledger().vms) {
            if (entry.phase == MaintenancePhase::Moving)
                return this->view.documentAppliedAt();
        }
        return Instant::min();
    }

    bool mayDecide() const
    {
        const auto* document = this->view.document();
        return document && this->replica.isReady() && document->revision >= this->ledger().documentRevision;
    }

    bool isDriving() const { return this->mayDecide() && this->view.isFirstMember(this->now, this->self); }

    void settleCommands()
    {
        std::erase_if(this->commands, [this](const PendingCommand& pending) {
            const auto* progress = this->ledger().find(pending.command.wave);
            if (progress && progress->lastCommand == pending.command.command)
                return this->settle(pending, CommandOutcome::Accepted);
            if (!pending.command.deadline.hasPassed(this->now))
                return false;
            return this->settle(
                pending, pending.mayHaveTakenEffect ? CommandOutcome::Unknown : CommandOutcome::NotAccepted);
        });
    }

    bool settle(const PendingCommand& pending, CommandOutcome outcome)
    {
        this->outputs.emplace_back(CommandSettled { pending.command.command, outcome });
        return true;
    }

    /// Runs the systems on a copy of the ledger and writes the copy if they changed it.
    void decide()
    {
        const bool isDue = this->now >= this->nextDecisionAt || !this->commands.empty();
        if (!isDue || !this->mayDecide())
            return;
        auto draft = this->ledger();
        std::vector<WaveEvent> events;
        // Entries created in this tick carry the revision that the write will have.
        draft.revision++;
        WaveContext context { this->now, this->view, draft, this->watches, events };
        this->applyFirstCommand(context);
        if (this->isDriving() && this->now >= this->nextDecisionAt) {
            this->nextDecisionAt = this->now + decideInterval;
            cancelDrainsOverBudget(context);
            advanceVms(context);
            startDrains(context);
            completeWaves(context);
        }
        draft.revision--;
        if (draft == this->ledger())
            return;
        draft.revision++;
        draft.documentRevision = this->view.document()->revision;
        auto value = draft.encode();
        auto version = this->replica.beginWrite(value, std::move(events));
        this->outputs.emplace_back(UpdateLedger { version, std::move(value) });
    }

    /// Applies one command per write, so that each command sees the effect of the one before it.
    void applyFirstCommand(WaveContext& context)
    {
        while (!this->commands.empty()) {
            auto& pending = this->commands.front();
            auto outcome = applyCommand(context, pending.command);
            if (outcome == CommandOutcome::Accepted) {
                pending.mayHaveTakenEffect = true;
                return;
            }
            this->settle(pending, outcome);
            this->commands.erase(this->commands.begin());
        }
    }

    void requestPlatformActions()
    {
        if (!this->mayDecide())
            return;
        for (const auto& entry : this->ledger().vms) {
            auto& watch = this->watches[entry.vm];
            if (this->now < watch.nextRequestAt)
                continue;
            if (entry.phase == MaintenancePhase::Rebooting)
                this->outputs.emplace_back(RebootVm { entry.vm, entry.revision });
            else if (entry.phase == MaintenancePhase::Moving)
                this->requestMove(entry);
            else
                continue;
            watch.nextRequestAt = this->now + stepRetryInterval;
        }
    }

    void requestMove(const VmMaintenance& entry)
    {
        const auto* pool = this->view.poolOf(entry.vm);
        if (!pool || pool->name != entry.from || this->replica.confirmedAt() <= this->view.documentAppliedAt())
            return;
        this->outputs.emplace_back(MoveVm { entry.vm, entry.from, entry.to, this->view.document()->revision });
    }

    /// Asks the VMs of the pools under maintenance, and those of the same services, which work they run.
    void pollVms()
    {
        if (this->now < this->nextPollAt || !this->isDriving())
            return;
        this->nextPollAt = this->now + pollInterval;
        const auto affected = this->affectedPools();
        std::set<ServiceId> services;
        for (const auto* pool : affected) {
            if (!pool->service.isEmpty())
                services.insert(pool->service);
        }
        for (const auto& pool : this->view.document()->pools) {
            if (affected.count(&pool) == 0 && services.count(pool.service) == 0)
                continue;
            for (const auto& vm : pool.vms) {
                if (const auto* record = this->view.record(vm))
                    this->outputs.emplace_back(AskRunning { vm, record->address, record->port });
            }
        }
    }

    std::set<const Pool*> affectedPools() const
    {
        std::set<const Pool*> pools;
        auto addPool = [&](const Pool* pool) {
            if (pool)
                pools.insert(pool);
        };
        for (const auto& entry : this->ledger().vms) {
            addPool(this->view.poolOf(entry.vm));
            addPool(this->view.pool(entry.to));
        }
        for (const auto& progress : this->ledger().waves) {
            if (!isActive(progress))
                continue;
            for (const auto& vm : progress.remaining)
                addPool(this->view.poolOf(vm));
            for (const auto& moved : progress.done)
                addPool(this->view.poolOf(moved.vm));
            if (const auto* wave = this->view.wave(progress.wave))
                addPool(this->view.pool(wave->target));
        }
        return pools;
    }

    IncarnationId self;
    Instant now = Instant::min();
    FleetView view;
    LedgerReplica replica;
    std::unordered_map<VmId, VmWatch> watches;
    std::vector<PendingCommand> commands;
    Instant nextPollAt = Instant::min();
    Instant nextDecisionAt = Instant::min();
    std::vector<MaintenanceOutput> outputs;
};

MaintenancePlane::MaintenancePlane(IncarnationId self)
    : implementation(std::make_unique<Implementation>(std::move(self)))
{
}

MaintenancePlane::~MaintenancePlane() = default;

std::vector<MaintenanceOutput> MaintenancePlane::tick(Instant now, std::vector<MaintenanceInput> inputs)
{
    return this->implementation->tick(now, std::move(inputs));
}

const MaintenanceLedger& MaintenancePlane::ledger() const { return this->implementation->ledger(); }

} // namespace Greengage
