#pragma once

#include <core/time/Instant.h>
#include <jobs/systems/AttemptEvent.h>

#include <vector>

namespace Greengage {

class JobTables;
struct JobRow;
struct WorkerReport;
struct WorkerRow;
struct RunningAttempt;
struct EndedAttempt;

/// Updates the job tables from the reports of workers.
class ReportSystem {
public:
    /// Consecutive failed attempts after which a worker is set aside: it gets no new attempts for a while.
    static constexpr std::uint32_t failuresBeforeSetAside = 2;
    /// How long a worker is set aside.
    static constexpr Milliseconds setAsideFor { 4000 };

    explicit ReportSystem(JobTables& board)
        : board(board)
    {
    }

    /// Applies a report that answers a question sent at `sentAt`. Returns the changes that it contains.
    std::vector<AttemptEvent> apply(WorkerRow&, const WorkerReport&, Instant sentAt, Instant now);

private:
    void handleEnd(WorkerRow&, const EndedAttempt&, Instant now);
    void handleDone(WorkerRow&, const EndedAttempt&);
    void handleRunning(WorkerRow&, const RunningAttempt&, Instant now);
    bool adopt(WorkerRow&, const RunningAttempt&, Instant now);
    void addOrphan(WorkerRow&, const RunningAttempt&, Instant now);
    void releaseUnlisted(WorkerRow&, const WorkerReport&, Instant sentAt);
    void recordEvent(AttemptEventKind, const TaskName&, std::uint32_t run, const WorkerRow&);

    JobTables& board;
    std::vector<AttemptEvent> events;
};

} // namespace Greengage
