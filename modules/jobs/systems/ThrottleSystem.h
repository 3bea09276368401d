#pragma once

#include <core/time/Instant.h>

namespace Greengage {

class JobTables;
struct WorkerRow;

/// Throttles best-effort tasks that share a worker with latency-sensitive tasks. Best-effort tasks slow
/// latency-sensitive ones down by amounts that change within seconds. Therefore they stop at once when a
/// latency-sensitive task on their worker exceeds its target, and speed up again in steps while its response times stay
/// well below the target.
class ThrottleSystem {
public:
    /// Above this percentage of a latency-sensitive task's target, the best-effort tasks on its worker slow down by one
    /// step.
    static constexpr int throttleAbovePercent = 85;
    /// Below this percentage of the target, they speed up by one step.
    static constexpr int recoverBelowPercent = 60;
    static constexpr int speedStepPercent = 25;
    /// Time between two changes. The workers' figures cover half a second, and a report may be a second old.
    static constexpr Milliseconds settlingTime { 1500 };
    static constexpr int fullSpeedPercent = 100;

    explicit ThrottleSystem(JobTables& tables)
        : tables(tables)
    {
    }

    /// Sets the wanted speed of each best-effort attempt.
    void advance(Instant now);

private:
    /// Returns the worst tail response time of the worker's latency-sensitive tasks, in percent of its target.
    static int worstLoadPercent(const WorkerRow&);
    static void updateSpeeds(WorkerRow&, int worstLoadPercent, Instant now);

    JobTables& tables;
};

} // namespace Greengage
