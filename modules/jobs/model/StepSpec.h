#pragma once

#include <core/time/Instant.h>
#include <jobs/model/Demand.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// One step of a job: a number of like tasks.
struct StepSpec {
    std::uint32_t taskCount = 1;
    /// What each task occupies. A filling step's processor time is not counted against a worker.
    Demand demand;
    /// The submitter's rough guess of one task's run time; zero if none was given.
    Milliseconds estimate { 0 };
    /// Indices of earlier steps whose tasks must all be done before this step begins.
    std::vector<std::uint32_t> after;
    /// A label that a worker must carry; empty if any will do.
    std::string requiredLabel;
    /// The rack that holds the step's data; empty if there is none.
    std::string preferredRack;
    /// What the tasks run; tasks of one image behave alike.
    std::string image;
    /// The most tasks of this step that one worker may run; zero for no limit.
    std::uint32_t perWorkerLimit = 0;
    /// The response time that a lasting task must keep for its own users; zero if it serves none.
    Milliseconds tailTarget { 0 };
    /// How many tasks of a lasting step this system may have away from work at a time.
    std::uint32_t mayMiss = 0;
    bool checkpoints = false;
    /// The tasks only work together, on attempts with the same number.
    bool gang = false;
    bool sameRack = false;
    /// Several copies of one task may run at a time; the first to finish counts.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool lasting = false;
    /// The tasks use only the processor time that others leave.
    bool fills = false;

    /// What each task takes of a worker's room.
    Demand occupies() const
    {
        return { this->fills ? 0 : this->demand.cpuMillis, this->demand.memoryMegabytes, this->demand.accelerators };
    }
};

} // namespace Greengage
