#include <core/checks/Assertion.h>
#include <fleet/placement/systems/PlacementTables.h>

namespace Greengage {

namespace {

constexpr Seconds leaseDuration(10);

} // namespace

Resources PlacementTables::sizeOf(const JobEntry& entry) const
{
    auto size = this->profile.learnsSizes ? SizeLearner::estimate(*entry.history, entry.job) : entry.job.declared;
    return size.max(entry.minimumSize);
}

void PlacementTables::createAttempt(JobEntry& entry, const WorkerId& worker, const Resources& size, bool awaitsCapacity)
{
    this->dequeue(entry);
    Attempt attempt;
    attempt.number = this->nextAttempt++;
    attempt.job = entry.job.id;
    attempt.team = entry.job.team;
    attempt.worker = worker;
    attempt.workerBoot = this->workers.find(worker)->record.boot;
    attempt.phase = AttemptPhase::Awaiting;
    attempt.reserved = size;
    attempt.lease = Deadline::never();
    entry.attempts.push_back(attempt.number);
    this->awaiting.insert(attempt.number);
    this->workers.add(attempt);
    this->teams.add(attempt);
    auto& stored = this->attempts[attempt.number] = attempt;
    if (!awaitsCapacity)
        this->sendAttempt(stored);
}

void PlacementTables::sendAttempt(Attempt& attempt)
{
    this->awaiting.erase(attempt.number);
    this->setPhase(attempt, AttemptPhase::Starting);
    attempt.startedAt = this->now;
    attempt.lease = Deadline::after(this->now, leaseDuration);
    this->outputs.emplace_back(
        StartTask { attempt.number, attempt.job, attempt.worker, attempt.workerBoot, attempt.reserved, attempt.lease });
}

void PlacementTables::stopAttempt(Attempt& attempt, bool requeues)
{
    if (attempt.phase == AttemptPhase::Ending)
        return;
    this->setPhase(attempt, AttemptPhase::Ending);
    attempt.requeuesJob = requeues;
    const bool canCheckpoint = requeues && this->jobs.at(attempt.job).job.canCheckpoint;
    this->outputs.emplace_back(StopTask { attempt.number, attempt.worker, attempt.workerBoot, canCheckpoint });
}

void PlacementTables::withdrawAttempt(std::uint64_t number)
{
    auto& attempt = this->attempts.at(number);
    assertInvariant(attempt.phase == AttemptPhase::Awaiting, "only an attempt that was not sent can be withdrawn");
    auto job = attempt.job;
    this->removeAttempt(number);
    this->enqueue(this->jobs.at(job));
}

void PlacementTables::setPhase(Attempt& attempt, AttemptPhase phase)
{
    if (attempt.phase == AttemptPhase::Awaiting)
        this->workers.markHeld(attempt);
    this->teams.remove(attempt);
    attempt.phase = phase;
    this->teams.add(attempt);
}

void PlacementTables::setReserved(Attempt& attempt, const Resources& reserved)
{
    this->workers.remove(attempt);
    this->teams.remove(attempt);
    attempt.reserved = reserved;
    this->workers.add(attempt);
    this->teams.add(attempt);
}

void PlacementTables::removeAttempt(std::uint64_t number)
{
    auto found = this->attempts.find(number);
    const auto& attempt = found->second;
    this->workers.remove(attempt);
    this->teams.remove(attempt);
    auto job = this->jobs.find(attempt.job);
    if (job != this->jobs.end())
        std::erase(job->second.attempts, number);
    this->awaiting.erase(number);
    this->attempts.erase(found);
}

void PlacementTables::enqueue(JobEntry& entry)
{
    entry.isWaiting = true;
    auto& team = this->teams.entry(entry.job.team);
    team.waiting[static_cast<std::size_t>(entry.job.priority)][entry.arrival] = entry.job.id;
}

void PlacementTables::dequeue(JobEntry& entry)
{
    entry.isWaiting = false;
    auto& team = this->teams.entry(entry.job.team);
    team.waiting[static_cast<std::size_t>(entry.job.priority)].erase(entry.arrival);
}

void PlacementTables::endJob(const JobId& id, JobOutcome outcome, std::string detail)
{
    auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    this->dequeue(found->second);
    const auto running = found->second.attempts;
    for (auto number : running) {
        auto& attempt = this->attempts.at(number);
        if (attempt.phase == AttemptPhase::Awaiting)
            this->removeAttempt(number);
        else
            this->stopAttempt(attempt, false);
    }
    this->jobs.erase(id);
    this->outputs.emplace_back(JobEnded { id, outcome, std::move(detail) });
}

} // namespace Greengage
