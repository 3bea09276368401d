#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/Demand.h>
#include <jobs/systems/StartOrder.h>

#include <cstdint>
#include <vector>

namespace Greengage {

class JobBoard;
struct JobRow;
struct OccurrenceRow;
struct StepRow;
struct StepSpec;
struct WorkerRow;

/// Decides which waiting tasks start now and where. It answers a load in which each queue in turn asks for several
/// times what its pool holds: jobs that can still be on time go first, those that cannot take what is left. It also
/// answers one in which one team sends many times its usual: a team that has more than its share of the fleet comes
/// after the others.
class PlacementSystem {
public:
    /// How long a start order stays valid at the worker. Shorter than the shortest delay after which a network that
    /// held an order back delivers it, so that an order without an answer cannot be carried out by surprise.
    static constexpr Milliseconds orderValidFor { 700 };

    /// The longest that a task waits for a worker near its data while others have room for it.
    static constexpr Milliseconds longestRackWait { 1500 };

    /// `farSlowdown` says how many times as long a task takes away from its data.
    explicit PlacementSystem(JobBoard& board, double farSlowdown = 2)
        : board(board)
        , farSlowdown(farSlowdown)
    {
    }

    /// Decides what can be started; the attempts are planned on the board. `nowUnixMs` is the time of day, for due
    /// times and objectives.
    std::vector<StartOrder> place(Instant now, std::int64_t nowUnixMs);

    /// Whether a worker can be given tasks.
    static bool takesWork(const WorkerRow&, Instant now);

    /// Whether the worker has room and the label for one task of the step.
    static bool couldTake(const WorkerRow&, const StepSpec&);

private:
    struct Candidate;
    using Workers = std::vector<WorkerRow*>;

    /// Workers that can be given tasks of one pool, and what was found in this round to fit on none of them.
    struct Pool {
        Workers workers;
        std::vector<Demand> tooMuch;
    };

    std::vector<Candidate> collect() const;
    /// Marks the candidates whose teams have more of the fleet than their weight among the teams that want any.
    void markShares(std::vector<Candidate>&) const;
    double weightOf(const TeamId&) const;
    void placeJob(JobRow&, Pool&);
    void placeStep(JobRow&, std::uint32_t occurrence, std::uint32_t step, Pool&);
    void placeGang(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&);
    /// Plans all tasks of the step on these workers, or none. Returns whether it did.
    bool placeMembers(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&);
    /// Stops what is left of a gang that has lost members, since the others would only wait for them.
    void stopMembers(StepRow&, const TaskName& step);
    /// Chooses among all of the pool's workers. Room only shrinks within a round, so what did not fit is not tried
    /// again.
    WorkerRow* chooseInPool(const JobRow&, const TaskName&, Pool&) const;
    WorkerRow* choose(const JobRow&, const TaskName&, const Workers&) const;
    bool needsTicket(const JobRow&) const;
    /// Whether a task should rather wait for a worker near its data: its job can still be on time, but not if the task
    /// runs elsewhere.
    bool waitsForItsRack(const JobRow&, const TaskName&, const Workers&) const;
    bool isWithinMaximum(const JobRow&, const Demand&) const;
    void begin(JobRow&, const TaskName&, WorkerRow&, std::uint32_t run);

    JobBoard& board;
    std::vector<StartOrder> orders;
    /// When the present round began, and the time of day then.
    Instant roundAt;
    std::int64_t roundUnixMs = 0;
    double farSlowdown;
};

} // namespace Greengage
