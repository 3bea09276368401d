#include <fleet/placement/systems/HealthSystem.h>
#include <fleet/placement/systems/PlacementTables.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr std::size_t failuresBeforeSetAside = 3;
constexpr Seconds firstTimeAside(30);
constexpr int maxBackoffDoublings = 4;
/// One worker in so many may be set aside, and always at least one.
constexpr std::size_t workersPerOneSetAside = 10;

bool isBudgetLeft(PlacementTables& tables)
{
    std::size_t listed = 0;
    std::size_t aside = 0;
    for (const auto& [id, worker] : tables.workers.all()) {
        listed += worker.isListed ? 1 : 0;
        aside += worker.health == WorkerHealth::Healthy ? 0 : 1;
    }
    return aside < std::max<std::size_t>(1, listed / workersPerOneSetAside);
}

void setAside(PlacementTables& tables, WorkerEntry& worker)
{
    worker.health = WorkerHealth::SetAside;
    auto doublings = std::min(worker.timesSetAside, maxBackoffDoublings);
    worker.setAsideUntil = Deadline::after(tables.now, firstTimeAside * (1 << doublings));
    worker.timesSetAside++;
    tables.workers.reindex(worker);
    tables.outputs.emplace_back(WorkerSetAside { worker.record.id, worker.setAsideUntil });
}

} // namespace

void noteWorkerFailure(PlacementTables& tables, const Attempt& attempt)
{
    auto* worker = tables.workers.find(attempt.worker);
    if (!worker || !tables.profile.setsAsideWorkers)
        return;
    worker->failedJobs.insert(attempt.job);
    const bool hasFailedProbe = worker->health == WorkerHealth::Probing;
    const bool hasFailedOften
        = worker->health == WorkerHealth::Healthy && worker->failedJobs.size() >= failuresBeforeSetAside;
    if (hasFailedProbe || (hasFailedOften && isBudgetLeft(tables)))
        setAside(tables, *worker);
}

void noteWorkerSuccess(PlacementTables& tables, const Attempt& attempt)
{
    auto* worker = tables.workers.find(attempt.worker);
    if (!worker)
        return;
    worker->failedJobs.clear();
    worker->hasDoneWell = true;
    if (worker->health == WorkerHealth::Healthy)
        return;
    worker->health = WorkerHealth::Healthy;
    worker->timesSetAside = 0;
    tables.workers.reindex(*worker);
}

void probeWorkers(PlacementTables& tables)
{
    for (auto& [id, worker] : tables.workers.all()) {
        if (worker.health != WorkerHealth::SetAside || !worker.setAsideUntil.hasPassed(tables.now))
            continue;
        worker.health = WorkerHealth::Probing;
        tables.workers.reindex(worker);
    }
}

} // namespace Greengage
