#pragma once

#include <coordinator/workers/WorkerLink.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/Deadline.h>
#include <jobs/board/JobBoard.h>
#include <jobs/systems/ReportSystem.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Greengage {

/// Renews the workers' leases, takes in what they report, and gives up what ran on workers whose leases are over.
template <WorkerLink Link> class LeaseKeeper {
public:
    /// A worker's clock may be this much slower than ours, in hundredths, rounded up.
    static constexpr int workerClockSlackPercent = 3;
    /// Covers the time that an order spends on the network.
    static constexpr Milliseconds leaseMargin { 200 };

    struct Handlers {
        /// Whether reports can be told from what is not wanted: all jobs and workers are known.
        std::function<bool()> isComplete;
        /// The board has changed.
        std::function<void()> changed;
        /// A worker has seen a higher fencing token.
        std::function<void()> fenced;
    };

    LeaseKeeper(Link& link, JobBoard& board, std::int64_t token, Milliseconds leaseLength, Handlers handlers)
        : link(link)
        , board(board)
        , reports(board)
        , token(token)
        , leaseLength(leaseLength)
        , handlers(std::move(handlers))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~LeaseKeeper() { *this->alive = false; }

    LeaseKeeper(const LeaseKeeper&) = delete;
    LeaseKeeper& operator=(const LeaseKeeper&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        this->renewLeases(now);
        this->probeUnanswered(now);
        this->clearSilentWorkers(now);
    }

    /// How long what was ordered for a span may last by our clock.
    static Milliseconds longestLease(Milliseconds span)
    {
        return span + span * workerClockSlackPercent / 100 + leaseMargin;
    }

    void noteRebirth(WorkerRow& worker)
    {
        writeLog(LogLevel::Warning,
            LogLine("worker_reborn").add("worker", worker.facts.id.string()).add("lost", worker.attempts.size()));
        this->board.clearWorker(worker);
        worker.leaseOver = Deadline();
    }

    WorkerEndpoint endpointOf(const WorkerRow& worker) const
    {
        return { worker.facts.id, worker.facts.address, worker.facts.port };
    }

    /// The worker's clock now, by its latest report.
    std::int64_t clockOf(const WorkerRow& worker, Instant now) const
    {
        return worker.clockMs + std::chrono::duration_cast<Milliseconds>(now - worker.clockReadAt).count();
    }

    void extendLease(WorkerRow& worker, Instant now, Milliseconds length)
    {
        auto over = Deadline::after(now, LeaseKeeper::longestLease(length));
        worker.leaseOver = std::max(worker.leaseOver, over);
    }

    /// Asks a worker at once what it runs, beside the renewal that waits for an end.
    void probe(WorkerRow& worker, Instant now)
    {
        Renewal& renewal = this->renewals[worker.facts.id];
        if (renewal.isProbing)
            return;
        renewal.isProbing = true;
        RenewLease order;
        order.fencingToken = this->token;
        order.recordedEnds = worker.endsRecorded;
        this->link.renew(
            this->endpointOf(worker), order, [this, alive = this->alive, id = worker.facts.id, now](auto result) {
                if (!*alive)
                    return;
                this->renewals[id].isProbing = false;
                WorkerRow* row = this->board.findWorker(id);
                if (!row)
                    return;
                if (!result.has_value()) {
                    row->isSuspect = true;
                    return;
                }
                bool isSameLife = !result.value().bornUnixMs || result.value().bornUnixMs == row->facts.bornUnixMs;
                if (!isSameLife || !row->isReached)
                    return;
                this->logEvents(this->reports.apply(*row, result.value(), now, BootClock::now()));
                this->handlers.changed();
            });
    }

private:
    /// How long an answer to a renewal waits for an end; the longest that workers allow.
    static constexpr Milliseconds longestRenewalWait { 2000 };
    /// A lease is renewed this often at least, so that several renewals in a row may fail.
    static constexpr int renewalsPerLease = 4;
    static constexpr Milliseconds firstRenewalRetry { 100 };
    static constexpr int retriesWithoutPause = 2;
    static constexpr Milliseconds longestRenewalRetry { 1000 };
    /// The most time that a reported end waits to be stored before the lease is renewed anyway.
    static constexpr Milliseconds longestRecordWait { 300 };
    /// When a worker's report is asked for again while jobs and workers are still being read.
    static constexpr Milliseconds incompleteRetry { 25 };

    struct Renewal {
        bool isUnderWay = false;
        bool isProbing = false;
        Deadline next;
        int failures = 0;
    };

    void renewLeases(Instant now)
    {
        for (auto& [id, worker] : this->board.workers) {
            Renewal& renewal = this->renewals[id];
            bool hasUnrecorded = worker.endsRecorded < worker.endsSeen;
            if (renewal.isUnderWay || (!renewal.next.hasPassed(now)))
                continue;
            if (hasUnrecorded && now - worker.lastReport < longestRecordWait)
                continue;
            this->renew(worker, renewal, now);
        }
    }

    void renew(WorkerRow& worker, Renewal& renewal, Instant now)
    {
        RenewLease order;
        order.fencingToken = this->token;
        order.recordedEnds = worker.endsRecorded;
        // A worker that does not answer gets no longer lease, so that what it runs is given up in bounded time.
        if (worker.isReached && !worker.isSuspect) {
            order.leaseUntilClockMs = this->clockOf(worker, now) + this->leaseLength.count();
            this->extendLease(worker, now, this->leaseLength);
            order.wait = std::min(longestRenewalWait, this->leaseLength / renewalsPerLease);
        }
        renewal.isUnderWay = true;
        this->link.renew(
            this->endpointOf(worker), order, [this, alive = this->alive, id = worker.facts.id, now](auto result) {
                if (*alive)
                    this->takeReport(id, now, std::move(result));
            });
    }

    /// Settles orders that got no answer as soon as they can no longer be carried out.
    void probeUnanswered(Instant now)
    {
        for (auto& [id, worker] : this->board.workers) {
            bool isOpen = worker.isReached && !worker.isSuspect
                && std::any_of(worker.attempts.begin(), worker.attempts.end(), [now](const auto& entry) {
                       return entry.second.phase == AttemptPhase::Unanswered
                           && entry.second.orderExpires.hasPassed(now);
                   });
            if (isOpen)
                this->probe(worker, now);
        }
    }

    void takeReport(const WorkerId& id, Instant sentAt, Result<WorkerReport, WorkerFailure> result)
    {
        Renewal& renewal = this->renewals[id];
        renewal.isUnderWay = false;
        if (!this->handlers.isComplete()) {
            // Without the jobs, what runs could not be told from what is not wanted.
            renewal.next = Deadline::after(BootClock::now(), incompleteRetry);
            return;
        }
        WorkerRow* worker = this->board.findWorker(id);
        if (!worker)
            return;
        Instant now = BootClock::now();
        if (!result.has_value()) {
            this->takeRenewalFailure(*worker, renewal, result.error(), now);
            return;
        }
        const WorkerReport& report = result.value();
        if (report.bornUnixMs && worker->facts.bornUnixMs && report.bornUnixMs < worker->facts.bornUnixMs)
            return;
        if (report.bornUnixMs > worker->facts.bornUnixMs) {
            if (worker->facts.bornUnixMs)
                this->noteRebirth(*worker);
            worker->facts.bornUnixMs = report.bornUnixMs;
        }
        if (renewal.failures)
            writeLog(LogLevel::Info, LogLine("worker_regained").add("worker", id.string()));
        renewal.failures = 0;
        renewal.next = Deadline();
        worker->isSuspect = false;
        this->logEvents(this->reports.apply(*worker, report, sentAt, now));
        this->handlers.changed();
    }

    void takeRenewalFailure(WorkerRow& worker, Renewal& renewal, WorkerFailure failure, Instant now)
    {
        if (!renewal.failures)
            writeLog(LogLevel::Warning,
                LogLine("worker_lost")
                    .add("worker", worker.facts.id.string())
                    .add("reason", nameOf(failure))
                    .add("attempts", worker.attempts.size()));
        // The first failures may be lost answers, and the lease is running out.
        Milliseconds pause { 0 };
        if (renewal.failures >= retriesWithoutPause)
            pause = std::min(
                longestRenewalRetry, firstRenewalRetry * (1 << std::min(renewal.failures - retriesWithoutPause, 4)));
        renewal.failures += 1;
        renewal.next = Deadline::after(now, pause);
        worker.isSuspect = true;
        if (failure == WorkerFailure::Fenced)
            this->handlers.fenced();
        else if (failure == WorkerFailure::OtherLife)
            this->noteRebirth(worker);
    }

    /// Gives up what ran on workers whose leases are over for certain.
    void clearSilentWorkers(Instant now)
    {
        JobBoard& board = this->board;
        for (auto entry = board.workers.begin(); entry != board.workers.end();) {
            WorkerRow& worker = entry->second;
            bool isOver = worker.isSuspect && worker.leaseOver.hasPassed(now)
                && (worker.isReached || board.inheritedLeasesOver.hasPassed(now));
            if (isOver && !(worker.attempts.empty() && worker.strays.empty())) {
                writeLog(LogLevel::Warning,
                    LogLine("worker_lease_over")
                        .add("worker", worker.facts.id.string())
                        .add("lost", worker.attempts.size()));
                board.clearWorker(worker);
            }
            if (isOver && !worker.isListed && !this->renewals[entry->first].isUnderWay) {
                this->renewals.erase(entry->first);
                entry = board.workers.erase(entry);
            } else
                ++entry;
        }
    }

    void logEvents(const std::vector<AttemptEvent>& events)
    {
        for (const auto& event : events) {
            writeLog(LogLevel::Info,
                LogLine("task_attempt")
                    .add("task", event.task.text())
                    .add("run", event.run)
                    .add("worker", event.worker.string())
                    .add("outcome", nameOf(event.kind)));
        }
    }

    Link& link;
    JobBoard& board;
    ReportSystem reports;
    std::int64_t token;
    Milliseconds leaseLength;
    Handlers handlers;
    std::unordered_map<WorkerId, Renewal> renewals;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
