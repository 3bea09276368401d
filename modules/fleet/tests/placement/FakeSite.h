#pragma once

#include "FakeJob.h"
#include "FakeTask.h"
#include "FakeWorker.h"

#include <config/model/Document.h>
#include <fleet/placement/PlacementPlane.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// Fake workers that run the tasks of a placement plane on a virtual clock, with delayed reports. Records each violated
/// invariant as text.
class FakeSite {
public:
    FakeSite(PlacementProfile, unsigned seed, int workerCount, Resources capacity);

    void setTeams(std::vector<Team>);
    /// Submits a job that actually needs `actual` and runs for `runTime`.
    FakeJob& submit(const Job&, const Resources& actual, Seconds runTime);
    void cancel(const std::vector<JobId>&);
    void run(Milliseconds);

    FakeWorker& worker(std::size_t index) { return this->workers[index]; }
    std::size_t workerCount() const { return this->workers.size(); }
    void drain(std::size_t index, bool isDraining);
    void reboot(std::size_t index);
    const std::map<JobId, FakeJob>& allJobs() const { return this->jobs; }
    const FakeJob& job(const std::string& id) const { return this->jobs.at(JobId(id)); }
    std::size_t runningCount() const { return this->tasks.size(); }
    /// The actual usage of the team's tasks, as a fraction of all workers' capacity.
    double usageOf(const TeamId&) const;
    /// The actual needs of each team's jobs that have not ended, running or not.
    std::map<TeamId, Resources> demands() const;
    std::size_t openCount(const TeamId&, Priority) const;
    /// Interval of the invariant checks, in steps.
    int checkInterval = 1;
    std::size_t taskCountOn(std::size_t index) const;
    bool allEnded() const;
    Instant instant() const { return this->now; }
    const std::vector<std::string>& foundViolations() const { return this->violations; }

    int startCount = 0;
    int checkpointCount = 0;
    int failedStartCount = 0;
    int outOfMemoryCount = 0;
    std::map<WorkerId, int> quarantineCounts;

private:
    void step();
    void listWorkers();
    void carryOut(const StartTask&);
    void carryOut(const StopTask&);
    void carryOut(const AskAttempt&);
    void carryOut(const ThrottleTask&) { }
    void carryOut(const JobEnded&);
    void carryOut(const WorkerQuarantined& quarantined) { this->quarantineCounts[quarantined.worker]++; }
    void advance(FakeTask&);
    void endTask(FakeTask&, AttemptStatus);
    void report(std::uint64_t attempt, AttemptStatus, const Resources&);
    bool isCut(std::size_t worker) const { return this->now < this->workers[worker].cutUntil; }
    std::size_t indexOf(const WorkerId& id) const { return this->workerIndex.at(id); }
    void check();
    void reportViolation(const std::string& what);

    PlacementPlane plane;
    std::mt19937 random;
    Instant now { Seconds(1) };
    std::vector<FakeWorker> workers;
    std::map<WorkerId, std::size_t> workerIndex;
    std::map<JobId, FakeJob> jobs;
    std::set<FakeJob*> openJobs;
    int stepCount = 0;
    std::vector<FakeTask> tasks;
    std::vector<PlacementInput> inbox;
    std::multimap<Instant, AttemptReported> reports;
    std::map<std::uint64_t, AttemptReported> finalReports;
    std::map<TeamId, int> limits;
    std::uint64_t revision = 0;
    std::vector<std::string> violations;
};

} // namespace Greengage
