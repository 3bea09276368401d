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

/// The tables that the systems of placement run over, and what they ask for in this tick. The functions keep the tables
/// in step with each other.
struct PlacementTables {
    explicit PlacementTables(const PlacementProfile& profile)
        : profile(profile)
        , learner(profile.sizeQuantile)
    {
    }

    /// What to reserve for the job now.
    Resources sizeOf(const JobEntry&) const;

    /// Makes an attempt. It is sent at once unless it is to await space.
    void begin(JobEntry&, const WorkerId&, const Resources& size, bool awaits);
    /// Sends an attempt that was awaiting space.
    void send(Attempt&);
    /// Asks the worker to end an attempt; with `requeues` the job goes on later.
    void stop(Attempt&, bool requeues);
    /// Gives up an attempt that has not been sent.
    void withdraw(std::uint64_t number);
    void setPhase(Attempt&, AttemptPhase);
    void setReserved(Attempt&, const Resources&);
    /// Removes an attempt that is known to have ended.
    void forget(std::uint64_t number);

    void queue(JobEntry&);
    void unqueue(JobEntry&);
    /// Ends a job; attempts of it that may still run are stopped.
    void endJob(const JobId&, JobOutcome, std::string detail);

    PlacementProfile profile;
    Instant now = Instant::min();
    SizeLearner learner;
    WorkerTable workers;
    TeamTable teams;
    std::unordered_map<JobId, JobEntry> jobs;
    std::map<std::uint64_t, Attempt> attempts;
    /// Attempts whose space is being freed.
    std::set<std::uint64_t> awaiting;
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextArrival = 1;
    std::vector<PlacementOutput> outputs;
};

} // namespace Greengage
