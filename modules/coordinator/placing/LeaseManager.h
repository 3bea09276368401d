#pragma once

#include <coordinator/leadership/OpenOrdersCodec.h>
#include <coordinator/placing/LeaseBounds.h>
#include <coordinator/placing/ReconnectSelector.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/errors/WorkScope.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/Deadline.h>
#include <jobs/systems/ReportSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Greengage {

/// Renews the workers' leases, applies their reports, and releases the attempts of workers whose leases have expired.
template <WorkerLink Link> class LeaseManager {
public:
    struct Handlers {
        /// The highest fencing token that this leader may use now.
        std::function<std::int64_t()> latestToken;
        /// Called before a report is applied. Returns whether all jobs, workers and inherited attempts are known, so
        /// that orphaned attempts can be recognised in it.
        std::function<bool()> prepareForReports;
        /// The job tables have changed.
        std::function<void()> onChange;
        /// A worker has seen a higher fencing token.
        std::function<void()> onFenced;
    };

    /// `leaseDuration` is the lease that workers are asked for, `longestGrantedLease` the longest that they grant.
    LeaseManager(
        Link& link, JobTables& tables, Milliseconds leaseDuration, Milliseconds longestGrantedLease, Handlers handlers)
        : link(link)
        , tables(tables)
        , reports(tables)
        , leaseDuration(leaseDuration)
        , bounds(tables, leaseDuration, longestGrantedLease)
        , handlers(std::move(handlers))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~LeaseManager() { *this->alive = false; }

    LeaseManager(const LeaseManager&) = delete;
    LeaseManager& operator=(const LeaseManager&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        this->renewLeases(now);
        this->probeUnanswered(now);
        this->clearExpiredWorkers(now);
    }

    /// Applies that the worker has started again under its id, as of `incarnationUnixMs`.
    void handleRestart(WorkerRow& worker, std::int64_t incarnationUnixMs, Instant now)
    {
        std::size_t earlier = worker.attempts.size();
        this->tables.restartWorker(worker, now);
        writeLog(LogLevel::Warning,
            LogLine("worker_restarted")
                .add("worker", worker.info.id.string())
                .add("from", worker.info.incarnationUnixMs)
                .add("to", incarnationUnixMs)
                .add("lost", earlier - worker.attempts.size())
                .add("in_doubt", worker.attempts.size() + worker.orphans.size()));
        worker.formerIncarnations.insert(worker.info.incarnationUnixMs);
        worker.formerIncarnations.erase(incarnationUnixMs);
        worker.info.incarnationUnixMs = incarnationUnixMs;
        worker.hasRestarted = true;
        worker.needsHigherToken = true;
        // An order or a renewal that was meant for the former incarnation carries a time on its clock, which is far
        // ahead on the clock of the new one. So the new one may hold the longest lease, for later attempts as well.
        worker.longestLeaseExpires = this->bounds.longestExpiry(now);
        worker.leaseExpires = worker.longestLeaseExpires;
        // The answer to a renewal under way would tell of the former incarnation.
        Renewal& renewal = this->renewals[worker.info.id];
        renewal.number += 1;
        renewal.isUnderWay = false;
        renewal.next = Deadline();
    }

    /// The fencing token for the next order to the worker.
    std::int64_t tokenFor(WorkerRow& worker) const
    {
        bool mayRaise = worker.needsHigherToken && this->handlers.latestToken() > worker.fencingToken;
        if (!worker.fencingToken || mayRaise) {
            worker.fencingToken = this->handlers.latestToken();
            worker.needsHigherToken = false;
        }
        return worker.fencingToken;
    }

    WorkerEndpoint endpointOf(const WorkerRow& worker) const
    {
        return { worker.info.id, worker.info.address, worker.info.port };
    }

    /// The worker's clock now in milliseconds, extrapolated from its latest report.
    std::int64_t clockOf(const WorkerRow& worker, Instant now) const
    {
        return worker.clockMs + std::chrono::duration_cast<Milliseconds>(now - worker.clockReadAt).count();
    }

    /// Whether an answer with this time on the worker's clock can only come from the incarnation that reports have
    /// shown. Clocks count from the start of an incarnation, so one that has started since the latest report was
    /// requested would be younger.
    bool isFromKnownIncarnation(const WorkerRow& worker, std::int64_t clockMs, Instant now) const
    {
        std::int64_t elapsed = std::chrono::ceil<Milliseconds>(now - worker.clockRequestedAt).count();
        return worker.isReached && clockMs > elapsed && clockMs >= worker.clockMs
            && clockMs <= worker.clockMs + elapsed;
    }

    /// Records that a lease of this length was granted at `now`.
    void extendLease(WorkerRow& worker, Instant now, Milliseconds length) { this->bounds.extend(worker, now, length); }

    /// Applies that a call to the worker got no answer. It may have started again, so the next call carries a higher
    /// token, from which on the worker refuses whatever was sent before and is held up.
    static void suspect(WorkerRow& worker)
    {
        worker.isSuspect = true;
        worker.needsHigherToken = true;
    }

    /// Has a worker called without a pause, because the directory lists it again.
    void handleReturn(const WorkerRow& worker) { this->renewals[worker.info.id].next = Deadline(); }

    /// Asks a worker for an immediate report, besides the renewal that waits for an end.
    void probe(WorkerRow& worker, Instant now)
    {
        Renewal& renewal = this->renewals[worker.info.id];
        if (renewal.isProbing)
            return;
        renewal.isProbing = true;
        RenewLease order;
        order.fencingToken = this->tokenFor(worker);
        this->link.renew(
            this->endpointOf(worker), order, [this, alive = this->alive, id = worker.info.id, now](auto result) {
                if (!*alive)
                    return;
                this->renewals[id].isProbing = false;
                WorkerRow* row = this->tables.findWorker(id);
                if (!row)
                    return;
                if (!result.has_value()) {
                    LeaseManager::suspect(*row);
                    return;
                }
                bool isSameIncarnation = !result.value().incarnationUnixMs
                    || result.value().incarnationUnixMs == row->info.incarnationUnixMs;
                // The next renewal shows the restart. It must not acknowledge ends of the former incarnation.
                if (!isSameIncarnation)
                    LeaseManager::suspect(*row);
                if (!isSameIncarnation || !row->isReached)
                    return;
                WorkScope scope(WorkKind::Worker, id.string());
                this->applyReport(*row, result.value(), now, BootClock::now());
                this->handlers.onChange();
            });
    }

    /// Describes, for the next leader, the start orders that may still be under way and the leases of workers that do
    /// not answer.
    OpenOrders describeOrders(Instant now) const
    {
        OpenOrders orders;
        this->describeStarts(orders, now, true);
        this->describeStarts(orders, now, false);
        for (const auto& [id, worker] : this->tables.workers) {
            // Also without attempts: that it gave them up may not be stored yet.
            if (LeaseManager::isUnresponsive(worker))
                orders.leases[id] = this->bounds.expiryOf(worker);
        }
        return orders;
    }

private:
    /// How long an answer to a renewal waits for an attempt to end; the longest that workers allow.
    static constexpr Milliseconds longestRenewalWait { 2000 };
    /// Renewals in the length of a lease, at least, so that several in a row may fail.
    static constexpr int renewalsPerLease = 4;
    static constexpr Milliseconds firstRenewalRetry { 100 };
    static constexpr int retriesWithoutPause = 2;
    static constexpr Milliseconds longestRenewalRetry { 1000 };
    /// The longest time that a renewal waits for a reported end to be stored, and for start orders to be answered.
    static constexpr Milliseconds longestRecordWait { 300 };
    /// Delay before a report is requested again while jobs and workers are still being loaded.
    static constexpr Milliseconds incompleteRetry { 25 };
    /// Delay before a report is requested again that lists ends which cannot be acknowledged yet.
    static constexpr Milliseconds unacknowledgedPause { 25 };
    static constexpr Milliseconds unreadableLinePeriod { 10'000 };

    struct Renewal {
        /// Counts the renewals sent, so that the answer to one that no longer matters is recognised.
        std::uint64_t number = 0;
        bool isUnderWay = false;
        bool isProbing = false;
        Instant sentAt;
        Deadline next;
        int failures = 0;
        /// Why the latest renewal failed, if it did.
        std::optional<WorkerFailure> lastFailure;
        /// Unreadable ends up to this number have been logged.
        std::uint64_t loggedUnreadableEnd = 0;
        Deadline nextUnreadableLine;
    };

    void renewLeases(Instant now)
    {
        std::vector<ReconnectSelector::Candidate> disconnected;
        for (auto& [id, worker] : this->tables.workers) {
            Renewal& renewal = this->renewals[id];
            if (renewal.isUnderWay)
                continue;
            if (!renewal.next.hasPassed(now)) {
                if (renewal.lastFailure == WorkerFailure::NotConnected && this->tables.mayCopyArrive(worker, now))
                    disconnected.push_back({ id, worker.openCopies.mayArrive(now), renewal.sentAt });
                continue;
            }
            // Until then, the renewal would acknowledge not all of the reported ends, or none.
            bool isEarly = worker.storedEnds < worker.appliedEnds || LeaseManager::awaitsStartAnswer(worker);
            if (isEarly && now - worker.lastReport < longestRecordWait)
                continue;
            this->renew(worker, renewal, now);
        }
        // A new incarnation refuses the open copies of start orders once a call has reached it before them.
        for (const auto& id : this->reconnects.select(std::move(disconnected), now))
            this->renew(this->tables.workers.at(id), this->renewals[id], now);
    }

    void renew(WorkerRow& worker, Renewal& renewal, Instant now)
    {
        RenewLease order;
        order.fencingToken = this->tokenFor(worker);
        // A worker that may have started again may have ends of its own under the same numbers.
        order.storedEnds = worker.isSuspect || this->mayHaveUnreadEnds(worker, now) ? 0 : worker.storedEnds;
        // The lease of an unresponsive worker is not extended, so that its attempts are released in bounded time.
        if (worker.isReached && !worker.isSuspect) {
            order.leaseUntilClockMs = this->clockOf(worker, now) + this->leaseDuration.count();
            this->bounds.extend(worker, now, this->leaseDuration);
            if (!LeaseManager::hasAttemptsInDoubt(worker))
                order.wait = std::min(longestRenewalWait, this->leaseDuration / renewalsPerLease);
        }
        renewal.isUnderWay = true;
        renewal.number += 1;
        renewal.sentAt = now;
        this->link.renew(this->endpointOf(worker), order,
            [this, alive = this->alive, id = worker.info.id, number = renewal.number, token = order.fencingToken, now](
                auto result) {
                if (*alive)
                    this->handleReport(id, number, token, now, std::move(result));
            });
    }

    /// Whether the worker has ever reported an end, and no answer to a start order that was sent to it is known yet.
    static bool awaitsStartAnswer(const WorkerRow& worker)
    {
        return worker.appliedEnds > 0
            && std::any_of(worker.attempts.begin(), worker.attempts.end(), [](const auto& entry) {
                   return entry.second.phase == AttemptPhase::Ordered && entry.second.startOrdersEnded == 0;
               });
    }

    /// Whether an incarnation of the worker of which no report has told may have carried out a start order, so that it
    /// may have ends that nobody has read.
    bool mayHaveUnreadEnds(const WorkerRow& worker, Instant now) const
    {
        Instant latest = now - this->bounds.longestAskedLease();
        auto mayStartAgain = [latest](const auto& entry) {
            const Attempt& attempt = entry.second;
            bool mayBeUnderWay = !attempt.isListed || (attempt.startOrdersSent > 1 && attempt.orderedAt > latest);
            return attempt.mayHaveBeenSent() && mayBeUnderWay;
        };
        return std::any_of(worker.attempts.begin(), worker.attempts.end(), mayStartAgain)
            || std::any_of(worker.orphans.begin(), worker.orphans.end(), mayStartAgain);
    }

    static bool hasAttemptsInDoubt(const WorkerRow& worker)
    {
        auto isInDoubt = [](const auto& entry) { return entry.second.isInDoubt(); };
        return std::any_of(worker.attempts.begin(), worker.attempts.end(), isInDoubt)
            || std::any_of(worker.orphans.begin(), worker.orphans.end(), isInDoubt);
    }

    /// Probes workers with unanswered start orders that have expired, to learn whether the attempts run.
    void probeUnanswered(Instant now)
    {
        for (auto& [id, worker] : this->tables.workers) {
            bool hasExpiredOrder = worker.isReached && !worker.isSuspect
                && std::any_of(worker.attempts.begin(), worker.attempts.end(), [now](const auto& entry) {
                       return entry.second.phase == AttemptPhase::Unanswered
                           && entry.second.orderExpires.hasPassed(now);
                   });
            if (hasExpiredOrder)
                this->probe(worker, now);
        }
    }

    /// Applies the answer to the renewal with this number, which carried this fencing token.
    void handleReport(const WorkerId& id, std::uint64_t number, std::int64_t token, Instant sentAt,
        Result<WorkerReport, WorkerFailure> result)
    {
        auto found = this->renewals.find(id);
        if (found == this->renewals.end() || found->second.number != number)
            return;
        Renewal& renewal = found->second;
        renewal.isUnderWay = false;
        if (!this->handlers.prepareForReports()) {
            // Before all jobs and workers are loaded, attempts of jobs that are not loaded yet would look orphaned.
            renewal.next = Deadline::after(BootClock::now(), incompleteRetry);
            return;
        }
        WorkerRow* worker = this->tables.findWorker(id);
        if (!worker)
            return;
        WorkScope scope(WorkKind::Worker, id.string());
        Instant now = BootClock::now();
        if (!result.has_value()) {
            // A probe may have carried a higher token of this leader and may have overtaken the renewal.
            bool isFencedByOther = result.error() == WorkerFailure::Fenced && token == worker->fencingToken;
            this->handleRenewalFailure(*worker, renewal, result.error(), now);
            if (isFencedByOther)
                this->handlers.onFenced();
            return;
        }
        const WorkerReport& report = result.value();
        // Answers to renewals that were sent before a restart was known are left out by their number, so another start
        // time is that of a later incarnation, even if the worker's clock was set back and it looks earlier.
        if (report.incarnationUnixMs && report.incarnationUnixMs != worker->info.incarnationUnixMs) {
            if (worker->info.incarnationUnixMs)
                this->handleRestart(*worker, report.incarnationUnixMs, now);
            worker->info.incarnationUnixMs = report.incarnationUnixMs;
        }
        if (renewal.failures)
            writeLog(LogLevel::Info,
                LogLine("lease_renewal_recovered")
                    .add("worker", id.string())
                    .add("failures", renewal.failures)
                    .add("token", token)
                    .add("open_copies", this->tables.mayCopyArrive(*worker, now)));
        renewal.failures = 0;
        renewal.lastFailure.reset();
        worker->isSuspect = false;
        this->applyReport(*worker, report, sentAt, now);
        // Ends that cannot be acknowledged yet keep answers from waiting for others.
        bool isAnsweredAtOnce = !report.ended.empty() && this->mayHaveUnreadEnds(*worker, now);
        renewal.next = isAnsweredAtOnce ? Deadline::after(now, unacknowledgedPause) : Deadline();
        this->handlers.onChange();
    }

    void applyReport(WorkerRow& worker, const WorkerReport& report, Instant sentAt, Instant now)
    {
        if (!worker.isReached)
            this->bounds.boundInherited(worker, now);
        this->logUnreadableRows(worker, report.unreadable, now);
        this->logEvents(this->reports.apply(worker, report, sentAt, now));
    }

    /// Logs rows that are left out. A worker repeats them in each report, so new ends are logged at once, since they
    /// are acknowledged, and the others from time to time.
    void logUnreadableRows(const WorkerRow& worker, const UnreadableRows& rows, Instant now)
    {
        if (!rows.running && !rows.ended)
            return;
        Renewal& renewal = this->renewals[worker.info.id];
        if (rows.lastEnd == renewal.loggedUnreadableEnd && !renewal.nextUnreadableLine.hasPassed(now))
            return;
        renewal.loggedUnreadableEnd = rows.lastEnd;
        renewal.nextUnreadableLine = Deadline::after(now, unreadableLinePeriod);
        writeLog(LogLevel::Warning,
            LogLine("worker_report_rows_unreadable")
                .add("worker", worker.info.id.string())
                .add("running", rows.running)
                .add("ended", rows.ended)
                .add("last_end", rows.lastEnd)
                .add("example", rows.example));
    }

    void handleRenewalFailure(WorkerRow& worker, Renewal& renewal, WorkerFailure failure, Instant now)
    {
        if (!renewal.failures)
            writeLog(LogLevel::Warning,
                LogLine("lease_renewal_failed")
                    .add("worker", worker.info.id.string())
                    .add("reason", nameOf(failure))
                    .add("attempts", worker.attempts.size())
                    .add("open_copies", this->tables.mayCopyArrive(worker, now)));
        // The first failures may be lost answers, and the lease is about to expire.
        Milliseconds pause { 0 };
        if (renewal.failures >= retriesWithoutPause)
            pause = std::min(
                longestRenewalRetry, firstRenewalRetry * (1 << std::min(renewal.failures - retriesWithoutPause, 4)));
        renewal.failures += 1;
        renewal.lastFailure = failure;
        renewal.next = Deadline::after(now, pause);
        LeaseManager::suspect(worker);
        if (failure == WorkerFailure::OtherIncarnation)
            this->handleReplacement(worker, now);
    }

    /// Another worker listens at the address, so this one has ended. It also refuses the orders that are under way.
    void handleReplacement(WorkerRow& worker, Instant now)
    {
        writeLog(LogLevel::Warning,
            LogLine("worker_replaced").add("worker", worker.info.id.string()).add("lost", worker.attempts.size()));
        this->tables.clearWorker(worker, ReleaseReason::WorkerReplaced, now);
        worker.leaseExpires = Deadline();
        worker.longestLeaseExpires = Deadline();
    }

    static bool isUnresponsive(const WorkerRow& worker) { return worker.isSuspect || !worker.isReached; }

    /// Describes the start orders of long-running tasks, or of all others, as far as there is space for them.
    void describeStarts(OpenOrders& orders, Instant now, bool isLongRunning) const
    {
        Instant latest = now - this->bounds.longestAskedLease();
        for (const auto& [id, worker] : this->tables.workers) {
            for (const auto& [task, attempt] : worker.attempts) {
                // That the start of another task was carried out is not stored.
                bool isOpen = isLongRunning ? !attempt.isSettled() || attempt.orderedAt > latest
                                            : LeaseManager::isUnresponsive(worker) || !attempt.isAnswered;
                bool isTold = attempt.isLongRunning == isLongRunning && attempt.mayHaveBeenSent() && isOpen;
                if (isTold && orders.starts.size() < OpenOrdersCodec::maxRows)
                    orders.starts[{ task, attempt.run }] = std::max(attempt.orderedAt, attempt.lastSentAt);
            }
        }
    }

    static bool hasAttempts(const WorkerRow& worker) { return !worker.attempts.empty() || !worker.orphans.empty(); }

    static ReleaseReason lossReasonOf(const WorkerRow& worker)
    {
        return worker.hasEnded ? ReleaseReason::VmEnded : ReleaseReason::LeaseExpired;
    }

    /// Releases the lost attempts of an unresponsive worker. The others stay: a worker that starts again under its id
    /// may carry out their start orders.
    void releaseLost(WorkerRow& worker, Instant now)
    {
        std::size_t lost = this->tables.releaseAttemptsIf(worker, LeaseManager::lossReasonOf(worker), now,
            [&](const Attempt& attempt) { return this->bounds.isLost(worker, attempt, now); });
        if (lost)
            writeLog(LogLevel::Warning,
                LogLine(worker.hasEnded ? "worker_ended" : "worker_lease_expired")
                    .add("worker", worker.info.id.string())
                    .add("lost", lost)
                    .add("unsettled", worker.attempts.size() + worker.orphans.size()));
    }

    /// Releases the attempts of unresponsive workers that have ended with their VMs, or whose leases have expired.
    void clearExpiredWorkers(Instant now)
    {
        JobTables& tables = this->tables;
        for (auto entry = tables.workers.begin(); entry != tables.workers.end();) {
            WorkerRow& worker = entry->second;
            bool isOver = worker.isSuspect && this->bounds.areAllLost(worker, now);
            if (isOver && LeaseManager::hasAttempts(worker)) {
                writeLog(LogLevel::Warning,
                    LogLine(worker.hasEnded ? "worker_ended" : "worker_longest_lease_expired")
                        .add("worker", worker.info.id.string())
                        .add("lost", worker.attempts.size()));
                tables.clearWorker(worker, LeaseManager::lossReasonOf(worker), now);
            } else if (worker.isSuspect)
                this->releaseLost(worker, now);
            worker.isGone = isOver && !worker.isListed;
            if (worker.isGone && !this->mustBeCalled(worker, now)) {
                this->renewals.erase(entry->first);
                entry = tables.workers.erase(entry);
            } else
                ++entry;
        }
    }

    /// Whether a call to the worker is under way, or a copy of a start order may reach the worker if it starts again.
    /// At an address where another worker answers, copies are refused.
    bool mustBeCalled(const WorkerRow& worker, Instant now)
    {
        const Renewal& renewal = this->renewals[worker.info.id];
        return renewal.isUnderWay
            || (this->tables.mayCopyArrive(worker, now) && renewal.lastFailure != WorkerFailure::OtherIncarnation);
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
    JobTables& tables;
    ReportSystem reports;
    Milliseconds leaseDuration;
    LeaseBounds bounds;
    Handlers handlers;
    std::unordered_map<WorkerId, Renewal> renewals;
    ReconnectSelector reconnects;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
