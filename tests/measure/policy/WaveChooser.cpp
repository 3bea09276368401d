#include "WaveChooser.h"

#include <fleet/maintenance/systems/DrainSystem.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/OutageTable.h>
#include <fleet/maintenance/systems/WaveContext.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/RunningReported.h>

namespace Greengage {

namespace {

void drainInDocumentOrder(const FleetView& view, MaintenanceLedger& ledger, std::size_t maxConcurrent, Instant now)
{
    OutageTable outages(now, view, ledger);
    auto& progress = ledger.waves[0];
    std::erase_if(progress.remaining, [&](const VmId& vm) {
        const auto* record = view.record(vm);
        VmMaintenance entry;
        entry.vm = vm;
        entry.wave = progress.wave;
        entry.zone = record->zone;
        entry.rack = record->rack;
        entry.from = view.poolOf(vm)->name;
        if (ledger.vms.size() >= maxConcurrent || !outages.allows(entry))
            return false;
        outages.add(entry);
        ledger.vms.push_back(entry);
        return true;
    });
}

} // namespace

WaveChooser::WaveChooser(WaveMode mode)
    : waveMode(mode)
    , document(std::make_shared<Document>())
{
    this->document->revision = 1;
}

void WaveChooser::addPool(const Service& service, const Pool& pool)
{
    this->document->services.push_back(service);
    this->document->pools.push_back(pool);
}

void WaveChooser::begin(int maxConcurrent)
{
    Wave wave;
    wave.name = WaveId("wave");
    wave.maxConcurrent = maxConcurrent;
    WaveProgress progress;
    progress.wave = wave.name;
    for (const auto& pool : this->document->pools) {
        wave.pools.push_back(pool.name);
        progress.remaining.insert(progress.remaining.end(), pool.vms.begin(), pool.vms.end());
    }
    this->document->waves.push_back(wave);
    this->waveLedger.waves.push_back(progress);
}

std::vector<VmId> WaveChooser::choose(Instant now)
{
    const auto maxConcurrent = static_cast<std::size_t>(this->document->waves[0].maxConcurrent);
    const bool isBetweenBatches = this->waveMode == WaveMode::Batches && !this->waveLedger.vms.empty();
    if (this->waveLedger.waves[0].remaining.empty() || isBetweenBatches)
        return {};
    const auto outBefore = this->waveLedger.outOfService();
    FleetView view;
    view.apply(now, DocumentApplied { this->document });
    view.apply(now, EndpointsListed { this->records, {}, 0 });
    for (const auto& record : this->records)
        view.apply(now, RunningReported { record.id, now, {} });
    const std::unordered_map<VmId, VmPhaseState> phaseStates;
    std::vector<WaveEvent> events;
    WaveContext context { now, view, this->waveLedger, phaseStates, events };
    if (this->waveMode == WaveMode::Ordered)
        startDrains(context);
    else
        drainInDocumentOrder(view, this->waveLedger, maxConcurrent, now);
    std::vector<VmId> chosen;
    for (const auto& entry : this->waveLedger.vms) {
        if (outBefore.count(entry.vm) == 0)
            chosen.push_back(entry.vm);
    }
    return chosen;
}

} // namespace Greengage
