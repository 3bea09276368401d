#include "FakeSite.h"

#include <algorithm>

namespace Greengage {

namespace {

constexpr Milliseconds stepDuration(100);
constexpr Seconds reportInterval(1);
constexpr int maxReportLagMilliseconds = 600;
constexpr int minCheckpointMilliseconds = 500;
constexpr int maxCheckpointMilliseconds = 2000;
constexpr std::size_t workersPerRack = 4;

} // namespace

FakeSite::FakeSite(PlacementProfile profile, unsigned seed, int workerCount, Resources capacity)
    : plane(profile)
    , random(seed)
{
    for (int index = 0; index < workerCount; index++) {
        FakeWorker worker;
        worker.record.id = WorkerId("worker-" + std::to_string(1000 + index));
        worker.record.rack = RackId("rack-" + std::to_string(static_cast<std::size_t>(index) / workersPerRack));
        worker.record.capacity = capacity;
        worker.record.boot = 1;
        this->workerIndex[worker.record.id] = this->workers.size();
        this->workers.push_back(worker);
    }
    this->listWorkers();
}

void FakeSite::listWorkers()
{
    WorkersListed listed;
    for (const auto& worker : this->workers)
        listed.workers.push_back(worker.record);
    this->inbox.emplace_back(listed);
}

void FakeSite::setTeams(std::vector<Team> teams)
{
    auto document = std::make_shared<Document>();
    document->revision = ++this->revision;
    document->teams = std::move(teams);
    for (const auto& team : document->teams)
        this->limits[team.name] = team.limit;
    this->inbox.emplace_back(DocumentApplied { document });
}

FakeJob& FakeSite::submit(const Job& job, const Resources& actual, Seconds runTime)
{
    auto& fake = this->jobs[job.id];
    fake.job = job;
    fake.actual = actual;
    fake.remaining = runTime;
    fake.submittedAt = this->now;
    this->openJobs.insert(&fake);
    this->inbox.emplace_back(JobSubmitted { job });
    return fake;
}

void FakeSite::cancel(const std::vector<JobId>& ids) { this->inbox.emplace_back(JobsCancelled { ids }); }

void FakeSite::run(Milliseconds span)
{
    for (Instant end = this->now + span; this->now < end;)
        this->step();
}

void FakeSite::drain(std::size_t index, bool isDraining)
{
    this->workers[index].record.isDraining = isDraining;
    this->listWorkers();
}

void FakeSite::reboot(std::size_t index)
{
    auto& worker = this->workers[index];
    worker.record.boot++;
    std::erase_if(this->tasks, [&](const FakeTask& task) { return task.worker == index; });
    this->listWorkers();
}

void FakeSite::step()
{
    this->now += stepDuration;
    for (auto& task : this->tasks)
        this->advance(task);
    std::erase_if(this->tasks, [](const FakeTask& task) { return task.attempt == 0; });
    while (!this->reports.empty() && this->reports.begin()->first <= this->now) {
        this->inbox.emplace_back(this->reports.begin()->second);
        this->reports.erase(this->reports.begin());
    }
    auto outputs = this->plane.tick(this->now, std::move(this->inbox));
    this->inbox.clear();
    for (const auto& output : outputs)
        std::visit([this](const auto& message) { this->carryOut(message); }, output);
    if (++this->stepCount % this->checkInterval == 0)
        this->check();
}

void FakeSite::report(std::uint64_t attempt, AttemptStatus status, const Resources& peak)
{
    auto lag = std::uniform_int_distribution<>(50, maxReportLagMilliseconds)(this->random);
    AttemptReported report { attempt, status, peak, this->now };
    if (status != AttemptStatus::Running)
        this->finalReports[attempt] = report;
    this->reports.emplace(this->now + Milliseconds(lag), report);
}

void FakeSite::advance(FakeTask& task)
{
    auto& job = *task.job;
    if (this->isCut(task.worker))
        return;
    if (task.checkpointedAt <= this->now && task.endsAt > this->now) {
        job.remaining = task.endsAt - this->now;
        job.hasUnsavedWork = false;
        this->checkpointCount++;
        this->endTask(task, AttemptStatus::Checkpointed);
    } else if (task.endsAt <= this->now) {
        this->endTask(task, AttemptStatus::Completed);
    } else if (task.reportedAt + reportInterval <= this->now) {
        task.reportedAt = this->now;
        this->report(task.attempt, AttemptStatus::Running, job.actual);
    }
}

void FakeSite::endTask(FakeTask& task, AttemptStatus status)
{
    this->report(task.attempt, status, task.job->actual);
    task.attempt = 0;
}

void FakeSite::carryOut(const StartTask& start)
{
    this->startCount++;
    const auto index = this->indexOf(start.worker);
    if (this->isCut(index))
        return;
    auto& job = this->jobs.at(start.job);
    const auto& worker = this->workers[index];
    if (worker.failsEverything || job.neverStarts || worker.record.boot != start.workerBoot) {
        this->failedStartCount++;
        this->report(start.attempt, AttemptStatus::FailedToStart, {});
        return;
    }
    if (job.actual.memoryGigabytes > start.reserved.memoryGigabytes * 1.5) {
        this->outOfMemoryCount++;
        this->report(start.attempt, AttemptStatus::OutOfMemory, start.reserved);
        return;
    }
    if (!job.job.idempotent && job.hasUnsavedWork)
        this->reportViolation(start.job.string() + " has run in part and was started again");
    job.hasUnsavedWork = true;
    if (!job.startedAt)
        job.startedAt = this->now;
    this->tasks.push_back({ start.attempt, &job, index, this->now + job.remaining, this->now, Instant::max() });
}

void FakeSite::carryOut(const StopTask& stop)
{
    if (this->isCut(this->indexOf(stop.worker)))
        return;
    for (auto& task : this->tasks) {
        if (task.attempt != stop.attempt)
            continue;
        if (!stop.checkpoint) {
            this->endTask(task, AttemptStatus::Stopped);
        } else if (task.checkpointedAt == Instant::max()) {
            auto span = std::uniform_int_distribution<>(minCheckpointMilliseconds, maxCheckpointMilliseconds);
            task.checkpointedAt = this->now + Milliseconds(span(this->random));
        }
        std::erase_if(this->tasks, [](const FakeTask& entry) { return entry.attempt == 0; });
        return;
    }
    this->carryOut(AskAttempt { stop.attempt, stop.worker, stop.workerBoot });
}

void FakeSite::carryOut(const AskAttempt& ask)
{
    if (this->isCut(this->indexOf(ask.worker)))
        return;
    auto isAsked = [&](const FakeTask& task) { return task.attempt == ask.attempt; };
    auto running = std::find_if(this->tasks.begin(), this->tasks.end(), isAsked);
    auto ended = this->finalReports.find(ask.attempt);
    if (running != this->tasks.end())
        this->report(ask.attempt, AttemptStatus::Running, running->job->actual);
    else if (ended != this->finalReports.end())
        this->report(ask.attempt, ended->second.status, ended->second.peakUsage);
    else if (this->workers[this->indexOf(ask.worker)].record.boot != ask.workerBoot)
        this->report(ask.attempt, AttemptStatus::Stopped, {});
    else
        this->report(ask.attempt, AttemptStatus::FailedToStart, {});
}

void FakeSite::carryOut(const JobEnded& ended)
{
    auto& job = this->jobs.at(ended.job);
    if (job.outcome)
        this->reportViolation(ended.job.string() + " ended twice");
    job.outcome = ended.outcome;
    this->openJobs.erase(&job);
}

std::map<TeamId, Resources> FakeSite::demands() const
{
    std::map<TeamId, Resources> demands;
    for (const auto* job : this->openJobs)
        demands[job->job.team] = demands[job->job.team] + job->actual;
    return demands;
}

std::size_t FakeSite::openCount(const TeamId& team, Priority priority) const
{
    auto isCounted = [&](const FakeJob* job) { return job->job.priority == priority && job->job.team == team; };
    return static_cast<std::size_t>(std::count_if(this->openJobs.begin(), this->openJobs.end(), isCounted));
}

double FakeSite::usageOf(const TeamId& team) const
{
    Resources used;
    Resources total;
    for (const auto& task : this->tasks) {
        if (task.job->job.team == team)
            used = used + task.job->actual;
    }
    for (const auto& worker : this->workers)
        total = total + worker.record.capacity;
    return used.dominantShareOf(total);
}

std::size_t FakeSite::taskCountOn(std::size_t index) const
{
    return static_cast<std::size_t>(std::count_if(
        this->tasks.begin(), this->tasks.end(), [&](const FakeTask& task) { return task.worker == index; }));
}

bool FakeSite::allEnded() const
{
    return std::all_of(
        this->jobs.begin(), this->jobs.end(), [](const auto& entry) { return entry.second.outcome.has_value(); });
}

void FakeSite::check()
{
    std::map<TeamId, int> running;
    std::map<JobId, int> copies;
    for (const auto& task : this->tasks) {
        const auto& job = task.job->job;
        running[job.team]++;
        if (++copies[job.id] > 1 && !job.idempotent)
            this->reportViolation(job.id.string() + " runs twice at once");
    }
    for (const auto& [team, count] : running) {
        if (count > this->limits[team])
            this->reportViolation(team.string() + " runs " + std::to_string(count) + " tasks above its limit");
    }
}

void FakeSite::reportViolation(const std::string& what)
{
    if (this->violations.size() < 5)
        this->violations.push_back(what);
}

} // namespace Greengage
