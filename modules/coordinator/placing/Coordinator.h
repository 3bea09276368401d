#pragma once

#include <coordinator/fleet/FleetController.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/AbsenceLogger.h>
#include <coordinator/placing/AdviceManager.h>
#include <coordinator/placing/CoordinatorLimits.h>
#include <coordinator/placing/EndedJobCleaner.h>
#include <coordinator/placing/JobLoader.h>
#include <coordinator/placing/LeaseManager.h>
#include <coordinator/placing/OrderSender.h>
#include <coordinator/placing/ProgressWriter.h>
#include <coordinator/placing/WorkerRosterManager.h>
#include <coordinator/store/PrefixMirror.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/errors/UnforeseenError.h>
#include <core/time/UnixClock.h>
#include <jobs/codec/CompactJson.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/PoolLoad.h>
#include <jobs/systems/ThrottleSystem.h>
#include <jobs/tables/JobTables.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Greengage {

/// Places the tasks of all open jobs while this daemon is the leader: renews the workers' leases, applies their
/// reports, stores the progress, and sends orders. Everything that a new leader needs is in the store and in the
/// workers' reports.
template <SharedStore Store, WorkerLink Link, VmService Vms, AdviceService Advice> class Coordinator {
public:
    Coordinator(event_base& base, Store& store, Link& link, Vms& vmService, Advice& advice, DaemonId daemon,
        IncarnationId incarnation, const CoordinatorLimits& limits)
        : base(base)
        , store(store)
        , link(link)
        , vmService(vmService)
        , advice(advice)
        , limits(limits)
        , leadership(base, store, std::move(daemon), std::move(incarnation), limits.cpuMillis,
              { [this](const Term& term) { this->beginSession(term); }, [this] { this->endSession(); },
                  [this] { return this->makeHeartbeatPayload(); },
                  [this](const std::string& text) { this->handleHeartbeat(text); },
                  [this] { return this->describeOrders(); } })
        , timer(base, [this] { this->tick(); })
    {
    }

    Coordinator(const Coordinator&) = delete;
    Coordinator& operator=(const Coordinator&) = delete;

    void start() { this->leadership.start(); }
    void resign() { this->leadership.resign(); }
    bool isLeader() const { return this->leadership.isLeader(); }

    /// What this leader knows of the end of the task's latest attempt that has been released; null if it released none.
    const FormerAttempt* formerAttempt(const TaskName& task)
    {
        TaskRow* row = this->session ? this->session->tables.findTask(task) : nullptr;
        return row && row->former ? &*row->former : nullptr;
    }

    /// Brings the job tables back into order after an error that left them in doubt: the leadership is handed over, and
    /// the next leader loads them anew. A job that was worked on is set aside for a while, so that it holds up no other
    /// job if the error comes again.
    void handleError(const UnforeseenError& error)
    {
        if (error.effect != ErrorEffect::StateInDoubt)
            return;
        Instant now = BootClock::now();
        JobId job(error.idOf(WorkKind::Job));
        bool isRepeated = job.isEmpty() || this->setAsideUntil.contains(job);
        if (!job.isEmpty()) {
            this->setAsideUntil[job] = Deadline::after(now, setAsidePeriod);
            writeLog(LogLevel::Error,
                LogLine("job_set_aside").add("job", job.string()).add("for_ms", setAsidePeriod.count()));
        }
        this->leadership.yield(isRepeated ? Deadline::after(now, errorPause) : Deadline(now));
    }

    /// Sets the limits from the next session on, except this daemon's processor time, which stays.
    void setLimits(const CoordinatorLimits& newLimits) { this->limits = newLimits; }

    /// Applies a version of the operators' policies from now on.
    void setPolicies(std::shared_ptr<const JobPolicies> newPolicies)
    {
        for (const auto& [id, queue] : this->policies->queues) {
            if (newPolicies->queues.contains(id))
                continue;
            writeLog(
                LogLevel::Info, LogLine("queue_removed").add("queue", id.string()).add("pool", queue.pool.string()));
            this->removedQueues.insert_or_assign(id, queue);
        }
        std::erase_if(
            this->removedQueues, [&](const auto& entry) { return newPolicies->queues.contains(entry.first); });
        this->policies = std::move(newPolicies);
        if (this->session) {
            this->session->tables.policies = this->policies;
            this->session->tables.removedQueues = this->removedQueues;
        }
        this->scheduleTick();
    }

    /// Applies a complete listing of the worker directory; workers that are not in it are no longer listed.
    void setWorkers(const std::vector<WorkerInfo>& listed)
    {
        if (!this->session)
            return;
        for (auto& [id, worker] : this->session->tables.workers)
            worker.isListed = false;
        for (const auto& worker : listed)
            this->updateWorker(worker);
        this->session->areWorkersListed = true;
    }

    /// Applies a new or changed entry of the worker directory, unless the worker itself has reported as another
    /// incarnation that is not earlier.
    void updateWorker(const WorkerInfo& info)
    {
        if (!this->session)
            return;
        auto [entry, isNew] = this->session->tables.workers.try_emplace(info.id);
        WorkerRow& worker = entry->second;
        if (isNew)
            writeLog(LogLevel::Info,
                LogLine("worker_listed").add("worker", info.id.string()).add("pool", info.pool.string()));
        else if (worker.isOutdated(info.incarnationUnixMs))
            return;
        else if (info.incarnationUnixMs != worker.info.incarnationUnixMs)
            this->session->leases.handleRestart(worker, info.incarnationUnixMs, BootClock::now());
        WorkScope scope(WorkKind::Worker, info.id.string());
        if (info.draining && !worker.info.draining)
            writeLog(LogLevel::Info, LogLine("worker_draining").add("worker", info.id.string()));
        worker.info = info;
        if (worker.isGone)
            this->session->leases.handleReturn(worker);
        worker.isListed = true;
        this->scheduleTick();
    }

    /// Applies that the worker directory has no usable entry of the worker any more.
    void removeWorker(const WorkerId& id)
    {
        if (!this->session)
            return;
        if (auto* worker = this->session->tables.findWorker(id)) {
            worker->isListed = false;
            writeLog(LogLevel::Info, LogLine("worker_unlisted").add("worker", id.string()));
        }
    }

    /// Sets what is called with true when the worker directory has to be watched, and with false when it no longer has
    /// to be.
    void onWorkerWatchNeeded(std::function<void(bool)> callback)
    {
        this->onWorkerWatchNeededChange = std::move(callback);
    }

    /// Sets the maintenance waves that operators have ordered, by number.
    void setWaves(std::map<std::int64_t, MaintenanceWave> ordered) { this->waves = std::move(ordered); }

    /// Sets what adds the progress of a wave, for the operators, to a commit.
    void onWavePublished(typename FleetController<Store, Vms>::Publish callback)
    {
        this->publishWave = std::move(callback);
    }

    /// The number of accepted jobs of a queue that have not started, by the last heartbeat of the leader.
    std::uint64_t waitingJobs(const QueueId& queue) const
    {
        auto found = this->waitingByQueue.find(queue);
        return found == this->waitingByQueue.end() ? 0 : found->second;
    }

    Leadership<Store>& leadershipState() { return this->leadership; }

private:
    static constexpr Milliseconds tickPeriod { 25 };
    /// Delay from a report to the tick that it causes, so that reports that arrive together share one tick.
    static constexpr Milliseconds tickDelay { 2 };
    /// Each tick is followed by a rest of this many times its own length, which leaves three quarters of the processor
    /// to callers, reports and renewals however large the job tables are.
    static constexpr int restPerTick = 3;
    /// Bounds the rest after a tick in which the process was paused.
    static constexpr Milliseconds maxRest { 100 };
    /// Least time between flushes of progress, unless a plan is to be stored.
    static constexpr Milliseconds flushPeriod { 40 };
    /// How long no task of a job is started with whose handling an unforeseen error came.
    static constexpr Milliseconds setAsidePeriod { 30'000 };
    /// How long other daemons are left to lead after an error that setting a job aside does not prevent.
    static constexpr Milliseconds errorPause { 5000 };
    /// Bounds how long new jobs stay unseen when the answer to a watch is lost.
    static constexpr Milliseconds jobsWatchWait { 300 };

    /// What exists only while this daemon is the leader.
    struct Session {
        explicit Session(Coordinator& owner)
            : loader(tables, [this, &owner](const JobRow& job) { owner.recordArrival(*this, job); })
            , jobsMirror(owner.base, owner.store, StoreKeys::jobs, jobsWatchWait,
                  { [this, &owner](const KvListing& listing) { owner.handleJobListing(*this, listing); },
                      [this, &owner](const KvListing& changes) { owner.handleJobChanges(*this, changes); },
                      [](KvFailure) {} })
            , writer(
                  owner.store, owner.leadership, tables, [this](JobRow& job) { this->orders.startPlanned(job); },
                  [&owner] { owner.scheduleTick(); })
            , placement(tables, owner.limits.farSlowdown)
            , throttling(tables)
            , absences(tables)
            , advice(owner.advice, tables, [&owner] { owner.scheduleTick(); })
            , workerRoster(owner.store, owner.leadership, tables)
            , cleaner(owner.store, owner.leadership, owner.limits.endedJobRetention, BootClock::now())
            , fleet(owner.store, owner.vmService, owner.leadership, tables,
                  Deadline::after(BootClock::now(), owner.limits.unfencedOrderDelay), owner.limits.unfencedOrderDelay,
                  owner.publishWave)
            , leases(owner.link, tables, owner.limits.leaseDuration, owner.limits.longestGrantedLease,
                  { [&owner] { return owner.leadership.latestToken(); }, [this] { return this->prepareForReports(); },
                      [&owner] { owner.scheduleTick(); }, [&owner] { owner.handleFenced(); } })
            , orders(owner.link, leases, tables,
                  { [&owner](Instant now) { return owner.leadership.mayAct(now); }, [&owner] { owner.scheduleTick(); },
                      [&owner] { owner.handleFenced(); } })
        {
        }

        JobTables tables;
        JobLoader loader;
        PrefixMirror<Store> jobsMirror;
        ProgressWriter<Store> writer;
        PlacementSystem placement;
        ThrottleSystem throttling;
        AbsenceLogger absences;
        AdviceManager<Advice> advice;
        WorkerRosterManager<Store> workerRoster;
        EndedJobCleaner<Store> cleaner;
        FleetController<Store, Vms> fleet;
        LeaseManager<Link> leases;
        OrderSender<Link> orders;
        bool areWorkersListed = false;

        /// Ignores all answers that arrive from now on, as they may after another session has begun.
        void close()
        {
            this->jobsMirror.close();
            this->writer.close();
            this->advice.close();
            this->workerRoster.close();
            this->cleaner.close();
            this->fleet.close();
            this->leases.close();
            this->orders.close();
        }

        /// Whether all attempts that may run are known, except those on workers that have not been reached.
        bool isComplete() const
        {
            return this->loader.isLoaded() && this->areWorkersListed && this->workerRoster.isLoaded();
        }

        /// Binds inherited tasks to their workers before a report is applied: it would adopt the attempts, and what the
        /// last leader had stored of their starts would be lost. Returns whether reports can be applied.
        bool prepareForReports()
        {
            if (!this->isComplete())
                return false;
            this->loader.restorePlacements(BootClock::now());
            return true;
        }

        Deadline nextFlush;
        Deadline nextPoolLog;
    };

    void beginSession(const Term& term)
    {
        this->session = std::make_unique<Session>(*this);
        JobTables& tables = this->session->tables;
        tables.policies = this->policies;
        tables.removedQueues = this->removedQueues;
        std::erase_if(this->setAsideUntil, [](const auto& entry) { return entry.second.hasPassed(BootClock::now()); });
        tables.setAsideUntil = this->setAsideUntil;
        tables.openOrders = term.openOrders;
        tables.lowestRun = 1 + term.epoch * runsPerEpoch;
        auto inheritedExpire = [&term](Milliseconds span) { return Deadline(term.earlierOrdersExpire.at() + span); };
        tables.inheritedLeasesExpire = inheritedExpire(LeaseBounds::longestLease(this->limits.leaseDuration));
        tables.inheritedLongestLeasesExpire
            = inheritedExpire(LeaseBounds::longestLeaseOfUnknown(this->limits.longestGrantedLease));
        tables.inheritedCopiesArriveUntil = inheritedExpire(OpenCopies::longestDelay);
        this->session->jobsMirror.start();
        if (this->onWorkerWatchNeededChange)
            this->onWorkerWatchNeededChange(true);
        this->timer.schedule(Microseconds(0));
    }

    /// The orders of this leader and of those before that may still have an effect.
    OpenOrders describeOrders() const
    {
        if (!this->session)
            return {};
        if (!this->session->isComplete() || !this->session->loader.arePlacementsRestored())
            return this->session->tables.openOrders;
        return this->session->leases.describeOrders(BootClock::now());
    }

    /// Steps down, because a worker has seen a higher fencing token: another daemon is the leader.
    void handleFenced() { this->leadership.stepDown("a worker has seen a higher fencing token"); }

    void handleJobChanges(Session& current, const KvListing& changes)
    {
        for (const auto& item : changes.items)
            current.writer.handleChange(item);
        this->handleJobListing(current, changes);
    }

    void handleJobListing(Session& current, const KvListing& listing)
    {
        current.loader.handleListing(listing);
        this->scheduleTick();
    }

    void recordArrival(Session& current, const JobRow& job)
    {
        if (const QueuePolicy* queue = current.tables.policyOf(job))
            current.fleet.recordArrival(queue->pool, job.record.spec, BootClock::now());
    }

    /// Attempt numbers reserved for each leader; more starts of one task than any leader makes.
    static constexpr std::uint32_t runsPerEpoch = 1000;

    void endSession()
    {
        if (!this->session)
            return;
        this->session->close();
        // The session may be on the stack of its own callbacks, so it is destroyed from the loop.
        this->retired.push_back(std::move(this->session));
        if (this->onWorkerWatchNeededChange)
            this->onWorkerWatchNeededChange(false);
        this->timer.schedule(Microseconds(0));
    }

    /// Schedules a tick soon.
    void scheduleTick()
    {
        if (!this->session || this->isTickRequested)
            return;
        this->isTickRequested = true;
        if (!this->isDeciding)
            this->startTimer(tickDelay);
    }

    void startTimer(Microseconds delay)
    {
        this->timer.schedule(std::max(delay, this->restUntil.remaining(BootClock::now())));
    }

    void tick()
    {
        this->retired.clear();
        if (!this->session)
            return;
        Instant now = BootClock::now();
        this->isTickRequested = false;
        this->isDeciding = true;
        this->decide(now);
        this->isDeciding = false;
        Instant done = BootClock::now();
        this->restUntil = Deadline::after(done, std::min<Microseconds>(maxRest, (done - now) * restPerTick));
        if (this->session)
            this->startTimer(this->isTickRequested ? tickDelay : tickPeriod);
    }

    /// The decisions of one tick.
    void decide(Instant now)
    {
        if (this->leadership.mayAct(now)) {
            this->session->leases.tick(now);
            this->session->workerRoster.tick();
            this->session->cleaner.tick(now);
            if (this->session->isComplete()) {
                this->session->loader.restorePlacements(now);
                this->session->fleet.tick(this->waves, now);
                this->placeTasks(now);
                this->session->advice.tick(now);
                this->session->throttling.advance(now);
                this->session->orders.repeatStarts(now);
                this->session->orders.orderStops(now);
                this->session->orders.orderThrottles();
                this->logPools(now);
                this->session->absences.tick(now);
            }
        }
        if (this->session->nextFlush.hasPassed(now)) {
            this->session->nextFlush = Deadline::after(now, flushPeriod);
            this->session->writer.flush();
        }
    }

    /// Plans attempts of tasks that can start. The orders are sent once the plan is stored, so that the next leader
    /// knows of them.
    void placeTasks(Instant now)
    {
        if (!this->session->placement.place(now, unixMilliseconds()).empty())
            this->session->nextFlush = Deadline();
    }

    /// Logs one line for each pool: its processor time and what long-running, all running and waiting tasks need of it,
    /// in thousandths of a core.
    void logPools(Instant now)
    {
        if (!this->session->nextPoolLog.hasPassed(now))
            return;
        this->session->nextPoolLog = Deadline::after(now, poolLogPeriod);
        for (const auto& [pool, load] : PoolLoad::measure(this->session->tables, unixMilliseconds())) {
            writeLog(LogLevel::Info,
                LogLine("pool_load")
                    .add("pool", pool.string())
                    .add("workers", load.workers)
                    .add("cpu", load.capacity.cpuMillis)
                    .add("occupied", load.occupied.cpuMillis)
                    .add("lasting", load.longRunning.cpuMillis)
                    .add("waiting", load.waiting.cpuMillis)
                    .add("waiting_tasks", load.waitingTasks));
        }
    }

    static constexpr Milliseconds poolLogPeriod { 1000 };

    std::string makeHeartbeatPayload() const
    {
        // Until all jobs are loaded, the counts of the last heartbeat are more accurate than those of the loaded jobs.
        std::map<QueueId, std::uint64_t> counts(this->waitingByQueue.begin(), this->waitingByQueue.end());
        if (this->session && this->session->isComplete()) {
            counts.clear();
            for (const auto& [id, job] : this->session->tables.jobs) {
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

    void handleHeartbeat(const std::string& text)
    {
        auto value = parseJsonObject(text);
        if (!value || !(*value)["waiting"].isObject()) {
            writeLog(LogLevel::Error, LogLine("stored_heartbeat_unreadable"));
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
    Vms& vmService;
    Advice& advice;
    CoordinatorLimits limits;
    std::shared_ptr<const JobPolicies> policies = std::make_shared<JobPolicies>();
    std::unordered_map<QueueId, QueuePolicy> removedQueues;
    std::unordered_map<QueueId, std::uint64_t> waitingByQueue;
    std::map<std::int64_t, MaintenanceWave> waves;
    std::unordered_map<JobId, Deadline> setAsideUntil;
    std::function<void(bool)> onWorkerWatchNeededChange;
    typename FleetController<Store, Vms>::Publish publishWave = [](std::int64_t, bool, KvCommit&) {};
    Leadership<Store> leadership;
    std::unique_ptr<Session> session;
    std::vector<std::unique_ptr<Session>> retired;
    Timer timer;
    Deadline restUntil;
    bool isTickRequested = false;
    bool isDeciding = false;
};

} // namespace Greengage
