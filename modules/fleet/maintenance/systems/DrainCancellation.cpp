#include <core/checks/Assertion.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/DrainCancellation.h>
#include <fleet/maintenance/systems/WaveContext.h>

namespace Greengage {

void cancelDrain(WaveContext& context, const VmMaintenance& draining, WaveEventKind kind)
{
    const auto entry = draining;
    assertInvariant(entry.phase == MaintenancePhase::Draining, "only the drain of a draining VM can be cancelled");
    if (auto* progress = context.draft.find(entry.wave)) {
        if (entry.isRollback)
            progress->done.push_back({ entry.vm, entry.to });
        else if (kind == WaveEventKind::DrainTimedOut)
            progress->stuck.push_back(entry.vm);
        else
            progress->remaining.push_back(entry.vm);
    }
    context.draft.erase(entry.vm);
    context.report(kind, entry.vm, entry.wave);
}

} // namespace Greengage
