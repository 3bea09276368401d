#include <config/model/Document.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/messages/WaveCommanded.h>
#include <fleet/maintenance/systems/CommandSystem.h>
#include <fleet/maintenance/systems/DrainCancellation.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/WaveContext.h>

namespace Greengage {

namespace {

std::vector<VmId> snapshotVms(const WaveContext& context, const Wave& wave)
{
    std::vector<VmId> vms;
    for (const auto& name : wave.pools) {
        const auto* pool = context.view.pool(name);
        if (!pool || name == wave.target)
            continue;
        for (const auto& vm : pool->vms) {
            const auto* entry = context.draft.find(vm);
            if (!entry || entry->wave != wave.name)
                vms.push_back(vm);
        }
    }
    return vms;
}

CommandOutcome start(WaveContext& context, const Wave& wave, WaveProgress* progress)
{
    if (!progress) {
        context.draft.waves.emplace_back();
        progress = &context.draft.waves.back();
        progress->wave = wave.name;
    } else if (progress->state == WaveState::Running) {
        return CommandOutcome::Accepted;
    } else if (progress->state != WaveState::Done && progress->state != WaveState::RolledBack) {
        return CommandOutcome::WrongState;
    }
    progress->state = WaveState::Running;
    progress->remaining = snapshotVms(context, wave);
    progress->done.clear();
    progress->stuck.clear();
    return CommandOutcome::Accepted;
}

CommandOutcome pause(WaveProgress& progress)
{
    if (progress.state != WaveState::Running && progress.state != WaveState::Paused)
        return CommandOutcome::WrongState;
    progress.state = WaveState::Paused;
    return CommandOutcome::Accepted;
}

CommandOutcome resume(WaveProgress& progress)
{
    if (progress.state == WaveState::Running)
        return CommandOutcome::Accepted;
    if (progress.state != WaveState::Paused && progress.state != WaveState::Stuck)
        return CommandOutcome::WrongState;
    progress.state = WaveState::Running;
    progress.remaining.insert(progress.remaining.end(), progress.stuck.begin(), progress.stuck.end());
    progress.stuck.clear();
    return CommandOutcome::Accepted;
}

CommandOutcome rollBack(WaveContext& context, WaveProgress& progress)
{
    if (progress.state == WaveState::RollingBack || progress.state == WaveState::RolledBack)
        return CommandOutcome::Accepted;
    progress.state = WaveState::RollingBack;
    const auto entries = context.draft.vms;
    for (const auto& entry : entries) {
        if (entry.wave == progress.wave && entry.phase == MaintenancePhase::Draining)
            cancelDrain(context, entry, WaveEventKind::DrainCancelled);
    }
    return CommandOutcome::Accepted;
}

CommandOutcome applyVerb(WaveContext& context, const WaveCommanded& command, const Wave* wave)
{
    auto* progress = context.draft.find(command.wave);
    if (!wave && !progress)
        return CommandOutcome::UnknownWave;
    if (command.verb == WaveVerb::Start)
        return wave ? start(context, *wave, progress) : CommandOutcome::UnknownWave;
    if (!progress)
        return CommandOutcome::WrongState;
    switch (command.verb) {
    case WaveVerb::Pause:
        return pause(*progress);
    case WaveVerb::Resume:
        return resume(*progress);
    default:
        return rollBack(context, *progress);
    }
}

} // namespace

CommandOutcome applyCommand(WaveContext& context, const WaveCommanded& command)
{
    auto outcome = applyVerb(context, command, context.view.wave(command.wave));
    if (outcome == CommandOutcome::Accepted)
        context.draft.find(command.wave)->lastCommand = command.command;
    return outcome;
}

} // namespace Greengage
