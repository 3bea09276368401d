#pragma once

#include <coordinator/placing/LeaseKeeper.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <jobs/board/JobBoard.h>
#include <jobs/systems/PlacementSystem.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Greengage {

/// Sends the orders that the board calls for, to start and to stop attempts, and takes in what comes of them.
template <WorkerLink Link> class OrderSender {
public:
    struct Handlers {
        /// Whether orders may be given now.
        std::function<bool(Instant)> mayAct;
        /// The board has changed.
        std::function<void()> changed;
        /// A worker has seen a higher fencing token.
        std::function<void()> fenced;
    };

    OrderSender(Link& link, LeaseKeeper<Link>& leases, JobBoard& board, std::int64_t token, Handlers handlers)
        : link(link)
        , leases(leases)
        , board(board)
        , token(token)
        , handlers(std::move(handlers))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~OrderSender() { *this->alive = false; }

    OrderSender(const OrderSender&) = delete;
    OrderSender& operator=(const OrderSender&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    /// The job's plan is stored: sends the orders in it.
    void startPlanned(JobRow& job)
    {
        Instant now = BootClock::now();
        if (job.hasEnded())
            return;
        std::vector<StartOrder> orders;
        // A gang that cannot start whole does not start at all.
        std::set<std::pair<std::uint32_t, std::uint32_t>> brokenGangs;
        this->board.forEachAttempt(job, [&](WorkerRow& worker, const Attempt& attempt) {
            if (attempt.phase != AttemptPhase::Recording)
                return;
            orders.push_back({ worker.facts.id, attempt.task, attempt.run });
            if (job.record.spec.steps[attempt.task.step].gang && !this->maySend(worker, now))
                brokenGangs.emplace(attempt.task.occurrence, attempt.task.step);
        });
        for (const auto& order : orders) {
            WorkerRow& worker = this->board.workers.at(order.worker);
            if (this->maySend(worker, now) && !brokenGangs.contains({ order.task.occurrence, order.task.step }))
                this->start(order, now);
            else
                this->board.releaseAttempt(worker, order.task);
        }
    }

    void orderStops(Instant now)
    {
        for (auto& [id, worker] : this->board.workers) {
            for (auto& [task, attempt] : worker.attempts)
                this->orderStop(worker, attempt, now);
            for (auto& [key, stray] : worker.strays)
                this->orderStop(worker, stray, now);
        }
    }

    /// Orders the pace that filling attempts should have, where it is another one.
    void orderPaces()
    {
        for (auto& [id, worker] : this->board.workers) {
            if (!worker.fillingCount)
                continue;
            for (auto& [task, attempt] : worker.attempts) {
                bool isWanted = attempt.phase == AttemptPhase::Running && attempt.wantedPace != attempt.pacePercent;
                if (attempt.fills && isWanted && !attempt.paceUnderWay)
                    this->orderPace(worker, attempt);
            }
        }
    }

private:
    /// A worker that refused an order, or left one unanswered, gets no other one for so long.
    static constexpr Milliseconds refusalPause { 300 };
    static constexpr Milliseconds stopRetry { 300 };
    /// A stop that was taken is not repeated for so long; the end is listed within the workers' limit.
    static constexpr Milliseconds stopSettles { 2000 };

    bool maySend(const WorkerRow& worker, Instant now) const
    {
        return this->handlers.mayAct(now) && PlacementSystem::takesWork(worker, now);
    }

    void start(const StartOrder& order, Instant now)
    {
        JobBoard& board = this->board;
        WorkerRow& worker = board.workers.at(order.worker);
        Attempt& attempt = worker.attempts.at(order.task);
        attempt.phase = AttemptPhase::Ordered;
        board.noteStarted(board.jobs.at(order.task.job));
        attempt.orderedAt = now;
        attempt.confirmedAt = now;
        constexpr auto validFor = PlacementSystem::orderValidFor;
        attempt.orderExpires = Deadline::after(now, LeaseKeeper<Link>::longestLease(validFor));
        StartAttempt start;
        start.task = order.task;
        start.run = order.run;
        start.payload = board.jobs.at(order.task.job).record.spec.payload;
        start.validUntilClockMs = this->leases.clockOf(worker, now) + PlacementSystem::orderValidFor.count();
        start.fencingToken = this->token;
        start.checkpoint = attempt.checkpoint;
        start.ticket = attempt.ticket;
        this->leases.extendLease(worker, now, PlacementSystem::orderValidFor);
        writeLog(LogLevel::Info,
            LogLine("task_start")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("policies", board.policies->version)
                .add("report_age_ms", std::chrono::duration_cast<Milliseconds>(now - worker.lastReport).count()));
        this->link.start(
            this->leases.endpointOf(worker), start, [this, alive = this->alive, order](StartOutcome outcome) {
                if (*alive)
                    this->takeStartOutcome(order, outcome);
            });
    }

    void takeStartOutcome(const StartOrder& order, StartOutcome outcome)
    {
        JobBoard& board = this->board;
        WorkerRow* worker = board.findWorker(order.worker);
        if (!worker)
            return;
        auto found = worker->attempts.find(order.task);
        if (found == worker->attempts.end() || found->second.run != order.run)
            return;
        Attempt& attempt = found->second;
        Instant now = BootClock::now();
        if (outcome == StartOutcome::Accepted) {
            attempt.isAnswered = true;
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
        if (outcome == StartOutcome::NoAnswer) {
            if (attempt.phase == AttemptPhase::Ordered)
                attempt.phase = AttemptPhase::Unanswered;
            worker->setAsideUntil = std::max(worker->setAsideUntil, Deadline::after(now, refusalPause));
            this->leases.probe(*worker, now);
            return;
        }
        if (outcome == StartOutcome::Fenced) {
            this->handlers.fenced();
            return;
        }
        bool isRefusalOfTheWorker = outcome != StartOutcome::NotSent && outcome != StartOutcome::Outdated
            && outcome != StartOutcome::NoTicket;
        if (outcome == StartOutcome::NoTicket)
            board.dropTicket(order.task, order.worker);
        if (isRefusalOfTheWorker)
            worker->setAsideUntil = std::max(worker->setAsideUntil, Deadline::after(now, refusalPause));
        if (outcome == StartOutcome::NotSent)
            worker->isSuspect = true;
        board.releaseAttempt(*worker, order.task);
        this->handlers.changed();
    }

    void orderStop(WorkerRow& worker, Attempt& attempt, Instant now)
    {
        if (attempt.phase != AttemptPhase::Stopping || attempt.stopUnderWay || !attempt.nextStop.hasPassed(now))
            return;
        attempt.stopUnderWay = true;
        attempt.nextStop = Deadline::after(now, stopRetry);
        writeLog(LogLevel::Info,
            LogLine("task_stop")
                .add("task", attempt.task.text())
                .add("run", attempt.run)
                .add("worker", worker.facts.id.string()));
        this->link.stop(this->leases.endpointOf(worker), { attempt.task, attempt.run, this->token },
            [this, alive = this->alive, id = worker.facts.id, task = attempt.task, run = attempt.run](bool isTaken) {
                if (*alive)
                    this->takeStopAnswer(id, task, run, isTaken);
            });
    }

    void orderPace(WorkerRow& worker, Attempt& attempt)
    {
        attempt.paceUnderWay = true;
        writeLog(LogLevel::Info,
            LogLine("task_pace")
                .add("task", attempt.task.text())
                .add("run", attempt.run)
                .add("worker", worker.facts.id.string())
                .add("percent", attempt.wantedPace));
        this->link.pace(this->leases.endpointOf(worker), { attempt.task, attempt.run, attempt.wantedPace, this->token },
            [this, alive = this->alive, id = worker.facts.id, task = attempt.task, run = attempt.run,
                percent = attempt.wantedPace](bool isTaken) {
                if (*alive)
                    this->takePaceAnswer(id, task, run, isTaken ? std::optional(percent) : std::nullopt);
            });
    }

    /// `taken` is the pace that the attempt has from now on; nothing if the order has to be repeated.
    void takePaceAnswer(const WorkerId& id, const TaskName& task, std::uint32_t run, std::optional<int> taken)
    {
        WorkerRow* worker = this->board.findWorker(id);
        if (!worker)
            return;
        auto found = worker->attempts.find(task);
        if (found == worker->attempts.end() || found->second.run != run)
            return;
        found->second.paceUnderWay = false;
        if (taken)
            found->second.pacePercent = *taken;
    }

    void takeStopAnswer(const WorkerId& id, const TaskName& task, std::uint32_t run, bool isTaken)
    {
        WorkerRow* worker = this->board.findWorker(id);
        if (!worker)
            return;
        Attempt* attempt = nullptr;
        if (auto found = worker->attempts.find(task); found != worker->attempts.end() && found->second.run == run)
            attempt = &found->second;
        else if (auto stray = worker->strays.find({ task, run }); stray != worker->strays.end())
            attempt = &stray->second;
        if (!attempt)
            return;
        attempt->stopUnderWay = false;
        if (!isTaken)
            return;
        // From now on the worker refuses a start that is still on its way.
        attempt->isAnswered = true;
        attempt->confirmedAt = BootClock::now();
        attempt->nextStop = Deadline::after(BootClock::now(), stopSettles);
    }

    Link& link;
    LeaseKeeper<Link>& leases;
    JobBoard& board;
    std::int64_t token;
    Handlers handlers;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
