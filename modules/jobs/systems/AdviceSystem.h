#pragma once

#include <core/time/Instant.h>
#include <jobs/model/AdviceAnswer.h>
#include <jobs/model/AdviceQuestion.h>

#include <cstdint>
#include <optional>

namespace Greengage {

class JobBoard;
struct JobRow;
struct QueuePolicy;
struct StepRow;
struct WorkerRow;

/// Decides for which step the advice service is asked next, and about which workers, and keeps what it answers. It
/// answers a load in which jobs of queues that need advice arrive faster than one call takes: the job that has to start
/// first is asked for first, and only about workers that could take its tasks now.
class AdviceSystem {
public:
    /// The most workers that one question names. A call takes longer with each.
    static constexpr std::size_t workersPerQuestion = 30;
    /// A ticket is not used in the last part of its life, since a start is stored before it is sent.
    static constexpr Milliseconds ticketMargin { 300 };
    /// How long a step whose question failed is left alone.
    static constexpr Milliseconds failurePause { 200 };

    explicit AdviceSystem(JobBoard& board)
        : board(board)
    {
    }

    /// The most urgent question, if there is any. Its step counts as being asked for until `take` or `fail`.
    std::optional<AdviceQuestion> nextQuestion(Instant now, std::int64_t nowUnixMs);

    void take(const AdviceQuestion&, const AdviceAnswer&, Instant now);
    void fail(const AdviceQuestion&, Instant now);

private:
    std::optional<AdviceQuestion> questionFor(JobRow&, const QueuePolicy&, Instant now, std::int64_t nowUnixMs);
    std::vector<WorkerId> workersToAskAbout(
        const JobRow&, const QueuePolicy&, const TaskName& step, const StepRow&, Instant now) const;
    StepRow* findStep(const TaskName&);

    JobBoard& board;
};

} // namespace Greengage
