#pragma once

#include <core/time/Deadline.h>
#include <jobs/model/JobRecord.h>
#include <jobs/model/JobState.h>
#include <jobs/tables/FormerAttempt.h>
#include <jobs/tables/StepAdvice.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

enum class TaskPhase {
    Waiting,
    /// An attempt of the task exists, in any phase.
    Active,
    Done,
};

struct TaskRow {
    TaskPhase phase = TaskPhase::Waiting;
    /// The worker of the current attempt, if the task is active.
    WorkerId worker;
    std::uint32_t run = 0;
    std::set<std::uint32_t> failedRuns;
    std::string checkpoint;
    /// The worker of the latest failed attempt. It is the last choice for the next one.
    WorkerId failedOn;
    /// Whether the latest failed attempt of this long-running task failed soon after its start.
    bool hasFailedEarly = false;
    /// No attempt starts before.
    Deadline nextStart;
    std::optional<FormerAttempt> former;
};

struct StepRow {
    std::vector<TaskRow> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0;
    /// When placement first found the step ready.
    std::optional<Instant> readyAt;
    /// Used only for queues whose tasks need tickets.
    StepAdvice advice;

    bool isDone() const { return this->doneCount == this->tasks.size(); }
    std::uint32_t waitingCount() const
    {
        return static_cast<std::uint32_t>(this->tasks.size()) - this->doneCount - this->activeCount;
    }
};

struct OccurrenceRow {
    std::int64_t dueUnixMs = 0;
    std::vector<StepRow> steps;
    std::uint32_t doneSteps = 0;
};

/// The state of one job that has not ended, or whose end is not stored yet.
struct JobRow {
    JobRecord record;
    std::vector<OccurrenceRow> occurrences;
    std::uint32_t activeTasks = 0;
    /// The attempts of its tasks that workers have, those of tasks that are done included.
    std::uint32_t attempts = 0;
    std::uint32_t doneOccurrences = 0;
    /// Waiting or Running until the job has ended.
    JobState state = JobState::Waiting;
    /// The store revision of the job record.
    std::int64_t recordRevision = 0;
    /// The store revision of the stored progress; 0 if there is none.
    std::int64_t progressRevision = 0;
    /// Whether a worker is known to have started a task of the job. A start order that was refused, or that got no
    /// answer, does not show it.
    bool hasStarted = false;

    bool hasEnded() const { return this->state != JobState::Waiting && this->state != JobState::Running; }
};

} // namespace Greengage
