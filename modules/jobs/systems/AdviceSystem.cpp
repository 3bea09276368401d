#include <jobs/systems/AdviceSystem.h>

#include <jobs/systems/JobObjective.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <utility>

namespace Greengage {

std::optional<AdviceRequest> AdviceSystem::nextRequest(Instant now, std::int64_t nowUnixMs)
{
    std::optional<AdviceRequest> best;
    std::pair<bool, std::int64_t> bestRank;
    for (auto& [id, job] : this->tables.jobs) {
        const QueuePolicy* queue = job.hasEnded() ? nullptr : this->tables.policyOf(job);
        if (!queue || !queue->advice)
            continue;
        JobObjective objective(job, *queue);
        std::pair rank(!objective.canBeOnTime(nowUnixMs), objective.latestStartUnixMs());
        if (best && bestRank <= rank)
            continue;
        if (auto request = this->requestFor(job, *queue, now, nowUnixMs)) {
            best = std::move(request);
            bestRank = rank;
        }
    }
    if (best)
        this->findStep(best->step)->advice.isRequestPending = true;
    return best;
}

std::optional<AdviceRequest> AdviceSystem::requestFor(
    JobRow& job, const QueuePolicy& queue, Instant now, std::int64_t nowUnixMs)
{
    TaskName name { job.record.id };
    for (; name.occurrence < job.occurrences.size(); ++name.occurrence) {
        const auto& occurrence = job.occurrences[name.occurrence];
        for (name.step = 0; name.step < occurrence.steps.size(); ++name.step) {
            const StepRow& step = occurrence.steps[name.step];
            bool needsRequest = step.waitingCount() > 0 && !step.advice.isRequestPending
                && step.advice.nextRequest.hasPassed(now)
                && this->tables.isReady(job, occurrence, name.step, nowUnixMs);
            if (!needsRequest)
                continue;
            AdviceRequest request { name, this->selectWorkers(job, queue, name, step, now) };
            if (request.workers.empty())
                continue;
            request.expectedDuration = queue.advice->decisionTime
                + queue.advice->timePerWorker * static_cast<std::int64_t>(request.workers.size());
            return request;
        }
    }
    return std::nullopt;
}

std::vector<WorkerId> AdviceSystem::selectWorkers(
    const JobRow& job, const QueuePolicy& queue, const TaskName& name, const StepRow& step, Instant now) const
{
    const StepSpec& spec = job.record.spec.steps[name.step];
    std::vector<std::pair<std::int64_t, WorkerId>> found;
    for (const auto& [id, worker] : this->tables.workers) {
        bool isKnown = step.advice.unfit.contains(id) || step.advice.ticketFor(id, worker.info.incarnationUnixMs, now);
        if (isKnown || worker.info.pool != queue.pool || !PlacementSystem::acceptsTasks(worker, now)
            || !PlacementSystem::canHost(worker, spec))
            continue;
        found.emplace_back(worker.occupied.cpuMillis - worker.info.capacity.cpuMillis, id);
    }
    std::sort(found.begin(), found.end());
    std::vector<WorkerId> workers;
    for (std::size_t index = 0; index < std::min(found.size(), maxWorkersPerRequest); ++index)
        workers.push_back(found[index].second);
    return workers;
}

StepRow* AdviceSystem::findStep(const TaskName& name)
{
    auto job = this->tables.jobs.find(name.job);
    if (job == this->tables.jobs.end() || name.occurrence >= job->second.occurrences.size())
        return nullptr;
    auto& steps = job->second.occurrences[name.occurrence].steps;
    return name.step < steps.size() ? &steps[name.step] : nullptr;
}

void AdviceSystem::handleAnswer(const AdviceRequest& request, const AdviceAnswer& answer, Instant now)
{
    StepRow* step = this->findStep(request.step);
    if (!step)
        return;
    step->advice.isRequestPending = false;
    Deadline validUntil = Deadline::after(now, std::max(Milliseconds(0), answer.validFor - ticketMargin));
    for (const auto& id : request.workers) {
        const WorkerRow* worker = this->tables.findWorker(id);
        auto ticket = answer.tickets.find(id);
        if (ticket == answer.tickets.end())
            step->advice.unfit.insert(id);
        else if (worker)
            step->advice.tickets[id] = { ticket->second, worker->info.incarnationUnixMs, validUntil };
    }
}

void AdviceSystem::handleFailure(const AdviceRequest& request, Instant now)
{
    StepRow* step = this->findStep(request.step);
    if (!step)
        return;
    step->advice.isRequestPending = false;
    step->advice.nextRequest = Deadline::after(now, retryDelay);
}

} // namespace Greengage
