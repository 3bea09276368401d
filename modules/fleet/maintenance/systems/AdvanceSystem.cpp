#include <config/model/Document.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/AdvanceSystem.h>
#include <fleet/maintenance/systems/DrainCancellation.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/OutageTable.h>
#include <fleet/maintenance/systems/WaveContext.h>

#include <algorithm>

namespace Greengage {

namespace {

/// How long every daemon must have stopped using a VM before the VM's report of no work is trusted.
constexpr Seconds drainSettleTime(1);

bool isDrained(const WaveContext& context, const VmMaintenance& entry, const VmWatch& watch)
{
    const auto* observation = context.view.observation(entry.vm);
    return watch.unusedSince && observation && observation->isIdle
        && observation->askedAt >= *watch.unusedSince + drainSettleTime;
}

void advanceDraining(WaveContext& context, const VmMaintenance& entry, const VmWatch& watch)
{
    if (isDrained(context, entry, watch)) {
        auto next = entry.to.isEmpty() ? MaintenancePhase::Rebooting : MaintenancePhase::Moving;
        context.draft.find(entry.vm)->phase = next;
        context.report(WaveEventKind::Drained, entry.vm, entry.wave);
    } else if (!context.view.wave(entry.wave) && !entry.isRollback) {
        cancelDrain(context, entry, WaveEventKind::DrainCancelled);
    } else if (watch.drainDeadline.hasPassed(context.now)) {
        cancelDrain(context, entry, WaveEventKind::DrainTimedOut);
    }
}

void rejoin(WaveContext& context, const VmMaintenance& entry)
{
    auto* changed = context.draft.find(entry.vm);
    changed->phase = MaintenancePhase::Joining;
    changed->documentRevision = context.view.document()->revision;
    context.report(WaveEventKind::Rejoining, entry.vm, entry.wave);
}

void finish(WaveContext& context, const VmMaintenance& entry)
{
    const auto* pool = context.view.poolOf(entry.vm);
    const bool wasMoved = !entry.to.isEmpty() && pool->name == entry.to;
    if (auto* progress = context.draft.find(entry.wave)) {
        if (entry.isRollback)
            progress->remaining.push_back(entry.vm);
        else
            progress->done.push_back({ entry.vm, wasMoved ? entry.from : PoolId() });
    }
    context.draft.erase(entry.vm);
    context.report(WaveEventKind::Finished, entry.vm, entry.wave);
}

void advanceJoining(WaveContext& context, const VmMaintenance& entry, const VmWatch& watch)
{
    const auto* observation = context.view.observation(entry.vm);
    const bool hasAnswered = observation && observation->askedAt >= watch.since;
    if (hasAnswered && context.view.isServing(context.now, entry.vm)
        && context.view.isAppliedEverywhere(context.now, entry.documentRevision))
        finish(context, entry);
}

void advanceVm(WaveContext& context, const VmMaintenance& entry, const VmWatch& watch)
{
    const auto* pool = context.view.poolOf(entry.vm);
    if (!pool && entry.phase != MaintenancePhase::Rebooting) {
        context.draft.erase(entry.vm);
        context.report(WaveEventKind::Dropped, entry.vm, entry.wave);
        return;
    }
    switch (entry.phase) {
    case MaintenancePhase::Draining:
        advanceDraining(context, entry, watch);
        break;
    case MaintenancePhase::Rebooting:
        if (watch.rebootDone)
            rejoin(context, entry);
        break;
    case MaintenancePhase::Moving:
        if (pool->name != entry.from || !context.view.pool(entry.to))
            rejoin(context, entry);
        break;
    case MaintenancePhase::Joining:
        advanceJoining(context, entry, watch);
        break;
    }
}

bool hasEntries(const MaintenanceLedger& ledger, const WaveId& wave)
{
    return std::any_of(
        ledger.vms.begin(), ledger.vms.end(), [&](const VmMaintenance& entry) { return entry.wave == wave; });
}

bool hasMovedVms(const WaveProgress& progress)
{
    return std::any_of(
        progress.done.begin(), progress.done.end(), [](const MovedVm& moved) { return !moved.from.isEmpty(); });
}

} // namespace

void advanceVms(WaveContext& context)
{
    const auto entries = context.draft.vms;
    for (const auto& entry : entries) {
        auto found = context.watches.find(entry.vm);
        if (found != context.watches.end() && found->second.revision == entry.revision)
            advanceVm(context, entry, found->second);
    }
}

void cancelDrainsOverBudget(WaveContext& context)
{
    OutageTable outages(context.now, context.view, context.draft);
    const auto entries = context.draft.vms;
    for (const auto& entry : entries) {
        if (entry.phase != MaintenancePhase::Draining || !context.view.isServing(context.now, entry.vm))
            continue;
        if (!outages.isOverBudget(entry))
            continue;
        cancelDrain(context, entry, WaveEventKind::DrainCancelled);
        outages.remove(entry);
    }
}

void completeWaves(WaveContext& context)
{
    for (auto& progress : context.draft.waves) {
        if (hasEntries(context.draft, progress.wave))
            continue;
        if (progress.state == WaveState::Running && progress.remaining.empty())
            progress.state = progress.stuck.empty() ? WaveState::Done : WaveState::Stuck;
        if (progress.state == WaveState::RollingBack && !hasMovedVms(progress))
            progress.state = WaveState::RolledBack;
    }
}

} // namespace Greengage
