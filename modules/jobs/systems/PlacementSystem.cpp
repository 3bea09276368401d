#include <jobs/systems/PlacementSystem.h>

#include <core/errors/WorkScope.h>
#include <jobs/systems/JobObjective.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace Greengage {

bool PlacementSystem::acceptsTasks(const WorkerRow& worker, Instant now)
{
    return PlacementSystem::mayStart(worker, true, now) && worker.quarantinedUntil.hasPassed(now);
}

bool PlacementSystem::mayStart(const WorkerRow& worker, bool isLongRunning, Instant now)
{
    return worker.isListed && worker.isOnRoster && worker.isReached && !worker.isSuspect && !worker.isLeaving()
        && worker.pausedUntil.hasPassed(now) && (isLongRunning || worker.quarantinedUntil.hasPassed(now));
}

bool PlacementSystem::hasLabel(const WorkerRow& worker, const std::string& label)
{
    const auto& labels = worker.info.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t PlacementSystem::countSiblings(const WorkerRow& worker, const TaskName& task)
{
    std::uint32_t count = 0;
    auto attempt = worker.attempts.lower_bound(TaskName { task.job, task.occurrence, task.step, 0 });
    for (; attempt != worker.attempts.end(); ++attempt, ++count) {
        const TaskName& other = attempt->first;
        if (other.job != task.job || other.occurrence != task.occurrence || other.step != task.step)
            break;
    }
    return count;
}

bool PlacementSystem::canHost(const WorkerRow& worker, const StepSpec& step)
{
    return step.occupiedPerTask().fitsIn(worker.info.capacity - worker.occupied)
        && (step.requiredLabel.empty() || hasLabel(worker, step.requiredLabel));
}

bool PlacementSystem::canTake(const WorkerRow& worker, const StepSpec& step, const TaskName& task)
{
    return canHost(worker, step) && (!step.perWorkerLimit || countSiblings(worker, task) < step.perWorkerLimit);
}

namespace {

/// The first criterion for the order in which jobs are placed; smaller values come first.
enum class Urgency {
    LongRunning,
    OnTime,
    Late,
};

} // namespace

struct PlacementSystem::Candidate {
    JobRow* job;
    PoolId pool;
    Urgency urgency;
    int priority;
    std::int64_t order;
    bool isTeamOverShare = false;
};

std::vector<StartOrder> PlacementSystem::place(Instant now, std::int64_t nowUnixMs)
{
    this->orders.clear();
    this->tickAt = now;
    this->tickUnixMs = nowUnixMs;
    auto candidates = this->collectCandidates(now);
    if (candidates.empty())
        return {};
    std::unordered_map<PoolId, Pool> pools;
    for (auto& [id, worker] : this->tables.workers) {
        if (acceptsTasks(worker, now))
            pools[worker.info.pool].workers.push_back(&worker);
        else if (mayStart(worker, true, now))
            pools[worker.info.pool].quarantined.push_back(&worker);
    }
    this->markTeamsOverShare(candidates);
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(left.urgency, left.priority, left.isTeamOverShare, left.order, left.job->record.id)
            < std::tuple(right.urgency, right.priority, right.isTeamOverShare, right.order, right.job->record.id);
    });
    for (const auto& candidate : candidates) {
        WorkScope scope(WorkKind::Job, candidate.job->record.id.string());
        auto pool = pools.find(candidate.pool);
        if (pool != pools.end())
            this->placeJob(*candidate.job, pool->second);
    }
    return std::exchange(this->orders, {});
}

std::vector<PlacementSystem::Candidate> PlacementSystem::collectCandidates(Instant now) const
{
    std::vector<Candidate> candidates;
    for (auto& [id, job] : this->tables.jobs) {
        WorkScope scope(WorkKind::Job, id.string());
        if (job.hasEnded() || this->tables.isSetAside(id, now))
            continue;
        const QueuePolicy* queue = this->tables.policyOf(job);
        if (!queue)
            continue;
        bool hasWaiting = std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto& occurrence) {
            return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                [](const StepRow& step) { return step.waitingCount() > 0; });
        });
        if (!hasWaiting)
            continue;
        Candidate candidate { &job, queue->pool, Urgency::OnTime, queue->priority, 0 };
        JobObjective objective(job, *queue);
        if (job.record.spec.steps.front().longRunning) {
            candidate.urgency = Urgency::LongRunning;
            candidate.order = job.record.receivedUnixMs;
        } else if (objective.canBeOnTime(this->tickUnixMs))
            candidate.order = objective.latestStartUnixMs();
        else {
            candidate.urgency = Urgency::Late;
            candidate.order = job.record.receivedUnixMs;
        }
        candidates.push_back(candidate);
    }
    return candidates;
}

void PlacementSystem::markTeamsOverShare(std::vector<Candidate>& candidates) const
{
    std::set<TeamId> teams;
    for (const auto& candidate : candidates)
        teams.insert(candidate.job->record.team);
    for (const auto& [team, use] : this->tables.usage) {
        if (use.cpuMillis > 0)
            teams.insert(team);
    }
    std::int64_t capacity = 0;
    for (const auto& [id, worker] : this->tables.workers)
        capacity += worker.isListed ? worker.info.capacity.cpuMillis : 0;
    double weights = 0;
    for (const auto& team : teams)
        weights += this->weightOf(team);
    for (auto& candidate : candidates) {
        const TeamId& team = candidate.job->record.team;
        auto use = this->tables.usage.find(team);
        auto used = static_cast<double>(use == this->tables.usage.end() ? 0 : use->second.cpuMillis);
        candidate.isTeamOverShare = used * weights > static_cast<double>(capacity) * this->weightOf(team);
    }
}

double PlacementSystem::weightOf(const TeamId& id) const
{
    auto team = this->tables.policies->teams.find(id);
    return team == this->tables.policies->teams.end() ? 1.0 : team->second.weight;
}

void PlacementSystem::placeJob(JobRow& job, Pool& pool)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        auto& row = job.occurrences[occurrence];
        for (std::uint32_t step = 0; step < row.steps.size(); ++step) {
            if (!row.steps[step].waitingCount() || !this->tables.isReady(job, row, step, this->tickUnixMs))
                continue;
            if (job.record.spec.steps[step].gang)
                this->placeGang(job, occurrence, step, pool.workers);
            else
                this->placeStep(job, occurrence, step, pool);
        }
    }
}

void PlacementSystem::placeStep(JobRow& job, std::uint32_t occurrence, std::uint32_t step, Pool& pool)
{
    const StepSpec& spec = job.record.spec.steps[step];
    StepRow& row = job.occurrences[occurrence].steps[step];
    if (!row.readyAt)
        row.readyAt = this->tickAt;
    auto& tasks = row.tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskPhase::Waiting || !tasks[index].nextStart.hasPassed(this->tickAt))
            continue;
        if (!this->tables.doesMaximumPermit(job, spec))
            return;
        TaskName name { job.record.id, occurrence, step, index };
        WorkerRow* worker = this->chooseFromPool(job, name, pool);
        auto canTake = [&](const WorkerRow* other) { return PlacementSystem::canTake(*other, spec, name); };
        if (!worker && spec.longRunning && std::none_of(pool.workers.begin(), pool.workers.end(), canTake))
            worker = this->chooseWorker(job, name, pool.quarantined);
        if (!worker)
            return;
        this->planAttempt(job, name, *worker, std::max(this->tables.lowestRun, tasks[index].run + 1));
        this->tables.markUnsaved(job);
    }
}

void PlacementSystem::placeGang(JobRow& job, std::uint32_t occurrence, std::uint32_t step, const Workers& workers)
{
    const StepSpec& spec = job.record.spec.steps[step];
    auto& row = job.occurrences[occurrence].steps[step];
    if (row.waitingCount() != row.tasks.size()) {
        this->stopGangMembers(row, { job.record.id, occurrence, step });
        return;
    }
    if (spec.sameRack) {
        std::map<std::string, Workers> racks;
        for (auto* worker : workers)
            racks[worker->info.rack].push_back(worker);
        bool isPlaced = std::any_of(racks.begin(), racks.end(),
            [&](const auto& rack) { return this->placeGangMembers(job, occurrence, step, rack.second); });
        if (isPlaced)
            return;
    }
    this->placeGangMembers(job, occurrence, step, workers);
}

bool PlacementSystem::placeGangMembers(
    JobRow& job, std::uint32_t occurrence, std::uint32_t step, const Workers& workers)
{
    const StepSpec& spec = job.record.spec.steps[step];
    if (!this->tables.doesMaximumPermit(job, spec))
        return false;
    auto& row = job.occurrences[occurrence].steps[step];
    std::uint32_t run = this->tables.lowestRun;
    std::string checkpoint;
    for (const auto& task : row.tasks) {
        run = std::max(run, task.run + 1);
        if (checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    std::size_t firstOrder = this->orders.size();
    for (std::uint32_t index = 0; index < row.tasks.size(); ++index) {
        TaskName name { job.record.id, occurrence, step, index };
        WorkerRow* worker = this->chooseWorker(job, name, workers);
        if (!worker) {
            // Either all members start or none does.
            for (std::size_t order = firstOrder; order < this->orders.size(); ++order)
                this->tables.releaseAttempt(this->tables.workers.at(this->orders[order].worker),
                    this->orders[order].task, ReleaseReason::NotOrdered, {});
            this->orders.resize(firstOrder);
            return false;
        }
        row.tasks[index].checkpoint = checkpoint;
        this->planAttempt(job, name, *worker, run);
    }
    this->tables.markUnsaved(job);
    return true;
}

void PlacementSystem::stopGangMembers(StepRow& row, const TaskName& step)
{
    this->tables.forEachAttempt(row, step, [this](WorkerRow& worker, Attempt& attempt) {
        if (attempt.mayHaveBeenSent())
            attempt.phase = AttemptPhase::Stopping;
        else if (attempt.phase == AttemptPhase::Planned)
            this->tables.releaseAttempt(worker, TaskName(attempt.task), ReleaseReason::NotOrdered, {});
    });
}

WorkerRow* PlacementSystem::chooseFromPool(const JobRow& job, const TaskName& task, Pool& pool) const
{
    const StepSpec& step = job.record.spec.steps[task.step];
    ResourceAmount needed = step.occupiedPerTask();
    bool isUnplaceable = std::any_of(pool.unplaceableDemands.begin(), pool.unplaceableDemands.end(),
        [&needed](const ResourceAmount& unplaceable) { return unplaceable.fitsIn(needed); });
    if (isUnplaceable)
        return nullptr;
    WorkerRow* worker = this->chooseWorker(job, task, pool.workers);
    bool isUnconstrained
        = step.requiredLabel.empty() && step.preferredRack.empty() && !step.perWorkerLimit && !this->needsTicket(job);
    if (!worker && isUnconstrained)
        pool.unplaceableDemands.push_back(needed);
    return worker;
}

bool PlacementSystem::needsTicket(const JobRow& job) const
{
    const QueuePolicy* queue = this->tables.policyOf(job);
    return queue && queue->advice.has_value();
}

WorkerRow* PlacementSystem::chooseWorker(const JobRow& job, const TaskName& task, const Workers& workers) const
{
    const StepSpec& step = job.record.spec.steps[task.step];
    const StepRow& row = job.occurrences[task.occurrence].steps[task.step];
    const WorkerId& failedOn = row.tasks[task.index].failedOn;
    bool needsTicket = this->needsTicket(job);
    WorkerRow* best = nullptr;
    std::tuple<bool, bool, bool, std::uint32_t, std::int64_t> bestRank;
    constexpr std::size_t isFarPosition = 2;
    for (WorkerRow* worker : workers) {
        if (!canHost(*worker, step))
            continue;
        if (needsTicket && !row.advice.ticketFor(worker->info.id, worker->info.incarnationUnixMs, this->tickAt))
            continue;
        std::uint32_t siblings = countSiblings(*worker, task);
        if (step.perWorkerLimit && siblings >= step.perWorkerLimit)
            continue;
        bool interferes = step.bestEffort ? worker->latencySensitiveCount > 0
                                          : step.tailTarget.count() && worker->bestEffortCount > 0;
        bool isFar = !step.preferredRack.empty() && !hasLabel(*worker, step.preferredRack);
        std::int64_t freeCpu = worker->info.capacity.cpuMillis - worker->occupied.cpuMillis;
        std::tuple rank(worker->info.id == failedOn, interferes, isFar, step.longRunning ? siblings : 0U, freeCpu);
        if (!best || rank < bestRank) {
            best = worker;
            bestRank = rank;
        }
    }
    if (best && std::get<isFarPosition>(bestRank) && this->shouldWaitForRack(job, task, workers))
        return nullptr;
    return best;
}

bool PlacementSystem::shouldWaitForRack(const JobRow& job, const TaskName& task, const Workers& workers) const
{
    const StepSpec& step = job.record.spec.steps[task.step];
    const StepRow& row = job.occurrences[task.occurrence].steps[task.step];
    const QueuePolicy* queue = this->tables.policyOf(job);
    if (!queue || !row.readyAt || this->tickAt - *row.readyAt >= maxRackWait)
        return false;
    bool isRackPresent = std::any_of(workers.begin(), workers.end(), [&step](const WorkerRow* worker) {
        return hasLabel(*worker, step.preferredRack) && step.occupiedPerTask().fitsIn(worker->info.capacity);
    });
    JobObjective objective(job, *queue);
    auto extraMs = static_cast<std::int64_t>((this->farSlowdown - 1) * static_cast<double>(step.estimate.count()));
    return isRackPresent && objective.canBeOnTime(this->tickUnixMs)
        && !objective.canBeOnTime(this->tickUnixMs + extraMs);
}

void PlacementSystem::planAttempt(JobRow& job, const TaskName& task, WorkerRow& worker, std::uint32_t run)
{
    Attempt& attempt = this->tables.beginAttempt(worker, job, task, run, AttemptPhase::Planned, this->tickAt);
    const StepRow& step = job.occurrences[task.occurrence].steps[task.step];
    attempt.checkpoint = step.tasks[task.index].checkpoint;
    if (const Ticket* ticket = step.advice.ticketFor(worker.info.id, worker.info.incarnationUnixMs, this->tickAt))
        attempt.ticket = ticket->text;
    this->orders.push_back({ worker.info.id, task, run });
}

} // namespace Greengage
