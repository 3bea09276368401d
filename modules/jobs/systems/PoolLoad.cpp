#include <jobs/systems/PoolLoad.h>

#include <jobs/systems/PlacementSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <vector>

namespace Greengage {

namespace {

using Workers = std::vector<const WorkerRow*>;

ResourceAmount operator*(const ResourceAmount& amount, std::uint32_t count)
{
    return { amount.cpuMillis * count, amount.memoryMegabytes * count, amount.accelerators * count };
}

/// Whether no worker has free capacity for a task of the step, but one without tasks would have. Where processor time
/// or the limit of tasks per worker is what is missing, only long-running steps count, since others get it as tasks
/// end. Another worker may not have the label that a step requires, so that such steps do not count.
bool needsAnotherWorker(const StepSpec& step, const TaskName& task, const Workers& workers)
{
    ResourceAmount demand = step.occupiedPerTask();
    bool hasProcessorTime = false;
    bool fitsInEmptyWorker = false;
    for (const auto* worker : workers) {
        bool isTaker = step.longRunning ? PlacementSystem::canTake(*worker, step, task)
                                        : PlacementSystem::canHost(*worker, step);
        if (isTaker)
            return false;
        std::int64_t freeCpu = worker->info.capacity.cpuMillis - worker->occupied.cpuMillis;
        hasProcessorTime = hasProcessorTime || demand.cpuMillis <= freeCpu;
        fitsInEmptyWorker = fitsInEmptyWorker || demand.fitsIn(worker->info.capacity);
    }
    return (step.longRunning || hasProcessorTime) && fitsInEmptyWorker && step.requiredLabel.empty();
}

void addWaiting(
    PoolLoad& load, const Workers& workers, const JobTables& tables, const JobRow& job, std::int64_t nowUnixMs)
{
    for (std::uint32_t index = 0; index < job.occurrences.size(); ++index) {
        const OccurrenceRow& occurrence = job.occurrences[index];
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            std::uint32_t count = occurrence.steps[step].waitingCount();
            const StepSpec& spec = job.record.spec.steps[step];
            if (spec.perWorkerLimit && (count || occurrence.steps[step].activeCount))
                load.minimumWorkers
                    = std::max(load.minimumWorkers, (spec.taskCount + spec.perWorkerLimit - 1) / spec.perWorkerLimit);
            if (!count || !tables.isReady(job, occurrence, step, nowUnixMs))
                continue;
            load.waiting += spec.demand * count;
            load.waitingTasks += count;
            if (!needsAnotherWorker(spec, { job.record.id, index, step, 0 }, workers))
                continue;
            load.unplaceable += spec.demand * count;
            if (spec.longRunning && spec.perWorkerLimit)
                load.additionalWorkers
                    = std::max(load.additionalWorkers, (count + spec.perWorkerLimit - 1) / spec.perWorkerLimit);
        }
    }
}

} // namespace

std::map<PoolId, PoolLoad> PoolLoad::measure(const JobTables& tables, std::int64_t nowUnixMs)
{
    std::map<PoolId, PoolLoad> loads;
    std::map<PoolId, Workers> workers;
    for (const auto& [id, worker] : tables.workers) {
        if (!worker.isListed || worker.isLeaving())
            continue;
        PoolLoad& load = loads[worker.info.pool];
        load.workers += 1;
        workers[worker.info.pool].push_back(&worker);
        load.capacity += worker.info.capacity;
        load.occupied += worker.occupied;
        for (const auto& [task, attempt] : worker.attempts) {
            if (attempt.isLongRunning)
                load.longRunning += attempt.occupied;
        }
    }
    for (const auto& [id, job] : tables.jobs) {
        const QueuePolicy* queue = job.hasEnded() ? nullptr : tables.policyOf(job);
        if (queue)
            addWaiting(loads[queue->pool], workers[queue->pool], tables, job, nowUnixMs);
    }
    return loads;
}

} // namespace Greengage
