#pragma once

#include <core/time/Instant.h>
#include <jobs/systems/TaskAbsence.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Greengage {

class JobTables;
struct Attempt;
struct JobRow;
struct StepRow;
struct WorkerRow;

/// Finds long-running tasks that have not been at work for a while, and why, from the tables by which tasks are placed.
class AbsenceMonitor {
public:
    /// Tasks that are not at work for less than this are not reported.
    static constexpr Milliseconds tolerance { 3000 };

    explicit AbsenceMonitor(const JobTables& tables)
        : tables(tables)
    {
    }

    /// Returns the long-running tasks that have not been at work for longer than `tolerance`, those with the rarest
    /// reason first. Absences that begin and end between two calls are not seen.
    std::vector<TaskAbsence> check(Instant now, std::int64_t nowUnixMs);

private:
    struct Obstacle {
        AbsenceReason reason = AbsenceReason::NoWorker;
        WorkerId worker;
    };

    void checkStep(const JobRow&, const TaskName& step, const StepRow&, Instant now);
    static bool isAtWork(const WorkerRow&, const Attempt&, Instant now);
    static AbsenceReason reasonOf(const WorkerRow&, const Attempt&);
    /// Why no attempt of the step's waiting tasks is planned.
    Obstacle findObstacle(const JobRow&, const TaskName&, const StepRow&, Instant now) const;
    AbsenceReason obstacleAt(const WorkerRow&, const JobRow&, const TaskName&, const StepRow&, Instant now) const;
    void sortByRarity();

    const JobTables& tables;
    std::map<TaskName, Instant> absentSince;
    std::map<TaskName, Instant> earlierAbsentSince;
    std::vector<TaskAbsence> absences;
};

} // namespace Greengage
