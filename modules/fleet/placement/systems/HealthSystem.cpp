#include <fleet/placement/systems/HealthSystem.h>
#include <fleet/placement/systems/PlacementTables.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr std::size_t failuresBeforeQuarantine = 3;
constexpr Seconds firstQuarantineTime(30);
constexpr int maxBackoffDoublings = 4;
/// One worker per this many may be quarantined, and always at least one.
constexpr std::size_t workersPerQuarantine = 10;

bool mayQuarantineAnother(PlacementTables& tables)
{
    std::size_t listed = 0;
    std::size_t quarantined = 0;
    for (const auto& [id, worker] : tables.workers.all()) {
        listed += worker.isListed ? 1 : 0;
        quarantined += worker.health == WorkerHealth::Healthy ? 0 : 1;
    }
    return quarantined < std::max<std::size_t>(1, listed / workersPerQuarantine);
}

void quarantine(PlacementTables& tables, WorkerEntry& worker)
{
    worker.health = WorkerHealth::Quarantined;
    auto doublings = std::min(worker.quarantineCount, maxBackoffDoublings);
    worker.quarantinedUntil = Deadline::after(tables.now, firstQuarantineTime * (1 << doublings));
    worker.quarantineCount++;
    tables.workers.reindex(worker);
    tables.outputs.emplace_back(WorkerQuarantined { worker.record.id, worker.quarantinedUntil });
}

} // namespace

void recordWorkerFailure(PlacementTables& tables, const Attempt& attempt)
{
    auto* worker = tables.workers.find(attempt.worker);
    if (!worker || !tables.profile.setsAsideWorkers)
        return;
    worker->failedJobs.insert(attempt.job);
    const bool hasFailedProbe = worker->health == WorkerHealth::Probing;
    const bool hasFailedOften
        = worker->health == WorkerHealth::Healthy && worker->failedJobs.size() >= failuresBeforeQuarantine;
    if (hasFailedProbe || (hasFailedOften && mayQuarantineAnother(tables)))
        quarantine(tables, *worker);
}

void recordWorkerSuccess(PlacementTables& tables, const Attempt& attempt)
{
    auto* worker = tables.workers.find(attempt.worker);
    if (!worker)
        return;
    worker->failedJobs.clear();
    worker->hasSucceeded = true;
    if (worker->health == WorkerHealth::Healthy)
        return;
    worker->health = WorkerHealth::Healthy;
    worker->quarantineCount = 0;
    tables.workers.reindex(*worker);
}

void probeWorkers(PlacementTables& tables)
{
    for (auto& [id, worker] : tables.workers.all()) {
        if (worker.health != WorkerHealth::Quarantined || !worker.quarantinedUntil.hasPassed(tables.now))
            continue;
        worker.health = WorkerHealth::Probing;
        tables.workers.reindex(worker);
    }
}

} // namespace Greengage
