#pragma once

#include <core/time/Instant.h>
#include <jobs/model/ResourceAmount.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// One step of a job: a number of identical tasks.
struct StepSpec {
    std::uint32_t taskCount = 1;
    /// The resources that each task asks for. The processor time of a best-effort step is not counted against a worker.
    ResourceAmount demand;
    /// The submitter's estimate of the run time of one task; zero if there is none.
    Milliseconds estimate { 0 };
    /// Indices of the earlier steps that have to be done before this step starts.
    std::vector<std::uint32_t> after;
    /// A label that a worker must have; empty if there is no such requirement.
    std::string requiredLabel;
    /// The rack that holds the data of the step; empty if there is none.
    std::string preferredRack;
    /// What the tasks run. Tasks of the same image have the same performance characteristics.
    std::string image;
    /// Maximum number of tasks of this step on one worker; zero for no limit.
    std::uint32_t perWorkerLimit = 0;
    /// Target for the tail of the response times of a long-running task; zero if the task is not latency-sensitive.
    Milliseconds tailTarget { 0 };
    /// How many tasks of a long-running step this system may make unavailable at a time.
    std::uint32_t maxUnavailableTasks = 0;
    bool checkpoints = false;
    /// The tasks can only run together, on attempts with the same number.
    bool gang = false;
    bool sameRack = false;
    /// Several copies of one task may run at the same time; the first to finish counts.
    bool speculative = false;
    /// The tasks are long-running: they run until the job is cancelled.
    bool longRunning = false;
    /// The tasks are best-effort: they use only processor time that other tasks leave.
    bool bestEffort = false;

    /// The part of a worker's capacity that each task occupies.
    ResourceAmount occupiedPerTask() const
    {
        return { this->bestEffort ? 0 : this->demand.cpuMillis, this->demand.memoryMegabytes,
            this->demand.accelerators };
    }
};

} // namespace Greengage
