#include "WaveRunner.h"

#include <algorithm>

namespace Greengage {

namespace {

constexpr int maxOutOfServicePerZone = 4;
constexpr int maxOutOfServicePerRack = 2;
constexpr int rebootSpreadSeconds = 30;
constexpr Milliseconds meanCheckpointTime(1250);

} // namespace

WaveRunner::WaveRunner(FakeSite& site, int zones, WaveMode mode, unsigned seed)
    : site(site)
    , random(seed)
    , chooser(mode)
{
    Service service;
    service.name = ServiceId("workers");
    service.maxUnavailable = maxOutOfService;
    service.maxUnavailablePerZone = maxOutOfServicePerZone;
    service.maxUnavailablePerRack = maxOutOfServicePerRack;
    Pool pool;
    pool.name = PoolId("workers");
    pool.service = service.name;
    for (std::size_t index = 0; index < site.workerCount(); index++) {
        const auto& worker = site.worker(index).record;
        VmRecord record;
        record.id = VmId(worker.id.string());
        record.rack = worker.rack;
        record.zone = ZoneId("zone-" + std::to_string((index / 4) % static_cast<std::size_t>(zones)));
        this->chooser.addRecord(record);
        this->indexes[record.id] = index;
        pool.vms.push_back(record.id);
    }
    this->chooser.addPool(service, pool);
    this->chooser.begin(maxOutOfService);
}

bool WaveRunner::isDone() const { return this->chooser.isDone(); }

Seconds WaveRunner::lowerBound() const
{
    const auto rounds = (static_cast<int>(this->site.workerCount()) + maxOutOfService - 1) / maxOutOfService;
    return std::chrono::duration_cast<Seconds>((meanRebootTime + meanCheckpointTime) * rounds);
}

void WaveRunner::tick()
{
    this->advanceMaintenance();
    this->startDrains();
}

void WaveRunner::startDrains()
{
    const auto chosen = this->chooser.choose(this->site.instant());
    if (chosen.empty())
        return;
    for (const auto& vm : this->spares)
        this->site.drain(this->indexes.at(vm), false);
    this->spares.clear();
    for (const auto& vm : chosen)
        this->site.drain(this->indexes.at(vm), true);
}

void WaveRunner::advanceMaintenance()
{
    const auto now = this->site.instant();
    std::vector<VmId> returned;
    for (auto& entry : this->chooser.ledger().vms) {
        const auto index = this->indexes.at(entry.vm);
        if (entry.phase == MaintenancePhase::Draining && this->site.taskCountOn(index) == 0) {
            entry.phase = MaintenancePhase::Rebooting;
            std::uniform_int_distribution<> deviation(-rebootSpreadSeconds, rebootSpreadSeconds);
            this->rebootDoneAt[entry.vm] = now + meanRebootTime + Seconds(deviation(this->random));
        } else if (entry.phase == MaintenancePhase::Rebooting && now >= this->rebootDoneAt.at(entry.vm)) {
            returned.push_back(entry.vm);
        }
    }
    for (const auto& vm : returned) {
        this->site.reboot(this->indexes.at(vm));
        this->chooser.ledger().erase(vm);
        if (this->chooser.mode() == WaveMode::Batches)
            this->spares.push_back(vm);
        else
            this->site.drain(this->indexes.at(vm), false);
    }
}

} // namespace Greengage
