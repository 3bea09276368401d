#pragma once

#include <coordinator/fleet/FleetDriver.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/CoordinatorLimits.h>
#include <coordinator/placing/CrewKeeper.h>
#include <coordinator/placing/EndedJobCleaner.h>
#include <coordinator/placing/ProgressWriter.h>
#include <coordinator/store/PrefixMirror.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/time/UnixClock.h>
#include <jobs/board/JobBoard.h>
#include <jobs/codec/CompactJson.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/PoolLoad.h>
#include <jobs/systems/ReportSystem.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Greengage {

/// Places the tasks of all open jobs while this daemon holds the leadership: renews the workers' leases, takes in what
/// they report, has it stored, and gives orders. Everything it needs after a change of holder is in the store and in
/// the workers' reports.
template <SharedStore Store, WorkerLink Link, MachineService Machines> class Coordinator {
public:
    Coordinator(event_base& base, Store& store, Link& link, Machines& machines, DaemonId daemon,
        IncarnationId incarnation, const CoordinatorLimits& limits)
        : base(base)
        , store(store)
        , link(link)
        , machines(machines)
        , limits(limits)
        , leadership(base, store, std::move(daemon), std::move(incarnation),
              { [this](const Term& term) { this->begin(term); }, [this] { this->end(); },
                  [this] { return this->beatText(); }, [this](const std::string& text) { this->takeBeat(text); } })
        , timer(base, [this] { this->tick(); })
    {
    }

    Coordinator(const Coordinator&) = delete;
    Coordinator& operator=(const Coordinator&) = delete;

    void start() { this->leadership.start(); }
    void resign() { this->leadership.resign(); }
    bool isPlacing() const { return this->leadership.isHolder(); }

    /// Puts a version of the operators' decisions in force.
    void setPolicies(std::shared_ptr<const JobPolicies> newPolicies)
    {
        this->policies = std::move(newPolicies);
        if (this->session)
            this->session->board.policies = this->policies;
        this->hurry();
    }

    /// The whole directory of workers; those that are not in it are not listed any more.
    void setWorkers(const std::vector<WorkerFacts>& facts)
    {
        if (!this->session)
            return;
        for (auto& [id, worker] : this->session->board.workers)
            worker.isListed = false;
        for (const auto& worker : facts)
            this->putWorker(worker);
        this->session->areWorkersListed = true;
    }

    /// A worker's entry in the directory is new or has changed.
    void putWorker(const WorkerFacts& facts)
    {
        if (!this->session)
            return;
        auto [entry, isNew] = this->session->board.workers.try_emplace(facts.id);
        WorkerRow& worker = entry->second;
        if (isNew)
            writeLog(LogLevel::Info,
                LogLine("worker_listed").add("worker", facts.id.string()).add("pool", facts.pool.string()));
        else if (facts.bornUnixMs > worker.facts.bornUnixMs)
            this->noteRebirth(worker);
        else if (facts.bornUnixMs < worker.facts.bornUnixMs)
            return;
        if (facts.draining && !worker.facts.draining)
            writeLog(LogLevel::Info, LogLine("worker_draining").add("worker", facts.id.string()));
        worker.facts = facts;
        worker.isListed = true;
        this->hurry();
    }

    /// A worker's entry is gone from the directory.
    void dropWorker(const WorkerId& id)
    {
        if (!this->session)
            return;
        if (auto* worker = this->session->board.findWorker(id)) {
            worker->isListed = false;
            writeLog(LogLevel::Info, LogLine("worker_unlisted").add("worker", id.string()));
        }
    }

    /// Calls back when the directory of workers is needed, with true, or not any more, with false.
    void onDirectoryWanted(std::function<void(bool)> callback) { this->directoryWanted = std::move(callback); }

    /// The waves that operators have ordered.
    void setWaves(std::map<std::int64_t, UpkeepWave> ordered) { this->waves = std::move(ordered); }

    /// Adds to a commit what tells the operators how far a wave is.
    void onWavePublished(typename FleetDriver<Store, Machines>::Publish callback)
    {
        this->publishWave = std::move(callback);
    }

    /// The number of accepted jobs of a queue that have not started, as the holder last said.
    std::uint64_t waitingJobs(const QueueId& queue) const
    {
        auto found = this->waitingByQueue.find(queue);
        return found == this->waitingByQueue.end() ? 0 : found->second;
    }

    /// The tables of the holder; null in other daemons.
    JobBoard* board() { return this->session ? &this->session->board : nullptr; }
    Leadership<Store>& leadershipState() { return this->leadership; }

private:
    static constexpr Milliseconds tickPeriod { 25 };
    /// Delay from a report to the round of decisions that it causes, so that reports that come together share one.
    static constexpr Milliseconds hurryDelay { 2 };
    /// How long an answer to a renewal waits for an end; the longest that workers allow.
    static constexpr Milliseconds longestRenewalWait { 2000 };
    /// A lease is renewed this often at least, so that several renewals in a row may fail.
    static constexpr int renewalsPerLease = 4;
    /// Ends are stored in rounds at least this far apart.
    static constexpr Milliseconds flushPeriod { 40 };
    static constexpr Milliseconds firstRenewalRetry { 100 };
    static constexpr int retriesWithoutPause = 2;
    static constexpr Milliseconds longestRenewalRetry { 1000 };
    /// The most time that a reported end waits to be stored before the lease is renewed anyway.
    static constexpr Milliseconds longestRecordWait { 300 };
    static constexpr Milliseconds stopRetry { 300 };
    static constexpr Milliseconds jobsWatchWait { 2000 };
    /// A worker's clock may be this much slower than ours, in hundredths, rounded up.
    static constexpr int workerClockSlackPercent = 3;
    /// Covers the time that an order spends on the network.
    static constexpr Milliseconds leaseMargin { 200 };

    struct Renewal {
        bool isUnderWay = false;
        bool isProbing = false;
        Deadline next;
        int failures = 0;
    };

    /// What exists only while this daemon holds the leadership.
    struct Session {
        Session(event_base& base, Store& store, Leadership<Store>& leadership,
            typename PrefixMirror<Store>::Handlers handlers, std::function<void(JobRow&)> stored,
            std::function<void()> recorded, Machines& machines, Deadline ordersFrom,
            typename FleetDriver<Store, Machines>::Publish publishWave, const CoordinatorLimits& limits)
            : jobsMirror(base, store, StoreKeys::jobs, jobsWatchWait, std::move(handlers))
            , writer(store, leadership, board, std::move(stored), std::move(recorded))
            , reports(board)
            , placement(board)
            , crew(store, leadership, board)
            , cleaner(store, leadership, limits.keepEndedFor, BootClock::now())
            , fleet(store, machines, leadership, board, ordersFrom, std::move(publishWave))
        {
        }

        JobBoard board;
        PrefixMirror<Store> jobsMirror;
        ProgressWriter<Store> writer;
        ReportSystem reports;
        PlacementSystem placement;
        CrewKeeper<Store> crew;
        EndedJobCleaner<Store> cleaner;
        FleetDriver<Store, Machines> fleet;
        std::unordered_map<WorkerId, Renewal> renewals;
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
        /// Tasks that an earlier holder placed, until the workers are known as well.
        std::map<JobId, std::map<TaskName, TaskPlacement>> inherited;
        bool areJobsLoaded = false;
        bool areWorkersListed = false;

        /// Calls under way may still be answered, when another session has begun.
        void close()
        {
            *this->alive = false;
            this->jobsMirror.close();
            this->writer.close();
            this->crew.close();
            this->cleaner.close();
            this->fleet.close();
        }

        /// Whether all that may run anywhere is known, but for workers that have not been reached.
        bool isComplete() const { return this->areJobsLoaded && this->areWorkersListed && this->crew.isLoaded(); }

        Deadline nextFlush;
        Deadline nextPoolLog;
        std::int64_t token = 0;
    };

    void begin(const Term& term)
    {
        typename PrefixMirror<Store>::Handlers handlers {
            [this](const KvListing& listing) { this->takeJobs(listing); },
            [this](const KvListing& listing) { this->takeJobs(listing); },
            [](KvFailure) {},
        };
        this->session = std::make_unique<Session>(
            this->base, this->store, this->leadership, std::move(handlers),
            [this](JobRow& job) { this->startPlanned(job); }, [this] { this->hurry(); }, this->machines,
            Deadline::after(BootClock::now(), this->limits.dutyTerm), this->publishWave, this->limits);
        JobBoard& board = this->session->board;
        board.policies = this->policies;
        board.lowestRun = 1 + term.epoch * runsPerEpoch;
        auto lease = this->limits.leaseLength;
        board.inheritedLeasesOver
            = Deadline(term.earlierOrdersOver.at() + lease + lease * workerClockSlackPercent / 100 + leaseMargin);
        this->session->token = term.fencingToken;
        this->session->jobsMirror.start();
        if (this->directoryWanted)
            this->directoryWanted(true);
        this->timer.schedule(Microseconds(0));
    }

    /// Attempt numbers of one holder; more starts of one task than any holder makes.
    static constexpr std::uint32_t runsPerEpoch = 1000;

    void end()
    {
        if (!this->session)
            return;
        this->session->close();
        // The session is still on the stack of its own callbacks, so it is destroyed from the loop.
        this->retired.push_back(std::move(this->session));
        if (this->directoryWanted)
            this->directoryWanted(false);
        this->timer.schedule(Microseconds(0));
    }

    void hurry()
    {
        if (this->session && !this->isHurrying) {
            this->isHurrying = true;
            this->timer.schedule(hurryDelay);
        }
    }

    void tick()
    {
        this->retired.clear();
        if (!this->session)
            return;
        Instant now = BootClock::now();
        this->isHurrying = false;
        if (this->leadership.mayAct(now)) {
            this->renewLeases(now);
            this->probeUnanswered(now);
            this->clearSilentWorkers(now);
            this->session->crew.tick();
            this->session->cleaner.tick(now);
            if (this->session->isComplete()) {
                this->inheritPlacements(now);
                this->session->fleet.tick(this->waves, now);
                this->placeTasks(now);
                this->orderStops(now);
                this->logPools(now);
            }
        }
        if (this->session->nextFlush.hasPassed(now)) {
            this->session->nextFlush = Deadline::after(now, flushPeriod);
            this->session->writer.flush();
        }
        if (this->session && !this->isHurrying)
            this->timer.schedule(tickPeriod);
    }

    // Jobs

    void takeJobs(const KvListing& listing)
    {
        // Jobs come before what hangs on them, whatever the order of the keys.
        std::map<JobId, JobProgress> progress;
        std::map<JobId, std::int64_t> progressRevisions;
        for (const auto& item : listing.items) {
            auto [job, part] = splitKey(item.key);
            // What this daemon has written itself comes back too.
            if (part != "progress" || item.isRemoved || this->session->board.jobs.contains(job))
                continue;
            if (auto decoded = this->progressCodec.decode(job, item.value)) {
                progress[job] = std::move(*decoded);
                progressRevisions[job] = item.revision;
            }
        }
        for (const auto& item : listing.items) {
            auto [id, part] = splitKey(item.key);
            if (part.empty() && !item.isRemoved)
                this->takeJob(id, item, progress[id], progressRevisions[id]);
        }
        for (const auto& item : listing.items) {
            auto [id, part] = splitKey(item.key);
            if (part == "cancel" && !item.isRemoved)
                this->takeCancellation(id);
        }
        this->session->areJobsLoaded = true;
        this->hurry();
    }

    static std::pair<JobId, std::string> splitKey(const std::string& key)
    {
        std::string rest = key.substr(std::string_view(StoreKeys::jobs).size());
        auto slash = rest.find('/');
        if (slash == std::string::npos)
            return { JobId(rest), "" };
        return { JobId(rest.substr(0, slash)), rest.substr(slash + 1) };
    }

    void takeJob(const JobId& id, const KvItem& item, const JobProgress& progress, std::int64_t progressRevision)
    {
        JobBoard& board = this->session->board;
        if (board.jobs.contains(id) || board.forgotten.contains(id))
            return;
        auto record = this->recordCodec.decode(item.value);
        if (!record || record->id != id) {
            writeLog(LogLevel::Error, LogLine("stored_job_unreadable").add("job", id.string()));
            return;
        }
        writeLog(LogLevel::Info,
            LogLine("job_taken_up")
                .add("job", id.string())
                .add("queue", record->queue.string())
                .add("team", record->team.string())
                .add("revision", item.revision)
                .add("placed_tasks", progress.placements.size())
                .add("done_tasks", progress.done.size())
                .add("age_ms", unixMilliseconds() - record->receivedUnixMs));
        board.addJob(std::move(*record), progress);
        JobRow& job = board.jobs.at(id);
        if (auto queue = board.policies->queues.find(job.record.queue); queue != board.policies->queues.end())
            this->session->fleet.noteArrival(queue->second.pool, job.record.spec, BootClock::now());
        job.recordRevision = item.revision;
        job.progressRevision = progressRevision;
        if (!progress.placements.empty())
            this->session->inherited.emplace(id, progress.placements);
    }

    void takeCancellation(const JobId& id)
    {
        JobBoard& board = this->session->board;
        auto job = board.jobs.find(id);
        if (job == board.jobs.end() || job->second.hasEnded())
            return;
        writeLog(LogLevel::Info,
            LogLine("job_cancelled").add("job", id.string()).add("active_tasks", job->second.activeTasks));
        board.endJob(job->second, JobState::Cancelled);
    }

    // Workers

    void noteRebirth(WorkerRow& worker)
    {
        writeLog(LogLevel::Warning,
            LogLine("worker_reborn").add("worker", worker.facts.id.string()).add("lost", worker.attempts.size()));
        this->session->board.clearWorker(worker);
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
        auto over = Deadline::after(now, length + length * workerClockSlackPercent / 100 + leaseMargin);
        worker.leaseOver = std::max(worker.leaseOver, over);
    }

    void renewLeases(Instant now)
    {
        for (auto& [id, worker] : this->session->board.workers) {
            Renewal& renewal = this->session->renewals[id];
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
        order.fencingToken = this->session->token;
        order.recordedEnds = worker.endsRecorded;
        // A worker that does not answer gets no longer lease, so that what it runs is given up in bounded time.
        if (worker.isReached && !worker.isSuspect) {
            order.leaseUntilClockMs = this->clockOf(worker, now) + this->limits.leaseLength.count();
            this->extendLease(worker, now, this->limits.leaseLength);
            order.wait = std::min(longestRenewalWait, this->limits.leaseLength / renewalsPerLease);
        }
        renewal.isUnderWay = true;
        this->link.renew(this->endpointOf(worker), order,
            [this, alive = this->session->alive, id = worker.facts.id, now](auto result) {
                if (*alive)
                    this->takeReport(id, now, std::move(result));
            });
    }

    /// Asks a worker at once what it runs, beside the renewal that waits for an end.
    void probe(WorkerRow& worker, Instant now)
    {
        Renewal& renewal = this->session->renewals[worker.facts.id];
        if (renewal.isProbing)
            return;
        renewal.isProbing = true;
        RenewLease order;
        order.fencingToken = this->session->token;
        order.recordedEnds = worker.endsRecorded;
        this->link.renew(this->endpointOf(worker), order,
            [this, alive = this->session->alive, id = worker.facts.id, now](auto result) {
                if (!*alive)
                    return;
                this->session->renewals[id].isProbing = false;
                WorkerRow* row = this->session->board.findWorker(id);
                if (!row)
                    return;
                if (!result.has_value()) {
                    row->isSuspect = true;
                    return;
                }
                bool isSameLife = !result.value().bornUnixMs || result.value().bornUnixMs == row->facts.bornUnixMs;
                if (!isSameLife || !row->isReached)
                    return;
                this->logEvents(this->session->reports.apply(*row, result.value(), now, BootClock::now()));
                this->hurry();
            });
    }

    /// Settles orders that got no answer as soon as they can no longer be carried out.
    void probeUnanswered(Instant now)
    {
        for (auto& [id, worker] : this->session->board.workers) {
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
        Renewal& renewal = this->session->renewals[id];
        renewal.isUnderWay = false;
        if (!this->session->isComplete()) {
            // Without the jobs, what runs could not be told from what is not wanted.
            renewal.next = Deadline::after(BootClock::now(), tickPeriod);
            return;
        }
        WorkerRow* worker = this->session->board.findWorker(id);
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
        this->logEvents(this->session->reports.apply(*worker, report, sentAt, now));
        this->hurry();
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
            this->leadership.stepDown("a worker knows a higher token");
        else if (failure == WorkerFailure::OtherLife)
            this->noteRebirth(worker);
    }

    /// Gives up what ran on workers whose leases are over for certain.
    void clearSilentWorkers(Instant now)
    {
        JobBoard& board = this->session->board;
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
            if (isOver && !worker.isListed && !this->session->renewals[entry->first].isUnderWay) {
                this->session->renewals.erase(entry->first);
                entry = board.workers.erase(entry);
            } else
                ++entry;
        }
    }

    // Orders

    void inheritPlacements(Instant now)
    {
        for (const auto& [id, placements] : this->session->inherited) {
            if (auto job = this->session->board.jobs.find(id); job != this->session->board.jobs.end())
                this->session->board.inherit(job->second, placements, now);
        }
        this->session->inherited.clear();
    }

    /// Plans what can start. The orders go out once the plan is stored, so that the next holder knows of them.
    void placeTasks(Instant now)
    {
        if (!this->session->placement.place(now, unixMilliseconds()).empty())
            this->session->nextFlush = Deadline();
    }

    /// The job's plan is stored: sends the orders in it.
    void startPlanned(JobRow& job)
    {
        Instant now = BootClock::now();
        std::vector<StartOrder> orders;
        if (!job.activeTasks || job.hasEnded())
            return;
        for (auto& [id, worker] : this->session->board.workers) {
            auto entry = worker.attempts.lower_bound(TaskName { job.record.id });
            for (; entry != worker.attempts.end() && entry->first.job == job.record.id; ++entry) {
                if (entry->second.phase == AttemptPhase::Recording)
                    orders.push_back({ id, entry->first, entry->second.run });
            }
        }
        for (const auto& order : orders) {
            WorkerRow& worker = this->session->board.workers.at(order.worker);
            if (this->leadership.mayAct(now) && PlacementSystem::takesWork(worker, now))
                this->start(order, now);
            else
                this->session->board.releaseAttempt(worker, order.task);
        }
    }

    void start(const StartOrder& order, Instant now)
    {
        JobBoard& board = this->session->board;
        WorkerRow& worker = board.workers.at(order.worker);
        Attempt& attempt = worker.attempts.at(order.task);
        attempt.phase = AttemptPhase::Ordered;
        attempt.orderedAt = now;
        attempt.confirmedAt = now;
        constexpr auto validFor = PlacementSystem::orderValidFor;
        attempt.orderExpires = Deadline::after(now, validFor + validFor * workerClockSlackPercent / 100 + leaseMargin);
        StartAttempt start;
        start.task = order.task;
        start.run = order.run;
        start.payload = board.jobs.at(order.task.job).record.spec.payload;
        start.validUntilClockMs = this->clockOf(worker, now) + PlacementSystem::orderValidFor.count();
        start.fencingToken = this->session->token;
        start.checkpoint = attempt.checkpoint;
        this->extendLease(worker, now, PlacementSystem::orderValidFor);
        writeLog(LogLevel::Info,
            LogLine("task_start")
                .add("task", order.task.text())
                .add("run", order.run)
                .add("worker", order.worker.string())
                .add("policies", board.policies->version)
                .add("report_age_ms", std::chrono::duration_cast<Milliseconds>(now - worker.lastReport).count()));
        this->link.start(
            this->endpointOf(worker), start, [this, alive = this->session->alive, order](StartOutcome outcome) {
                if (*alive)
                    this->takeStartOutcome(order, outcome);
            });
    }

    void takeStartOutcome(const StartOrder& order, StartOutcome outcome)
    {
        JobBoard& board = this->session->board;
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
            this->probe(*worker, now);
            return;
        }
        if (outcome == StartOutcome::Fenced) {
            this->leadership.stepDown("a worker knows a higher token");
            return;
        }
        if (outcome != StartOutcome::NotSent && outcome != StartOutcome::Outdated)
            worker->setAsideUntil = std::max(worker->setAsideUntil, Deadline::after(now, refusalPause));
        if (outcome == StartOutcome::NotSent)
            worker->isSuspect = true;
        board.releaseAttempt(*worker, order.task);
        this->hurry();
    }

    /// A worker that refused an order gets no other one for so long.
    static constexpr Milliseconds refusalPause { 300 };

    void orderStops(Instant now)
    {
        for (auto& [id, worker] : this->session->board.workers) {
            for (auto& [task, attempt] : worker.attempts)
                this->orderStop(worker, attempt, now);
            for (auto& [key, stray] : worker.strays)
                this->orderStop(worker, stray, now);
        }
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
        this->link.stop(this->endpointOf(worker), { attempt.task, attempt.run, this->session->token },
            [this, alive = this->session->alive, id = worker.facts.id, task = attempt.task, run = attempt.run](
                bool isTaken) {
                if (*alive)
                    this->takeStopAnswer(id, task, run, isTaken);
            });
    }

    void takeStopAnswer(const WorkerId& id, const TaskName& task, std::uint32_t run, bool isTaken)
    {
        WorkerRow* worker = this->session->board.findWorker(id);
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

    /// A stop that was taken is not repeated for so long; the end is listed within the workers' limit.
    static constexpr Milliseconds stopSettles { 2000 };

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

    /// One line a pool, seldom: what it has, what is taken, and what waits.
    void logPools(Instant now)
    {
        if (!this->session->nextPoolLog.hasPassed(now))
            return;
        this->session->nextPoolLog = Deadline::after(now, poolLogPeriod);
        for (const auto& [pool, load] : PoolLoad::measure(this->session->board, unixMilliseconds())) {
            writeLog(LogLevel::Info,
                LogLine("pool_load")
                    .add("pool", pool.string())
                    .add("workers", load.workers)
                    .add("cpu", load.capacity.cpuMillis)
                    .add("occupied", load.occupied.cpuMillis)
                    .add("lasting", load.lastingCpuMillis)
                    .add("waiting", load.waiting.cpuMillis)
                    .add("waiting_tasks", load.waitingTasks));
        }
    }

    static constexpr Milliseconds poolLogPeriod { 1000 };

    // Beats

    std::string beatText() const
    {
        // Until all jobs are known, what the last beat said is nearer to the truth than a count of the known ones.
        std::map<QueueId, std::uint64_t> counts(this->waitingByQueue.begin(), this->waitingByQueue.end());
        if (this->session && this->session->isComplete()) {
            counts.clear();
            for (const auto& [id, job] : this->session->board.jobs) {
                if (!job.hasStarted && !job.hasEnded())
                    counts[job.record.queue] += 1;
            }
        }
        Json::Value value(Json::objectValue);
        value["waiting"] = Json::Value(Json::objectValue);
        for (const auto& [queue, count] : counts)
            value["waiting"][queue.string()] = Json::UInt64(count);
        return toCompactJson(value);
    }

    void takeBeat(const std::string& text)
    {
        auto value = parseJsonObject(text);
        if (!value || !(*value)["waiting"].isObject()) {
            writeLog(LogLevel::Error, LogLine("stored_beat_unreadable"));
            return;
        }
        this->waitingByQueue.clear();
        const Json::Value& waiting = (*value)["waiting"];
        for (auto entry = waiting.begin(); entry != waiting.end(); ++entry) {
            if (entry->isUInt64())
                this->waitingByQueue[QueueId(entry.name())] = entry->asUInt64();
        }
    }

    event_base& base;
    Store& store;
    Link& link;
    Machines& machines;
    CoordinatorLimits limits;
    std::shared_ptr<const JobPolicies> policies = std::make_shared<JobPolicies>();
    std::unordered_map<QueueId, std::uint64_t> waitingByQueue;
    std::map<std::int64_t, UpkeepWave> waves;
    std::function<void(bool)> directoryWanted;
    typename FleetDriver<Store, Machines>::Publish publishWave = [](std::int64_t, bool, KvCommit&) {};
    JobRecordCodec recordCodec;
    JobProgressCodec progressCodec;
    Leadership<Store> leadership;
    std::unique_ptr<Session> session;
    std::vector<std::unique_ptr<Session>> retired;
    Timer timer;
    bool isHurrying = false;
};

} // namespace Greengage
