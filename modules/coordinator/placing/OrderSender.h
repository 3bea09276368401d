#pragma once

#include <coordinator/placing/LeaseManager.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Greengage {

/// Sends the orders that the job tables call for, to start, stop and throttle attempts, and applies their results.
template <WorkerLink Link> class OrderSender {
public:
    struct Handlers {
        /// Whether orders may be sent now.
        std::function<bool(Instant)> mayAct;
        /// The job tables have changed.
        std::function<void()> onChange;
        /// A worker has seen a higher fencing token.
        std::function<void()> onFenced;
    };

    OrderSender(Link& link, LeaseManager<Link>& leases, JobTables& tables, Handlers handlers)
        : link(link)
        , leases(leases)
        , tables(tables)
        , handlers(std::move(handlers))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~OrderSender() { *this->alive = false; }

    OrderSender(const OrderSender&) = delete;
    OrderSender& operator=(const OrderSender&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    /// Sends the start orders of a job's plan, which has just been stored.
    void startPlanned(JobRow& job)
    {
        Instant now = BootClock::now();
        if (job.hasEnded())
            return;
        WorkScope scope(WorkKind::Job, job.record.id.string());
        std::vector<StartOrder> orders;
        // A gang that cannot start completely does not start at all.
        std::set<std::pair<std::uint32_t, std::uint32_t>> brokenGangs;
        this->tables.forEachAttempt(job, [&](WorkerRow& worker, const Attempt& attempt) {
            if (attempt.phase != AttemptPhase::Recording)
                return;
            orders.push_back({ worker.info.id, attempt.task, attempt.run });
            const StepSpec& step = job.record.spec.steps[attempt.task.step];
            if (step.gang && !this->maySend(worker, step, now))
                brokenGangs.emplace(attempt.task.occurrence, attempt.task.step);
        });
        for (const auto& order : orders) {
            WorkerRow& worker = this->tables.workers.at(order.worker);
            const StepSpec& step = job.record.spec.steps[order.task.step];
            if (this->maySend(worker, step, now) && !brokenGangs.contains({ order.task.occurrence, order.task.step }))
                this->start(order, now);
            else
                this->tables.releaseAttempt(worker, order.task, ReleaseReason::NotOrdered, now);
        }
    }

    /// Repeats start orders that are not answered yet. The worker carries out the order of an attempt once, however
    /// often it arrives.
    void repeatStarts(Instant now)
    {
        for (auto& [id, worker] : this->tables.workers) {
            bool mayStart = worker.isListed && !worker.isLeaving();
            for (auto& [task, attempt] : worker.attempts) {
                if (!mayStart || !needsRepetition(attempt, now) || !this->handlers.mayAct(BootClock::now()))
                    continue;
                WorkScope scope(WorkKind::Job, task.job.string());
                writeLog(LogLevel::Info,
                    LogLine("task_start_repeated")
                        .add("task", task.text())
                        .add("run", attempt.run)
                        .add("worker", id.string())
                        .add("sent", attempt.startOrdersSent));
                this->sendStart(worker, attempt, now);
            }
        }
    }

    /// Orders attempts to stop, orphaned ones included, and repeats orders that had no effect.
    void orderStops(Instant now)
    {
        for (auto& [id, worker] : this->tables.workers) {
            for (auto& [task, attempt] : worker.attempts)
                this->orderStop(worker, attempt, now);
            for (auto& [key, orphan] : worker.orphans)
                this->orderStop(worker, orphan, now);
        }
    }

    /// Throttles best-effort attempts whose speed percent is not the wanted one.
    void orderThrottles()
    {
        for (auto& [id, worker] : this->tables.workers) {
            if (!worker.bestEffortCount)
                continue;
            for (auto& [task, attempt] : worker.attempts) {
                bool needsChange
                    = attempt.phase == AttemptPhase::Running && attempt.wantedSpeedPercent != attempt.speedPercent;
                if (attempt.isBestEffort && needsChange && !attempt.isSpeedOrderPending)
                    this->orderThrottle(worker, attempt);
            }
        }
    }

private:
    /// A worker that refused a start order, or left one unanswered, gets no other one for this long.
    static constexpr Milliseconds refusalPause { 300 };
    /// A start order without an answer is repeated after this time, up to this many orders. Workers answer within
    /// milliseconds.
    static constexpr Milliseconds startRetry { 120 };
    static constexpr int maxStartOrders = 4;
    static constexpr Milliseconds stopRetry { 300 };
    /// An accepted stop order is not repeated for this long; the worker reports the end within its own limit for stops.
    static constexpr Milliseconds stopEffectPeriod { 2000 };

    /// Whether the start order is still unanswered and valid, and the worker has had time to answer it.
    static bool needsRepetition(const Attempt& attempt, Instant now)
    {
        bool isUnanswered = attempt.phase == AttemptPhase::Ordered || attempt.phase == AttemptPhase::Unanswered;
        return isUnanswered && !attempt.isAnswered && attempt.startOrdersSent < maxStartOrders
            && attempt.nextStartOrder.hasPassed(now) && !attempt.orderExpires.hasPassed(now);
    }

    bool maySend(const WorkerRow& worker, const StepSpec& step, Instant now) const
    {
        return this->handlers.mayAct(now) && PlacementSystem::mayStart(worker, step.longRunning, now);
    }

    void start(const StartOrder& order, Instant now)
    {
        JobTables& tables = this->tables;
        WorkerRow& worker = tables.workers.at(order.worker);
        Attempt& attempt = worker.attempts.at(order.task);
        attempt.phase = AttemptPhase::Ordered;
        attempt.orderedAt = now;
        attempt.confirmedAt = now;
        constexpr auto validFor = PlacementSystem::orderValidFor;
        attempt.orderExpires = Deadline::after(now, LeaseBounds::longestLease(validFor));
        attempt.orderValidUntilClockMs = this->leases.clockOf(worker, now) + validFor.count();
        writeLog(LogLevel::Info,
            LogLine("task_start")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("policies", tables.policies->version)
                .add("report_age_ms", OrderSender::ageMs(worker.lastReport, now)));
        if (const TaskRow* row = tables.findTask(order.task); row && row->former)
            OrderSender::logFormerAttempt(order, *row->former, now);
        this->sendStart(worker, attempt, now);
    }

    static std::int64_t ageMs(Instant since, Instant now)
    {
        return std::chrono::duration_cast<Milliseconds>(now - since).count();
    }

    /// Logs what proves that the attempt before this one does not run any more, and how old that proof is.
    static void logFormerAttempt(const StartOrder& order, const FormerAttempt& former, Instant now)
    {
        writeLog(LogLevel::Info,
            LogLine("task_started_again")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("former_run", former.run)
                .add("former_worker", former.worker.string())
                .add("released_by", nameOf(former.reason))
                .add("proof_age_ms", OrderSender::ageMs(former.provenAt, now))
                .add("order_age_ms", former.orderedAt == Instant() ? -1 : OrderSender::ageMs(former.orderedAt, now)));
    }

    /// Sends the start order of an attempt, for the first time or again.
    void sendStart(WorkerRow& worker, Attempt& attempt, Instant now)
    {
        StartAttempt start;
        start.task = attempt.task;
        start.run = attempt.run;
        start.payload = this->tables.jobs.at(attempt.task.job).record.spec.payload;
        start.validUntilClockMs = attempt.orderValidUntilClockMs;
        start.fencingToken = this->leases.tokenFor(worker);
        start.checkpoint = attempt.checkpoint;
        start.ticket = attempt.ticket;
        attempt.startOrdersSent += 1;
        attempt.lastSentAt = now;
        worker.openCopies.recordSent();
        this->leases.extendLease(worker, now, PlacementSystem::orderValidFor);
        attempt.nextStartOrder = Deadline::after(now, startRetry);
        this->link.start(this->leases.endpointOf(worker), start,
            [this, alive = this->alive, order = StartOrder { worker.info.id, attempt.task, attempt.run },
                token = start.fencingToken](const StartAnswer& answer) {
                if (*alive)
                    this->handleStartAnswer(order, token, answer);
            });
    }

    /// `token` is the fencing token that the order carried.
    void handleStartAnswer(const StartOrder& order, std::int64_t token, const StartAnswer& answer)
    {
        StartOutcome outcome = answer.outcome;
        JobTables& tables = this->tables;
        if (outcome == StartOutcome::Accepted)
            tables.recordStart(order.task.job);
        WorkerRow* worker = tables.findWorker(order.worker);
        if (!worker)
            return;
        worker->openCopies.recordEnded(outcome != StartOutcome::NoAnswer, BootClock::now());
        // It may be held up until the worker has started again, and no other call need fail meanwhile.
        if (outcome == StartOutcome::NoAnswer)
            worker->needsHigherToken = true;
        auto found = worker->attempts.find(order.task);
        if (found == worker->attempts.end() || found->second.run != order.run)
            return;
        Attempt& attempt = found->second;
        Instant now = BootClock::now();
        bool wasSettled = attempt.isSettled();
        attempt.startOrdersEnded += 1;
        bool isFromKnownIncarnation
            = answer.clockMs && this->leases.isFromKnownIncarnation(*worker, *answer.clockMs, now);
        // A copy that was refused has started nothing. One that was accepted may have been by a later incarnation.
        bool isCopyClosed
            = outcome == StartOutcome::Accepted ? isFromKnownIncarnation : outcome != StartOutcome::NoAnswer;
        attempt.startOrdersClosed += isCopyClosed ? 1 : 0;
        // The worker has seen the higher token that this leader uses since its restart.
        if (outcome == StartOutcome::Fenced && token < worker->fencingToken)
            outcome = StartOutcome::Outdated;
        OrderSender::logAmbiguousAnswer(order, attempt, outcome);
        // Either incarnation may have answered, and another copy of the order may be under way: the worker's reports
        // tell.
        if (attempt.wasOrderedBeforeRestart && outcome != StartOutcome::Fenced)
            return;
        if (outcome == StartOutcome::Accepted) {
            attempt.isAnswered = true;
            attempt.isAccepted = true;
            attempt.isListed = attempt.isListed || isFromKnownIncarnation;
            this->storeIfSettled(attempt, wasSettled);
            attempt.confirmedAt = now;
            if (attempt.phase != AttemptPhase::Stopping)
                attempt.phase = AttemptPhase::Running;
            return;
        }
        writeLog(LogLevel::Warning,
            LogLine("task_start_refused")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("reason", nameOf(outcome)));
        if (outcome == StartOutcome::Fenced) {
            this->handlers.onFenced();
            return;
        }
        // A refusal tells nothing of the other copies of the order: one may have been carried out before, or may be
        // yet.
        if (outcome == StartOutcome::NoAnswer || attempt.startOrdersSent > 1) {
            if (attempt.isAnswered) {
                this->storeIfSettled(attempt, wasSettled);
                return;
            }
            this->leases.probe(*worker, now);
            if (attempt.startOrdersEnded < attempt.startOrdersSent)
                return;
            if (attempt.phase == AttemptPhase::Ordered)
                attempt.phase = AttemptPhase::Unanswered;
            worker->pausedUntil = Deadline::after(now, refusalPause);
            return;
        }
        bool isRefusedByWorker = outcome != StartOutcome::NotSent && outcome != StartOutcome::Outdated
            && outcome != StartOutcome::NoTicket;
        if (outcome == StartOutcome::NoTicket)
            tables.dropTicket(order.task, order.worker);
        if (isRefusedByWorker)
            worker->pausedUntil = Deadline::after(now, refusalPause);
        if (outcome == StartOutcome::NotSent)
            LeaseManager<Link>::suspect(*worker);
        tables.releaseAttempt(*worker, order.task, ReleaseReason::Refused, now);
        this->handlers.onChange();
    }

    /// Has it stored that the start of a long-running task is settled, so that the next leader need not wait for the
    /// order if the worker ends.
    void storeIfSettled(const Attempt& attempt, bool wasSettled)
    {
        auto job = this->tables.jobs.find(attempt.task.job);
        if (attempt.isLongRunning && attempt.isSettled() && !wasSettled && job != this->tables.jobs.end())
            this->tables.markUnsaved(job->second);
    }

    /// Logs an answer that may be that of another copy of the order, or of another incarnation of the worker.
    static void logAmbiguousAnswer(const StartOrder& order, const Attempt& attempt, StartOutcome outcome)
    {
        bool isRepeatedOrderAccepted = outcome == StartOutcome::Accepted && attempt.startOrdersSent > 1;
        if (!isRepeatedOrderAccepted && !attempt.wasOrderedBeforeRestart)
            return;
        writeLog(LogLevel::Info,
            LogLine("task_start_answered")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("outcome", nameOf(outcome))
                .add("sent", attempt.startOrdersSent)
                .add("before_restart", attempt.wasOrderedBeforeRestart));
    }

    void orderStop(WorkerRow& worker, Attempt& attempt, Instant now)
    {
        if (attempt.phase != AttemptPhase::Stopping || attempt.isStopOrderPending
            || !attempt.nextStopOrder.hasPassed(now))
            return;
        attempt.isStopOrderPending = true;
        attempt.nextStopOrder = Deadline::after(now, stopRetry);
        writeLog(LogLevel::Info,
            LogLine("task_stop")
                .add("task", attempt.task.text())
                .add("run", attempt.run)
                .add("worker", worker.info.id.string()));
        this->link.stop(this->leases.endpointOf(worker), { attempt.task, attempt.run, this->leases.tokenFor(worker) },
            [this, alive = this->alive, id = worker.info.id, incarnation = worker.info.incarnationUnixMs,
                task = attempt.task, run = attempt.run](bool isAccepted) {
                if (*alive)
                    this->handleStopAnswer(id, incarnation, task, run, isAccepted);
            });
    }

    void orderThrottle(WorkerRow& worker, Attempt& attempt)
    {
        attempt.isSpeedOrderPending = true;
        writeLog(LogLevel::Info,
            LogLine("task_throttle")
                .add("task", attempt.task.text())
                .add("run", attempt.run)
                .add("worker", worker.info.id.string())
                .add("percent", attempt.wantedSpeedPercent));
        this->link.throttle(this->leases.endpointOf(worker),
            { attempt.task, attempt.run, attempt.wantedSpeedPercent, this->leases.tokenFor(worker) },
            [this, alive = this->alive, id = worker.info.id, task = attempt.task, run = attempt.run,
                percent = attempt.wantedSpeedPercent](bool isAccepted) {
                if (*alive)
                    this->handleThrottleAnswer(id, task, run, isAccepted ? std::optional(percent) : std::nullopt);
            });
    }

    /// `accepted` is the speed percent of the attempt from now on; nothing if the order has to be repeated.
    void handleThrottleAnswer(const WorkerId& id, const TaskName& task, std::uint32_t run, std::optional<int> accepted)
    {
        WorkerRow* worker = this->tables.findWorker(id);
        if (!worker)
            return;
        auto found = worker->attempts.find(task);
        if (found == worker->attempts.end() || found->second.run != run)
            return;
        found->second.isSpeedOrderPending = false;
        if (accepted)
            found->second.speedPercent = *accepted;
    }

    /// `incarnation` is the one that the order was sent to; what it accepted binds no later one.
    void handleStopAnswer(
        const WorkerId& id, std::int64_t incarnation, const TaskName& task, std::uint32_t run, bool isAccepted)
    {
        WorkerRow* worker = this->tables.findWorker(id);
        if (!worker)
            return;
        Attempt* attempt = nullptr;
        if (auto found = worker->attempts.find(task); found != worker->attempts.end() && found->second.run == run)
            attempt = &found->second;
        else if (auto orphan = worker->orphans.find({ task, run }); orphan != worker->orphans.end())
            attempt = &orphan->second;
        if (!attempt)
            return;
        attempt->isStopOrderPending = false;
        if (!isAccepted || incarnation != worker->info.incarnationUnixMs)
            return;
        // From now on the worker refuses a start order that arrives late.
        attempt->isAnswered = true;
        attempt->confirmedAt = BootClock::now();
        attempt->nextStopOrder = Deadline::after(BootClock::now(), stopEffectPeriod);
    }

    Link& link;
    LeaseManager<Link>& leases;
    JobTables& tables;
    Handlers handlers;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
