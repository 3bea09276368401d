#include <config/model/Document.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/messages/WaveCommanded.h>
#include <fleet/maintenance/plan/WavePlan.h>
#include <fleet/maintenance/systems/CommandSystem.h>
#include <fleet/maintenance/systems/DrainSystem.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/WaveContext.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/RunningReported.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace Greengage {

namespace {

const Instant planStart { Seconds(1) };

FleetView makeView(std::shared_ptr<const Document> document, const std::vector<VmRecord>& vms)
{
    FleetView view;
    view.apply(planStart, DocumentApplied { std::move(document) });
    view.apply(planStart, EndpointsListed { vms, {}, 0 });
    for (const auto& vm : vms)
        view.apply(planStart, RunningReported { vm.id, planStart, {} });
    return view;
}

/// The rounds that a group of VMs needs under a bound on how many may be out of service at once.
struct BoundedGroup {
    int count = 0;
    int bound = 1;
    int rounds() const { return (this->count + this->bound - 1) / std::max(1, this->bound); }
};

Seconds findLowerBound(const FleetView& view, const Wave& wave, const std::vector<VmId>& vms, Seconds perVm)
{
    std::map<std::string, BoundedGroup> groups;
    auto count = [&](const std::string& name, int bound) {
        groups[name].bound = bound;
        groups[name].count++;
    };
    for (const auto& vm : vms) {
        count("wave", wave.maxConcurrent);
        const auto* service = view.serviceOf(view.poolOf(vm)->name);
        const auto* record = view.record(vm);
        if (!service || !record)
            continue;
        count("service " + service->name.string(), service->maxUnavailable);
        count("zone " + service->name.string() + " " + record->zone.string(), service->maxUnavailablePerZone);
        count("rack " + service->name.string() + " " + record->rack.string(), service->maxUnavailablePerRack);
    }
    int rounds = 0;
    for (const auto& [name, group] : groups)
        rounds = std::max(rounds, group.rounds());
    return perVm * rounds;
}

/// Simulates the wave round by round on the ledger, with no other maintenance in progress.
void runWave(WavePlan& plan, const FleetView& view, MaintenanceLedger& ledger, Seconds perVm)
{
    const std::unordered_map<VmId, VmWatch> watches;
    std::vector<WaveEvent> events;
    WaveContext context { planStart, view, ledger, watches, events };
    Seconds at {};
    while (true) {
        startDrains(context);
        for (const auto& event : events) {
            if (event.kind == WaveEventKind::DrainStarted)
                plan.steps.push_back({ event.vm, at, at + perVm });
        }
        events.clear();
        if (ledger.vms.empty())
            return;
        plan.mostOut = std::max(plan.mostOut, static_cast<int>(ledger.vms.size()));
        at += perVm;
        ledger.vms.clear();
        plan.duration = at;
    }
}

} // namespace

WavePlan planWave(
    std::shared_ptr<const Document> document, const std::vector<VmRecord>& vms, const Wave& wave, Seconds perVm)
{
    const auto view = makeView(std::move(document), vms);
    MaintenanceLedger ledger;
    std::vector<WaveEvent> events;
    const std::unordered_map<VmId, VmWatch> watches;
    WaveContext context { planStart, view, ledger, watches, events };
    applyCommand(context, WaveCommanded { "plan", wave.name, WaveVerb::Start, Deadline::never() });
    WavePlan plan;
    auto* progress = ledger.find(wave.name);
    if (!progress)
        return plan;
    plan.lowerBound = findLowerBound(view, wave, progress->remaining, perVm);
    runWave(plan, view, ledger, perVm);
    plan.waiting = ledger.find(wave.name)->remaining;
    return plan;
}

} // namespace Greengage
