#include <config/model/Document.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/DrainOrder.h>
#include <fleet/maintenance/systems/DrainSystem.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/OutageTable.h>
#include <fleet/maintenance/systems/WaveContext.h>

#include <algorithm>
#include <unordered_set>

namespace Greengage {

namespace {

/// Drops VMs that the document no longer lists, and those that were already moved by other means.
void dropObsoleteVms(WaveContext& context, WaveProgress& progress, const Wave* wave)
{
    std::erase_if(progress.remaining, [&](const VmId& vm) {
        const auto* pool = context.view.poolOf(vm);
        if (pool && !(wave && wave->action == WaveAction::Move && pool->name == wave->target))
            return false;
        context.report(WaveEventKind::Dropped, vm, progress.wave);
        return true;
    });
    if (progress.state != WaveState::RollingBack)
        return;
    std::erase_if(progress.done, [&](const MovedVm& moved) {
        const auto* pool = context.view.poolOf(moved.vm);
        return !pool || !context.view.pool(moved.from) || pool->name == moved.from;
    });
}

VmMaintenance makeEntry(const WaveContext& context, const WaveProgress& progress, const VmId& vm, const PoolId& to)
{
    const auto* record = context.view.record(vm);
    VmMaintenance entry;
    entry.vm = vm;
    entry.wave = progress.wave;
    entry.zone = record->zone;
    entry.rack = record->rack;
    entry.from = context.view.poolOf(vm)->name;
    entry.to = to;
    entry.revision = context.draft.revision;
    entry.isRollback = progress.state == WaveState::RollingBack;
    return entry;
}

/// The VMs of the wave that are ready to be taken out of service, before budgets are checked.
std::vector<VmMaintenance> findCandidates(const WaveContext& context, const WaveProgress& progress, const Wave* wave)
{
    std::vector<VmMaintenance> candidates;
    auto consider = [&](const VmId& vm, const PoolId& to) {
        if (!context.draft.find(vm) && context.view.isServing(context.now, vm))
            candidates.push_back(makeEntry(context, progress, vm, to));
    };
    if (progress.state == WaveState::Running && wave) {
        for (const auto& vm : progress.remaining)
            consider(vm, wave->action == WaveAction::Move ? wave->target : PoolId());
    }
    if (progress.state == WaveState::RollingBack) {
        for (const auto& moved : progress.done) {
            if (!moved.from.isEmpty())
                consider(moved.vm, moved.from);
        }
    }
    return candidates;
}

int countVmsOfWave(const MaintenanceLedger& ledger, const WaveId& wave)
{
    auto isOfWave = [&](const VmMaintenance& entry) { return entry.wave == wave; };
    return static_cast<int>(std::count_if(ledger.vms.begin(), ledger.vms.end(), isOfWave));
}

void startDrainsOf(WaveContext& context, WaveProgress& progress, OutageTable& outages)
{
    const auto* wave = context.view.wave(progress.wave);
    auto candidates = findCandidates(context, progress, wave);
    sortByRoundsLeft(context.view, candidates);
    int outOfServiceCount = countVmsOfWave(context.draft, progress.wave);
    const int maxOutOfService = wave ? wave->maxConcurrent : 1;
    std::unordered_set<VmId> taken;
    for (const auto& entry : candidates) {
        if (outOfServiceCount >= maxOutOfService)
            break;
        if (!outages.allows(entry))
            continue;
        outages.add(entry);
        context.draft.vms.push_back(entry);
        context.report(WaveEventKind::DrainStarted, entry.vm, entry.wave);
        taken.insert(entry.vm);
        outOfServiceCount++;
    }
    std::erase_if(progress.remaining, [&](const VmId& vm) { return taken.count(vm) != 0; });
    std::erase_if(progress.done, [&](const MovedVm& moved) { return taken.count(moved.vm) != 0; });
}

} // namespace

void startDrains(WaveContext& context)
{
    OutageTable outages(context.now, context.view, context.draft);
    for (auto& progress : context.draft.waves) {
        if (progress.state != WaveState::Running && progress.state != WaveState::RollingBack)
            continue;
        dropObsoleteVms(context, progress, context.view.wave(progress.wave));
        startDrainsOf(context, progress, outages);
    }
}

} // namespace Greengage
