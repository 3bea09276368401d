#include <jobs/systems/ReportSystem.h>

#include <jobs/board/JobBoard.h>
#include <jobs/model/WorkerReport.h>

#include <set>
#include <utility>

namespace Greengage {

namespace {

AttemptEventKind eventOf(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return AttemptEventKind::Done;
    case EndKind::Failed:
        return AttemptEventKind::Failed;
    case EndKind::Stopped:
        return AttemptEventKind::Stopped;
    case EndKind::LeaseLapsed:
        return AttemptEventKind::LeaseLapsed;
    case EndKind::GangBroken:
        return AttemptEventKind::GangBroken;
    case EndKind::GangIncomplete:
        return AttemptEventKind::GangIncomplete;
    }
    return AttemptEventKind::Lost;
}

constexpr int wholeSpeed = 100;

void takeFigures(Attempt& attempt, const RunningAttempt& running)
{
    attempt.checkpoint = running.checkpoint;
    attempt.pacePercent = running.pacePercent;
    attempt.isAtWork = running.pacePercent == wholeSpeed;
    attempt.load = running.load;
}

} // namespace

std::vector<AttemptEvent> ReportSystem::apply(
    WorkerRow& worker, const WorkerReport& report, Instant sentAt, Instant now)
{
    this->events.clear();
    worker.isReached = true;
    worker.lastReport = now;
    worker.clockMs = report.clockMs;
    worker.clockReadAt = now;
    for (const auto& end : report.ended) {
        if (end.number <= worker.endsSeen)
            continue;
        worker.endsSeen = end.number;
        this->takeEnd(worker, end, now);
    }
    for (const auto& running : report.running)
        this->takeRunning(worker, running, now);
    if (report.endsComplete)
        this->dropUnlisted(worker, report, sentAt);
    return std::exchange(this->events, {});
}

void ReportSystem::takeEnd(WorkerRow& worker, const EndedAttempt& end, Instant now)
{
    this->note(eventOf(end.kind), end.task, end.run, worker);
    if (auto stray = worker.strays.find({ end.task, end.run }); stray != worker.strays.end()) {
        worker.occupied -= stray->second.occupies;
        this->board.usage[stray->second.team] -= stray->second.charged;
        worker.strays.erase(stray);
    }
    auto job = this->board.jobs.find(end.task.job);
    bool isOpen = job != this->board.jobs.end() && !job->second.hasEnded();
    if (end.kind == EndKind::Done) {
        worker.failuresInARow = 0;
        if (isOpen)
            this->takeDone(worker, end);
    } else if (end.kind == EndKind::Failed) {
        worker.failuresInARow += 1;
        if (worker.failuresInARow >= failuresBeforeSetAside)
            worker.setAsideUntil = Deadline::after(now, setAsideFor);
        if (isOpen)
            this->board.countFailure(job->second, end.task, end.run, worker.facts.id);
    }
    auto attempt = worker.attempts.find(end.task);
    if (attempt == worker.attempts.end() || attempt->second.run != end.run)
        return;
    if (!end.checkpoint.empty())
        attempt->second.checkpoint = end.checkpoint;
    this->board.releaseAttempt(worker, end.task);
}

void ReportSystem::takeDone(WorkerRow& worker, const EndedAttempt& end)
{
    TaskRow* row = this->board.findTask(end.task);
    if (!row || row->phase == TaskPhase::Done)
        return;
    JobRow& job = this->board.jobs.at(end.task.job);
    // Another attempt of the task, elsewhere, is not needed any more.
    if (row->phase == TaskPhase::Active && (row->worker != worker.facts.id || row->run != end.run)) {
        if (auto* other = this->board.findWorker(row->worker); other && other->attempts.contains(end.task))
            other->attempts.at(end.task).phase = AttemptPhase::Stopping;
    }
    this->board.markUnrecorded(job);
    if (!job.record.spec.steps[end.task.step].gang) {
        this->board.finishTask(job, end.task);
        return;
    }
    // The members of a gang end together, and one end stands for all.
    auto count = static_cast<std::uint32_t>(job.occurrences[end.task.occurrence].steps[end.task.step].tasks.size());
    for (std::uint32_t index = 0; index < count; ++index)
        this->board.finishTask(job, { end.task.job, end.task.occurrence, end.task.step, index });
}

void ReportSystem::takeRunning(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    auto found = worker.attempts.find(running.task);
    if (found != worker.attempts.end() && found->second.run == running.run) {
        Attempt& attempt = found->second;
        if (attempt.phase != AttemptPhase::Stopping)
            attempt.phase = AttemptPhase::Running;
        attempt.isAnswered = true;
        attempt.confirmedAt = now;
        takeFigures(attempt, running);
        return;
    }
    if (auto stray = worker.strays.find({ running.task, running.run }); stray != worker.strays.end()) {
        stray->second.confirmedAt = now;
        return;
    }
    if (!this->adopt(worker, running, now))
        this->addStray(worker, running, now);
}

bool ReportSystem::adopt(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    TaskRow* row = this->board.findTask(running.task);
    if (!row || row->phase != TaskPhase::Waiting || worker.attempts.contains(running.task))
        return false;
    JobRow& job = this->board.jobs.at(running.task.job);
    if (job.hasEnded())
        return false;
    Attempt& attempt = this->board.beginAttempt(worker, job, running.task, running.run, AttemptPhase::Running, now);
    attempt.isAnswered = true;
    takeFigures(attempt, running);
    attempt.wantedPace = running.pacePercent;
    this->note(AttemptEventKind::Adopted, running.task, running.run, worker);
    return true;
}

void ReportSystem::addStray(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    Attempt stray;
    stray.task = running.task;
    stray.run = running.run;
    stray.phase = AttemptPhase::Stopping;
    stray.isAnswered = true;
    stray.confirmedAt = now;
    if (const StepSpec* step = this->board.findStep(running.task)) {
        stray.team = this->board.jobs.at(running.task.job).record.team;
        stray.charged = step->demand;
        stray.occupies = step->occupies();
        worker.occupied += stray.occupies;
        this->board.usage[stray.team] += stray.charged;
    }
    worker.strays.emplace(std::pair(running.task, running.run), stray);
    this->note(AttemptEventKind::Unwanted, running.task, running.run, worker);
}

void ReportSystem::dropUnlisted(WorkerRow& worker, const WorkerReport& report, Instant sentAt)
{
    std::set<std::pair<TaskName, std::uint32_t>> listed;
    for (const auto& running : report.running)
        listed.emplace(running.task, running.run);
    // A report says nothing of an attempt that was confirmed after the question, or whose order may still arrive.
    auto isGone = [&](const Attempt& attempt) {
        bool mayStillStart = !attempt.isAnswered && !attempt.orderExpires.hasPassed(sentAt);
        return attempt.mayBeSent() && !mayStillStart && attempt.confirmedAt < sentAt
            && !listed.contains({ attempt.task, attempt.run });
    };
    std::vector<TaskName> gone;
    for (const auto& [task, attempt] : worker.attempts) {
        if (isGone(attempt))
            gone.push_back(task);
    }
    for (const auto& task : gone) {
        this->note(AttemptEventKind::Lost, task, worker.attempts.at(task).run, worker);
        this->board.releaseAttempt(worker, task);
    }
    std::erase_if(worker.strays, [&](const auto& entry) {
        if (!isGone(entry.second))
            return false;
        worker.occupied -= entry.second.occupies;
        this->board.usage[entry.second.team] -= entry.second.charged;
        return true;
    });
}

void ReportSystem::note(AttemptEventKind kind, const TaskName& task, std::uint32_t run, const WorkerRow& worker)
{
    this->events.push_back({ kind, task, run, worker.facts.id });
}

} // namespace Greengage
