#pragma once

#include <core/time/Instant.h>
#include <jobs/systems/AttemptEvent.h>

#include <vector>

namespace Greengage {

class JobTables;
struct Attempt;
struct JobRow;
struct WorkerReport;
struct WorkerRow;
struct RunningAttempt;
struct EndedAttempt;

/// Updates the job tables from the reports of workers.
class ReportSystem {
public:
    /// Consecutive failed attempts after which a worker is quarantined: it gets no new attempts for a while.
    static constexpr std::uint32_t failuresBeforeQuarantine = 2;
    /// How long a worker is quarantined.
    static constexpr Milliseconds quarantineDuration { 4000 };

    /// A long-running attempt that has run for this long has shown that its worker can run tasks.
    static constexpr Milliseconds provenRunTime { 5000 };
    /// How long a long-running task that has failed early several times in a row waits for its next attempt.
    static constexpr Milliseconds retryPause { 2000 };

    explicit ReportSystem(JobTables& tables)
        : tables(tables)
    {
    }

    /// Applies a report that answers a request sent at `sentAt`. Returns the changes that it contains.
    std::vector<AttemptEvent> apply(WorkerRow&, const WorkerReport&, Instant sentAt, Instant now);

private:
    void handleEnd(WorkerRow&, const EndedAttempt&, Instant now);
    void countFailure(WorkerRow&, const EndedAttempt&, Instant now);
    /// Records the failure of a long-running task, which may fail at any time and never ends as done. Returns whether
    /// it tells something about the worker: it came early, and the task had not failed like this before.
    bool isFailureOfWorker(const Attempt&, Instant now);
    void handleDone(WorkerRow&, const EndedAttempt&);
    /// Has the current attempt of the task stopped if `isUnneeded(attempt)`.
    template <typename Condition> void stopAttempt(const TaskName&, Condition isUnneeded);
    void handleRunning(WorkerRow&, const RunningAttempt&, Instant now);
    bool adopt(WorkerRow&, const RunningAttempt&, Instant now);
    void addOrphan(WorkerRow&, const RunningAttempt&, Instant now);
    void releaseUnlisted(WorkerRow&, const WorkerReport&, Instant sentAt);
    void markUnsaved(const JobId&);
    void recordEvent(AttemptEventKind, const TaskName&, std::uint32_t run, const WorkerRow&);

    JobTables& tables;
    std::vector<AttemptEvent> events;
};

} // namespace Greengage
