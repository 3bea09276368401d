#pragma once

#include <coordinator/fleet/VmService.h>
#include <coordinator/tests/After.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/time/Deadline.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// Stand-ins for workers that run tasks under leases and fencing tokens, and record violations of what the coordinator
/// guarantees. Several daemons share them, each through a FakeLink.
struct FakeWorkers {
    struct Run {
        std::uint32_t run = 0;
        std::int64_t endsAtMs = 0;
    };

    struct Worker {
        std::int64_t incarnationUnixMs = 1;
        /// When the incarnation began; its clock counts from then.
        std::int64_t startedAtMs = 0;
        /// The speed of its clock, in percent of ours.
        std::int64_t clockPercent = 100;
        std::int64_t fence = 0;
        std::int64_t leaseUntilMs = 0;
        std::map<TaskName, Run> running;
        std::vector<EndedAttempt> ended;
        std::uint64_t nextEnd = 1;
        std::set<std::pair<TaskName, std::uint32_t>> stopped;
        /// The highest run of each task that has ended here.
        std::map<TaskName, std::uint32_t> endedRuns;
        /// When tasks were done here, and when the lease last expired, on the worker's clock.
        std::map<TaskName, std::int64_t> doneAtMs;
        std::int64_t lapsedAtMs = 0;
        /// Whether the incarnation has carried out a renewal.
        bool isRenewed = false;
        /// The highest number of an end that was reported.
        std::uint64_t reportedEnds = 0;
        /// Whether the connections to the former incarnation were reset when it ended.
        bool hasResetConnections = false;
    };

    /// The longest lease that a worker grants.
    Milliseconds longestLease { 4000 };

    /// How long a task runs.
    Milliseconds taskLength { 100 };
    /// If set, gives the length of each task instead of `taskLength`.
    std::function<Milliseconds(const TaskName&)> lengthOf;
    /// If set, may refuse a start order that the worker would carry out otherwise.
    std::function<std::optional<StartOutcome>(const WorkerId&, const StartAttempt&)> admission;
    /// If set, called when an attempt has begun, with what it breaks, if anything.
    std::function<void(const WorkerId&, const StartAttempt&, const char* fault)> onStart;
    /// If set, called when the end of a task as done was acknowledged as stored.
    std::function<void(const WorkerId&, const TaskName&)> onStoredDone;
    std::map<WorkerId, Worker> workers;
    /// Tasks that completed, and how often.
    std::map<TaskName, int> done;
    /// How often an end as done was forgotten by a restart before it was acknowledged, so that the task may run again.
    std::map<TaskName, int> forgottenDone;
    /// Tasks that were started while they ran elsewhere, or after their completion was stored.
    std::vector<TaskName> startedTwice;
    /// Tasks whose completion the coordinator has acknowledged as stored.
    std::set<TaskName> storedAsDone;
    /// Those of them whose end was acknowledged before it was reported.
    std::set<TaskName> acknowledgedUnread;
    std::size_t starts = 0;
    std::set<JobId> startedJobs;
    /// The tickets that starts carried.
    std::set<std::string> tickets;
    /// Attempts that ended because their lease expired.
    std::size_t lapses = 0;

    static std::int64_t clockMs()
    {
        return std::chrono::duration_cast<Milliseconds>(BootClock::now().time_since_epoch()).count();
    }

    static std::int64_t clockOf(const Worker& worker)
    {
        return (clockMs() - worker.startedAtMs) * worker.clockPercent / 100;
    }

    void extendLease(Worker& worker, std::int64_t untilMs) const
    {
        worker.leaseUntilMs
            = std::max(worker.leaseUntilMs, std::min(untilMs, clockOf(worker) + this->longestLease.count()));
    }

    /// Crashes a worker and starts it again under its id. It knows nothing of before, and calls that wait for an answer
    /// get none. By its clock, which may have been set back, it starts `laterByMs` after its former incarnation.
    void restart(const WorkerId& id, std::int64_t laterByMs = 1)
    {
        std::int64_t earlier = this->workers[id].incarnationUnixMs;
        this->endDueTasks(this->workers[id]);
        for (const auto& end : this->workers[id].ended)
            this->forgottenDone[end.task] += end.kind == EndKind::Done ? 1 : 0;
        this->workers[id] = {};
        this->workers[id].incarnationUnixMs = earlier + laterByMs;
        this->workers[id].startedAtMs = clockMs();
    }

    /// Ends the tasks of a worker that are complete by now or whose lease has expired.
    void endDueTasks(Worker& worker)
    {
        std::int64_t now = clockOf(worker);
        bool hasLapsed = worker.leaseUntilMs < now;
        if (hasLapsed)
            worker.lapsedAtMs = worker.leaseUntilMs;
        for (auto entry = worker.running.begin(); entry != worker.running.end();) {
            bool isDone = entry->second.endsAtMs <= std::min(now, worker.leaseUntilMs);
            if (!isDone && !hasLapsed) {
                ++entry;
                continue;
            }
            this->lapses += isDone ? 0 : 1;
            worker.ended.push_back({ worker.nextEnd++, entry->first, entry->second.run,
                isDone ? EndKind::Done : EndKind::LeaseExpired, {} });
            if (isDone) {
                this->done[entry->first] += 1;
                worker.doneAtMs[entry->first] = entry->second.endsAtMs;
            }
            worker.endedRuns[entry->first] = entry->second.run;
            entry = worker.running.erase(entry);
        }
    }

    /// Ends a running task in another way than that it is done.
    void endTask(const WorkerId& id, const TaskName& task, EndKind kind)
    {
        auto& worker = this->workers[id];
        auto found = worker.running.find(task);
        if (found == worker.running.end())
            return;
        worker.ended.push_back({ worker.nextEnd++, task, found->second.run, kind, {} });
        worker.endedRuns[task] = found->second.run;
        worker.running.erase(found);
    }

    bool isRunningAnywhere(const TaskName& task)
    {
        bool isRunning = false;
        for (auto& [id, worker] : this->workers) {
            this->endDueTasks(worker);
            isRunning = isRunning || worker.running.contains(task);
        }
        return isRunning;
    }
};

/// One daemon's link to the stand-ins.
class FakeLink {
public:
    FakeLink(event_base& base, FakeWorkers& workers)
        : base(base)
        , workers(workers)
    {
    }

    /// Workers that this daemon cannot reach.
    std::set<WorkerId> unreachable;
    /// Workers that are down: they refuse connections.
    std::set<WorkerId> down;
    /// How many renewals were sent to each worker that did not answer them.
    std::map<WorkerId, std::size_t> failedRenewals;
    /// Addresses at which another worker answers.
    std::set<std::string> replacedAddresses;
    /// How many of the next start orders, and of the next renewals, are lost.
    int loseStarts = 0;
    /// How many of the next start orders are carried out without an answer.
    int loseStartAnswers = 0;
    /// How many of the next start orders are carried out after `lateStartDelay`, without an answer. Repetitions of them
    /// are lost.
    int lateStarts = 0;
    Milliseconds lateStartDelay { 0 };
    /// Whether repetitions of such orders are carried out at once.
    bool repetitionsArrive = false;
    /// The worker of the latest such order.
    std::optional<WorkerId> heldUpAt;
    /// How long the answer to such an order is waited for.
    Milliseconds lostStartTimeout { 2 };
    int loseRenewals = 0;
    /// How many of the next stop orders are refused, and how many are carried out without an answer.
    int refuseStops = 0;
    int loseStopAnswers = 0;
    /// A report lists at most this many ends, and says so.
    std::size_t maxEndsPerReport = 500;
    std::size_t incompleteReports = 0;
    /// How many of the next start orders arrive and are answered after `lateStartDelay`.
    int slowStarts = 0;
    /// If set, called after a worker has carried out a renewal.
    std::function<void(const WorkerId&)> onRenewed;
    /// Sending a start order of this job ends with an unforeseen error.
    JobId failingJob;

    void start(const WorkerEndpoint& endpoint, const StartAttempt& order, StartCallback callback)
    {
        if (order.task.job == this->failingJob)
            throw std::out_of_range("injected");
        if (this->slowStarts > 0) {
            this->slowStarts -= 1;
            after(this->base, this->lateStartDelay, [this, id = endpoint.id, order, callback = std::move(callback)] {
                callback(this->applyAndAnswer(id, order));
            });
            return;
        }
        StartAnswer answer = StartOutcome::NoAnswer;
        if (this->down.contains(endpoint.id))
            answer = StartOutcome::NotSent;
        else if (this->loseStarts > 0)
            this->loseStarts -= 1;
        else if (this->heldUp.contains({ order.task, order.run }) && !this->repetitionsArrive)
            answer = StartOutcome::NoAnswer;
        else if (this->lateStarts > 0) {
            this->lateStarts -= 1;
            this->heldUp.emplace(order.task, order.run);
            this->heldUpAt = endpoint.id;
            this->heldUpOrders.push_back(order);
            after(this->base, this->lateStartDelay, [this, id = endpoint.id, order] { this->apply(id, order); });
        } else if (!this->unreachable.contains(endpoint.id))
            answer = this->applyAndAnswer(endpoint.id, order);
        if (this->loseStartAnswers > 0) {
            this->loseStartAnswers -= 1;
            answer = StartOutcome::NoAnswer;
        }
        after(this->base, answer.outcome == StartOutcome::NoAnswer ? this->lostStartTimeout : Milliseconds(2),
            [callback = std::move(callback), answer] { callback(answer); });
    }

    /// Has the worker carry out the orders that are held up, before their time.
    void deliverHeldUpOrders(const WorkerId& id)
    {
        for (const auto& order : std::exchange(this->heldUpOrders, {}))
            this->apply(id, order);
    }

    void stop(const WorkerEndpoint& endpoint, const StopAttempt& order, OrderCallback callback)
    {
        bool isAccepted = !this->unreachable.contains(endpoint.id) && this->refuseStops == 0;
        this->refuseStops -= this->refuseStops > 0 ? 1 : 0;
        if (isAccepted) {
            auto& worker = this->workers.workers[endpoint.id];
            this->workers.endDueTasks(worker);
            worker.stopped.emplace(order.task, order.run);
            auto found = worker.running.find(order.task);
            if (found != worker.running.end() && found->second.run == order.run) {
                worker.ended.push_back({ worker.nextEnd++, order.task, order.run, EndKind::Stopped, {} });
                worker.running.erase(found);
            }
            isAccepted = this->loseStopAnswers == 0;
            this->loseStopAnswers -= isAccepted ? 0 : 1;
        }
        after(this->base, Milliseconds(2), [callback = std::move(callback), isAccepted] { callback(isAccepted); });
    }

    void throttle(const WorkerEndpoint&, const ThrottleAttempt&, OrderCallback callback)
    {
        after(this->base, Milliseconds(2), [callback = std::move(callback)] { callback(true); });
    }

    void renew(const WorkerEndpoint& endpoint, const RenewLease& order, ReportCallback callback)
    {
        if (this->replacedAddresses.contains(endpoint.address)) {
            after(this->base, Milliseconds(2),
                [callback = std::move(callback)] { callback(WorkerFailure::OtherIncarnation); });
            return;
        }
        if (this->down.contains(endpoint.id)) {
            this->failedRenewals[endpoint.id] += 1;
            after(this->base, Milliseconds(1),
                [callback = std::move(callback)] { callback(WorkerFailure::NotConnected); });
            return;
        }
        if (this->unreachable.contains(endpoint.id) || this->loseRenewals > 0) {
            this->failedRenewals[endpoint.id] += 1;
            this->loseRenewals -= this->loseRenewals > 0 ? 1 : 0;
            after(this->base, order.wait + Milliseconds(50),
                [callback = std::move(callback)] { callback(WorkerFailure::NoAnswer); });
            return;
        }
        auto& worker = this->workers.workers[endpoint.id];
        if (order.fencingToken < worker.fence) {
            after(this->base, Milliseconds(1), [callback = std::move(callback)] { callback(WorkerFailure::Fenced); });
            return;
        }
        worker.fence = order.fencingToken;
        worker.isRenewed = true;
        this->workers.endDueTasks(worker);
        if (order.leaseUntilClockMs)
            this->workers.extendLease(worker, *order.leaseUntilClockMs);
        std::erase_if(worker.ended, [&](const EndedAttempt& end) {
            bool isStored = end.number <= order.storedEnds;
            if (isStored && end.kind == EndKind::Done) {
                this->workers.storedAsDone.insert(end.task);
                if (end.number > worker.reportedEnds)
                    this->workers.acknowledgedUnread.insert(end.task);
                if (this->workers.onStoredDone)
                    this->workers.onStoredDone(endpoint.id, end.task);
            }
            return isStored;
        });
        if (this->onRenewed)
            this->onRenewed(endpoint.id);
        this->reportLater(
            endpoint.id, worker.incarnationUnixMs, Deadline::after(BootClock::now(), order.wait), std::move(callback));
    }

private:
    StartAnswer applyAndAnswer(const WorkerId& id, const StartAttempt& order)
    {
        StartOutcome outcome = this->apply(id, order);
        return { outcome, FakeWorkers::clockOf(this->workers.workers[id]) };
    }

    StartOutcome apply(const WorkerId& id, const StartAttempt& order)
    {
        auto& worker = this->workers.workers[id];
        this->workers.endDueTasks(worker);
        std::int64_t now = FakeWorkers::clockOf(worker);
        if (order.fencingToken < worker.fence)
            return StartOutcome::Fenced;
        if (order.validUntilClockMs < now)
            return StartOutcome::TooLate;
        auto endedRun = worker.endedRuns.find(order.task);
        bool hasEnded = endedRun != worker.endedRuns.end() && order.run <= endedRun->second;
        if (hasEnded || worker.stopped.contains({ order.task, order.run }))
            return StartOutcome::Outdated;
        if (auto running = worker.running.find(order.task);
            running != worker.running.end() && running->second.run == order.run)
            return StartOutcome::Accepted;
        if (this->workers.admission) {
            if (auto refusal = this->workers.admission(id, order))
                return *refusal;
        }
        const char* fault = nullptr;
        if (this->workers.isRunningAnywhere(order.task))
            fault = "runs twice at once";
        else if (this->workers.storedAsDone.contains(order.task))
            fault = this->workers.acknowledgedUnread.contains(order.task)
                ? "starts after its end as done was acknowledged unread"
                : "starts after its end as done was stored";
        if (fault)
            this->workers.startedTwice.push_back(order.task);
        this->workers.starts += 1;
        this->workers.tickets.insert(order.ticket);
        this->workers.startedJobs.insert(order.task.job);
        worker.fence = order.fencingToken;
        this->workers.extendLease(worker, order.validUntilClockMs);
        Milliseconds length = this->workers.lengthOf ? this->workers.lengthOf(order.task) : this->workers.taskLength;
        worker.running[order.task] = { order.run, now + length.count() };
        if (this->workers.onStart)
            this->workers.onStart(id, order, fault);
        return StartOutcome::Accepted;
    }

    void reportLater(const WorkerId& id, std::int64_t incarnation, Deadline until, ReportCallback callback)
    {
        auto& worker = this->workers.workers[id];
        if (worker.incarnationUnixMs != incarnation) {
            auto untilTimeout
                = std::chrono::duration_cast<Milliseconds>(until.remaining(BootClock::now())) + Milliseconds(50);
            after(this->base, worker.hasResetConnections ? Milliseconds(1) : untilTimeout,
                [callback = std::move(callback)] { callback(WorkerFailure::NoAnswer); });
            return;
        }
        this->workers.endDueTasks(worker);
        if (worker.ended.empty() && !until.hasPassed(BootClock::now())) {
            after(
                this->base, Milliseconds(5), [this, id, incarnation, until, callback = std::move(callback)]() mutable {
                    this->reportLater(id, incarnation, until, std::move(callback));
                });
            return;
        }
        WorkerReport report;
        report.clockMs = FakeWorkers::clockOf(worker);
        report.incarnationUnixMs = incarnation;
        for (const auto& [task, run] : worker.running)
            report.running.push_back({ task, run.run, {}, 100, 0 });
        report.ended = worker.ended;
        report.endsComplete = report.ended.size() < this->maxEndsPerReport;
        this->incompleteReports += report.endsComplete ? 0 : 1;
        report.ended.resize(std::min(report.ended.size(), this->maxEndsPerReport));
        worker.reportedEnds = report.endsComplete ? worker.nextEnd - 1 : report.ended.back().number;
        after(this->base, Milliseconds(2), [callback = std::move(callback), report] { callback(report); });
    }

    event_base& base;
    FakeWorkers& workers;
    /// Attempts whose first start order was late.
    std::set<std::pair<TaskName, std::uint32_t>> heldUp;
    std::vector<StartAttempt> heldUpOrders;
};

/// A stand-in for the VM service.
class FakeVms {
public:
    explicit FakeVms(event_base& base)
        : base(base)
    {
    }

    /// How many of the next listings end with an unforeseen error when they are requested.
    int failListings = 0;
    std::vector<VmInfo> vms;

    void list(VmListCallback callback)
    {
        if (this->failListings > 0) {
            this->failListings -= 1;
            throw std::out_of_range("injected");
        }
        after(this->base, Milliseconds(1), [callback = std::move(callback), vms = this->vms] { callback(vms); });
    }

    void beginMaintenance(const VmId&, std::int64_t, std::int64_t, VmOrderCallback callback)
    {
        after(this->base, Milliseconds(1), [callback = std::move(callback)] { callback(VmOrderOutcome::Accepted); });
    }

    void move(const VmId&, const PoolId&, std::int64_t, VmOrderCallback callback)
    {
        after(this->base, Milliseconds(1), [callback = std::move(callback)] { callback(VmOrderOutcome::Accepted); });
    }

private:
    event_base& base;
};

} // namespace Greengage
