#pragma once

#include <core/time/Instant.h>
#include <jobs/systems/AttemptEvent.h>

#include <vector>

namespace Greengage {

class JobBoard;
struct JobRow;
struct WorkerReport;
struct WorkerRow;
struct RunningAttempt;
struct EndedAttempt;

/// Brings the board in line with what workers report.
class ReportSystem {
public:
    /// Failed attempts in a row after which a worker gets no new ones for a while.
    static constexpr std::uint32_t failuresBeforeSetAside = 2;
    /// How long such a worker is left alone before it is tried again.
    static constexpr Milliseconds setAsideFor { 4000 };

    explicit ReportSystem(JobBoard& board)
        : board(board)
    {
    }

    /// Takes in a report that answers a question sent at `sentAt`. Returns what is new in it.
    std::vector<AttemptEvent> apply(WorkerRow&, const WorkerReport&, Instant sentAt, Instant now);

private:
    void takeEnd(WorkerRow&, const EndedAttempt&, Instant now);
    void takeDone(WorkerRow&, const EndedAttempt&);
    void takeRunning(WorkerRow&, const RunningAttempt&, Instant now);
    bool adopt(WorkerRow&, const RunningAttempt&, Instant now);
    void addStray(WorkerRow&, const RunningAttempt&, Instant now);
    void dropUnlisted(WorkerRow&, const WorkerReport&, Instant sentAt);
    void note(AttemptEventKind, const TaskName&, std::uint32_t run, const WorkerRow&);

    JobBoard& board;
    std::vector<AttemptEvent> events;
};

} // namespace Greengage
