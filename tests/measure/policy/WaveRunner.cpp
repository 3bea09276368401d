#include "WaveRunner.h"

#include <algorithm>

namespace Greengage {

namespace {

constexpr int maxOutPerZone = 4;
constexpr int maxOutPerRack = 2;
constexpr int rebootSpreadSeconds = 30;
constexpr Milliseconds meanCheckpoint(1250);

} // namespace

WaveRunner::WaveRunner(FakeSite& site, int zones, WaveMode mode, unsigned seed)
    : site(site)
    , random(seed)
    , chooser(mode)
{
    Service service;
    service.name = ServiceId("workers");
    service.maxUnavailable = maxOut;
    service.maxUnavailablePerZone = maxOutPerZone;
    service.maxUnavailablePerRack = maxOutPerRack;
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
    this->chooser.begin(maxOut);
}

bool WaveRunner::isDone() const { return this->chooser.isDone(); }

Seconds WaveRunner::lowerBound() const
{
    const auto rounds = (static_cast<int>(this->site.workerCount()) + maxOut - 1) / maxOut;
    return std::chrono::duration_cast<Seconds>((meanReboot + meanCheckpoint) * rounds);
}

void WaveRunner::tick()
{
    this->advance();
    this->start();
}

void WaveRunner::start()
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

void WaveRunner::advance()
{
    const auto now = this->site.instant();
    std::vector<VmId> returned;
    for (auto& entry : this->chooser.ledger().vms) {
        const auto index = this->indexes.at(entry.vm);
        if (entry.phase == MaintenancePhase::Draining && this->site.taskCountOn(index) == 0) {
            entry.phase = MaintenancePhase::Rebooting;
            std::uniform_int_distribution<> spread(-rebootSpreadSeconds, rebootSpreadSeconds);
            this->rebootedAt[entry.vm] = now + meanReboot + Seconds(spread(this->random));
        } else if (entry.phase == MaintenancePhase::Rebooting && now >= this->rebootedAt.at(entry.vm)) {
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
