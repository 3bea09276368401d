#pragma once

#include <coordinator/fleet/FleetDriver.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/AdviceKeeper.h>
#include <coordinator/placing/CoordinatorLimits.h>
#include <coordinator/placing/CrewKeeper.h>
#include <coordinator/placing/EndedJobCleaner.h>
#include <coordinator/placing/JobIntake.h>
#include <coordinator/placing/LeaseKeeper.h>
#include <coordinator/placing/OrderSender.h>
#include <coordinator/placing/ProgressWriter.h>
#include <coordinator/store/PrefixMirror.h>
#include <coordinator/workers/WorkerLink.h>
#include <core/time/UnixClock.h>
#include <jobs/board/JobBoard.h>
#include <jobs/codec/CompactJson.h>
#include <jobs/systems/PacingSystem.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/PoolLoad.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Greengage {

/// Places the tasks of all open jobs while this daemon holds the leadership: renews the workers' leases, takes in what
/// they report, has it stored, and gives orders. Everything it needs after a change of holder is in the store and in
/// the workers' reports.
template <SharedStore Store, WorkerLink Link, MachineService Machines, AdviceService Advice> class Coordinator {
public:
    Coordinator(event_base& base, Store& store, Link& link, Machines& machines, Advice& advice, DaemonId daemon,
        IncarnationId incarnation, const CoordinatorLimits& limits)
        : base(base)
        , store(store)
        , link(link)
        , machines(machines)
        , advice(advice)
        , limits(limits)
        , leadership(base, store, std::move(daemon), std::move(incarnation), limits.cpuMillis,
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

    /// The limits of the next session, but for this daemon's processor time.
    void setLimits(const CoordinatorLimits& newLimits) { this->limits = newLimits; }

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
            this->session->leases.noteRebirth(worker);
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

    Leadership<Store>& leadershipState() { return this->leadership; }

private:
    static constexpr Milliseconds tickPeriod { 25 };
    /// Delay from a report to the round of decisions that it causes, so that reports that come together share one.
    static constexpr Milliseconds hurryDelay { 2 };
    /// A round is followed by a rest of so many times its own length, which leaves three quarters of the processor to
    /// callers, reports and renewals however large the tables are.
    static constexpr int restPerRound = 3;
    /// A process that was paused in a round need not rest for it.
    static constexpr Milliseconds longestRest { 100 };
    /// Ends are stored in rounds at least this far apart.
    static constexpr Milliseconds flushPeriod { 40 };
    static constexpr Milliseconds jobsWatchWait { 2000 };

    /// What exists only while this daemon holds the leadership.
    struct Session {
        Session(Coordinator& owner, const Term& term)
            : intake(board, [this, &owner](const JobRow& job) { owner.noteArrival(*this, job); })
            , jobsMirror(owner.base, owner.store, StoreKeys::jobs, jobsWatchWait,
                  { [this, &owner](const KvListing& listing) { owner.takeJobs(*this, listing); },
                      [this, &owner](const KvListing& listing) { owner.takeJobs(*this, listing); }, [](KvFailure) {} })
            , writer(
                  owner.store, owner.leadership, board, [this](JobRow& job) { this->orders.startPlanned(job); },
                  [&owner] { owner.hurry(); })
            , placement(board, owner.limits.farSlowdown)
            , pacing(board)
            , advice(owner.advice, board, [&owner] { owner.hurry(); })
            , crew(owner.store, owner.leadership, board)
            , cleaner(owner.store, owner.leadership, owner.limits.keepEndedFor, BootClock::now())
            , fleet(owner.store, owner.machines, owner.leadership, board,
                  Deadline::after(BootClock::now(), owner.limits.dutyTerm), owner.publishWave)
            , leases(owner.link, board, term.fencingToken, owner.limits.leaseLength,
                  { [this] { return this->isComplete(); }, [&owner] { owner.hurry(); }, [&owner] { owner.yield(); } })
            , orders(owner.link, leases, board, term.fencingToken,
                  { [&owner](Instant now) { return owner.leadership.mayAct(now); }, [&owner] { owner.hurry(); },
                      [&owner] { owner.yield(); } })
        {
        }

        JobBoard board;
        JobIntake intake;
        PrefixMirror<Store> jobsMirror;
        ProgressWriter<Store> writer;
        PlacementSystem placement;
        PacingSystem pacing;
        AdviceKeeper<Advice> advice;
        CrewKeeper<Store> crew;
        EndedJobCleaner<Store> cleaner;
        FleetDriver<Store, Machines> fleet;
        LeaseKeeper<Link> leases;
        OrderSender<Link> orders;
        bool areWorkersListed = false;

        /// Calls under way may still be answered, when another session has begun.
        void close()
        {
            this->jobsMirror.close();
            this->writer.close();
            this->advice.close();
            this->crew.close();
            this->cleaner.close();
            this->fleet.close();
            this->leases.close();
            this->orders.close();
        }

        /// Whether all that may run anywhere is known, but for workers that have not been reached.
        bool isComplete() const { return this->intake.isLoaded() && this->areWorkersListed && this->crew.isLoaded(); }

        Deadline nextFlush;
        Deadline nextPoolLog;
    };

    void begin(const Term& term)
    {
        this->session = std::make_unique<Session>(*this, term);
        JobBoard& board = this->session->board;
        board.policies = this->policies;
        board.lowestRun = 1 + term.epoch * runsPerEpoch;
        board.inheritedLeasesOver
            = Deadline(term.earlierOrdersOver.at() + LeaseKeeper<Link>::longestLease(this->limits.leaseLength));
        this->session->jobsMirror.start();
        if (this->directoryWanted)
            this->directoryWanted(true);
        this->timer.schedule(Microseconds(0));
    }

    /// A worker has seen a higher fencing token, so another daemon holds the leadership.
    void yield() { this->leadership.stepDown("a worker knows a higher token"); }

    void takeJobs(Session& current, const KvListing& listing)
    {
        current.intake.take(listing);
        this->hurry();
    }

    void noteArrival(Session& current, const JobRow& job)
    {
        auto queue = current.board.policies->queues.find(job.record.queue);
        if (queue != current.board.policies->queues.end())
            current.fleet.noteArrival(queue->second.pool, job.record.spec, BootClock::now());
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

    /// Asks for a round of decisions soon.
    void hurry()
    {
        if (!this->session || this->isHurrying)
            return;
        this->isHurrying = true;
        if (!this->isDeciding)
            this->scheduleRound(hurryDelay);
    }

    void scheduleRound(Microseconds delay)
    {
        this->timer.schedule(std::max(delay, this->restUntil.remaining(BootClock::now())));
    }

    void tick()
    {
        this->retired.clear();
        if (!this->session)
            return;
        Instant now = BootClock::now();
        this->isHurrying = false;
        this->isDeciding = true;
        this->decide(now);
        this->isDeciding = false;
        Instant done = BootClock::now();
        this->restUntil = Deadline::after(done, std::min<Microseconds>(longestRest, (done - now) * restPerRound));
        if (this->session)
            this->scheduleRound(this->isHurrying ? hurryDelay : tickPeriod);
    }

    /// One round of decisions.
    void decide(Instant now)
    {
        if (this->leadership.mayAct(now)) {
            this->session->leases.tick(now);
            this->session->crew.tick();
            this->session->cleaner.tick(now);
            if (this->session->isComplete()) {
                this->session->intake.inheritPlacements(now);
                this->session->fleet.tick(this->waves, now);
                this->placeTasks(now);
                this->session->advice.tick(now);
                this->session->pacing.advance(now);
                this->session->orders.orderStops(now);
                this->session->orders.orderPaces();
                this->logPools(now);
            }
        }
        if (this->session->nextFlush.hasPassed(now)) {
            this->session->nextFlush = Deadline::after(now, flushPeriod);
            this->session->writer.flush();
        }
    }

    /// Plans what can start. The orders go out once the plan is stored, so that the next holder knows of them.
    void placeTasks(Instant now)
    {
        if (!this->session->placement.place(now, unixMilliseconds()).empty())
            this->session->nextFlush = Deadline();
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
    Advice& advice;
    CoordinatorLimits limits;
    std::shared_ptr<const JobPolicies> policies = std::make_shared<JobPolicies>();
    std::unordered_map<QueueId, std::uint64_t> waitingByQueue;
    std::map<std::int64_t, UpkeepWave> waves;
    std::function<void(bool)> directoryWanted;
    typename FleetDriver<Store, Machines>::Publish publishWave = [](std::int64_t, bool, KvCommit&) {};
    Leadership<Store> leadership;
    std::unique_ptr<Session> session;
    std::vector<std::unique_ptr<Session>> retired;
    Timer timer;
    Deadline restUntil;
    bool isHurrying = false;
    bool isDeciding = false;
};

} // namespace Greengage
