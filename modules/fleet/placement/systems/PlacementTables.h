#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/PlacementOutput.h>
#include <fleet/placement/model/Attempt.h>
#include <fleet/placement/model/PlacementProfile.h>
#include <fleet/placement/systems/JobEntry.h>
#include <fleet/placement/systems/SizeLearner.h>
#include <fleet/placement/systems/TeamTable.h>
#include <fleet/placement/systems/WorkerTable.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Greengage {

/// The tables on which the placement systems run, and the outputs of the current tick. The member functions keep the
/// tables consistent with each other.
struct PlacementTables {
    explicit PlacementTables(const PlacementProfile& profile)
        : profile(profile)
        , learner(profile.sizeQuantile)
    {
    }

    /// The resources to reserve for the job now.
    Resources sizeOf(const JobEntry&) const;

    /// Creates an attempt and sends it at once, unless it has to wait until capacity has been freed.
    void createAttempt(JobEntry&, const WorkerId&, const Resources& size, bool awaitsCapacity);
    /// Sends an attempt that has not been sent yet and starts its lease.
    void sendAttempt(Attempt&);
    /// Asks the worker to end an attempt; with `requeues` the job is queued again afterwards.
    void stopAttempt(Attempt&, bool requeues);
    /// Removes an attempt that has not been sent and queues its job again.
    void withdrawAttempt(std::uint64_t number);
    void setPhase(Attempt&, AttemptPhase);
    void setReserved(Attempt&, const Resources&);
    /// Removes an attempt that is known to have ended.
    void removeAttempt(std::uint64_t number);

    void enqueue(JobEntry&);
    void dequeue(JobEntry&);
    /// Ends a job and stops those of its attempts that may still be running.
    void endJob(const JobId&, JobOutcome, std::string detail);

    PlacementProfile profile;
    Instant now = Instant::min();
    SizeLearner learner;
    WorkerTable workers;
    TeamTable teams;
    std::unordered_map<JobId, JobEntry> jobs;
    std::map<std::uint64_t, Attempt> attempts;
    /// Attempts that wait until capacity has been freed.
    std::set<std::uint64_t> awaiting;
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextArrival = 1;
    std::vector<PlacementOutput> outputs;
};

} // namespace Greengage
