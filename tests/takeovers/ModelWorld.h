#pragma once

#include <loop/memory/EventDeleter.h>
#include <tests/takeovers/ModelDaemon.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// Daemons, workers and a store of the model. The world watches all that leaders do and notes what breaks a guarantee.
class ModelWorld {
public:
    ModelWorld(std::uint64_t seed, std::size_t daemonCount);
    ~ModelWorld();

    ModelWorld(const ModelWorld&) = delete;
    ModelWorld& operator=(const ModelWorld&) = delete;

    void runFor(Milliseconds span) { VirtualLoop::shared().runFor(span); }

    /// Runs until the condition holds. Returns false if it does not hold in time.
    bool runUntil(const std::function<bool()>& condition, Milliseconds atMost);

    /// The daemon that leads and may act, of several the one with the highest token; null if there is none.
    ModelDaemon* actingLeader();

    /// Starts the daemon with this index, as a new incarnation if it had run before.
    void start(std::size_t index);
    void kill(std::size_t index);
    /// Has the daemon hand over, so that it can be started again without a disruption.
    void stop(std::size_t index);
    void freeze(std::size_t index, Milliseconds span);
    /// Whether the store names the daemon with this index as the leader.
    bool hasAcquired(std::size_t index) const;
    std::size_t indexOf(const ModelDaemon& daemon) const;

    /// Hands in a job of long-running tasks, of which a worker runs at most `perWorkerLimit`; zero for no limit.
    void submitJob(std::uint32_t tasks, std::uint32_t perWorkerLimit = 0);
    /// Hands in a job of tasks of this length.
    void submitShortJob(std::uint32_t tasks, Milliseconds length);

    /// Crashes a worker, which starts again under its id after `down`. The directory tells of it `listedAfter` later,
    /// or never.
    void restartWorker(const WorkerId&, Milliseconds down, std::optional<Milliseconds> listedAfter);

    /// Ends a worker for good. Its VM is listed as down, or leaves the fleet.
    void loseWorker(const WorkerId&, bool keepsVm);
    /// Cuts off a worker from all daemons, until `returnWorkers` is called.
    void cutOffWorker(const WorkerId&);
    void returnWorkers();
    /// Adds a worker on a VM of its own.
    void addWorker();
    /// The workers that are neither lost nor cut off.
    std::vector<WorkerId> workersInTouch() const;
    /// Ends a long-running task, drawn from those that run, as failed.
    void failTask();

    /// Notes that something has happened after which long-running tasks may take longer to run again.
    void noteDisruption() { this->disruptedAt = VirtualLoop::shared().now(); }

    /// Tells a daemon that the directory shows a worker, as its current incarnation, or does not.
    void tellOfWorker(std::size_t index, const WorkerId&, bool isListed);

    /// Runs without new faults, and notes the long-running tasks that run at no time of it.
    void runCalmly(Milliseconds span);

    /// The long-running tasks that are stored with a start order that was certainly carried out.
    std::size_t settledPlacements() const;

    /// The tasks that run on workers now.
    std::size_t runningTasks();

    std::vector<std::unique_ptr<ModelDaemon>> daemons;
    FakeWorkers workers;
    std::mt19937_64 random;
    /// What broke a guarantee, in words.
    std::vector<std::string> violations;
    /// How long no daemon could act, each time.
    std::vector<Milliseconds> gaps;
    std::size_t takeovers = 0;
    std::size_t restarts = 0;
    /// Whether calls are held up for seconds. A start order among them that an incarnation carries out before the first
    /// renewal reaches it may repeat a task: nothing in the order names the incarnation that it was sent to.
    bool holdsCallsUp = false;
    std::size_t startsBeforeTheFirstRenewal = 0;
    ReleaseCheck releases;
    /// What happens to the calls to each worker.
    ModelLink::Faults workerFaults;

private:
    /// A term as it began.
    struct SeenTerm {
        std::int64_t token = 0;
        Instant wonAt;
        Deadline earlierOrdersExpire;
    };

    /// How often the world looks at all daemons.
    static constexpr Milliseconds samplePeriod { 10 };
    /// How many of the latest terms are checked against each other.
    static constexpr std::size_t comparedTerms = 6;

    static DaemonId idOf(std::size_t index) { return DaemonId("d" + std::to_string(index)); }

    void sample();
    void noteTerms();
    void checkOrders(ModelDaemon& daemon);
    void handleLease(const WorkerId& id, std::int64_t token);
    /// Whether no later leader than that of the token has begun.
    bool isInOffice(std::int64_t token) const;
    /// Checks that what released the earlier run of the task was right.
    void checkRelease(ModelDaemon&, const WorkerId&, const StartAttempt&);
    /// Checks that no lease is left of those that leaders before this one have granted.
    void checkLeases(std::int64_t token);
    void checkRoom(const WorkerId&, const StartAttempt&);
    /// Checks that no long-running task is missing for longer than allowed while workers have room for it.
    void checkLongRunningTasks();
    bool isDisrupted() const;
    static std::int64_t demandOf(const TaskName&);
    void tellAll(const WorkerId&, bool isListed);
    /// Shows the fleet to all daemons.
    void listVms();
    /// Notes once for each term what it broke.
    void violate(const std::string& what, std::int64_t token);
    std::vector<WorkerInfo> directory() const;
    void submit(JobRecord);
    static JobRecord makeJob(const std::string& id, std::uint32_t tasks);

    std::uint64_t seed;
    EventPointer<event_base> base;
    ModelTables tables;
    FakeLink network;
    /// The incarnations that the directory shows.
    std::map<WorkerId, std::int64_t> listedIncarnations;
    std::set<WorkerId> restarting;
    /// The workers that the directory shows.
    std::set<WorkerId> listedWorkers;
    std::size_t addedWorkers = 0;
    /// Workers that are lost or cut off until further notice. Only the loss is a disruption.
    std::set<WorkerId> lostWorkers;
    std::set<WorkerId> cutOffWorkers;
    std::vector<VmInfo> vms;
    /// When each long-running task last ran, or was accepted.
    std::map<TaskName, Instant> lastRanAt;
    std::uint32_t perWorkerLimit = 0;
    /// When workers last had no room for a long-running task.
    Instant fullAt;
    Instant disruptedAt;
    std::map<JobId, Milliseconds> taskLengths;
    std::uint32_t longRunningTasks = 0;
    std::string latestFault;
    CoordinatorLimits limits;
    std::vector<SeenTerm> terms;
    /// The end of the leases that workers hold, by the tokens of the leaders that granted them.
    std::map<WorkerId, std::map<std::int64_t, Instant>> leaseEnds;
    std::set<std::pair<std::string, std::int64_t>> noted;
    Instant lastActed;
    std::size_t incarnations = 0;
};

} // namespace Greengage
