#pragma once

#include <core/time/Instant.h>
#include <jobs/systems/StartOrder.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobBoard;
struct Demand;
struct JobRow;
struct OccurrenceRow;
struct StepSpec;
struct WorkerRow;

/// Decides which waiting tasks start now and where. It answers a load in which each queue in turn asks for several
/// times what its pool holds: jobs that can still be on time go first, those that cannot take what is left.
class PlacementSystem {
public:
    /// How long a start order stays valid at the worker. Shorter than the shortest delay after which a network that
    /// held an order back delivers it, so that an order without an answer cannot be carried out by surprise.
    static constexpr Milliseconds orderValidFor { 1500 };
    /// How much slower than ours a worker's clock may run, in hundredths.
    static constexpr int workerClockSlackPercent = 3;

    explicit PlacementSystem(JobBoard& board)
        : board(board)
    {
    }

    /// Starts what can be started. `nowUnixMs` is the time of day, for due times and objectives.
    std::vector<StartOrder> place(Instant now, std::int64_t nowUnixMs);

private:
    struct Candidate;
    using Workers = std::vector<WorkerRow*>;

    std::vector<Candidate> collect(Instant now, std::int64_t nowUnixMs) const;
    void placeJob(JobRow&, const Workers&, Instant now, std::int64_t nowUnixMs);
    void placeStep(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&, Instant now);
    void placeGang(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&, Instant now);
    WorkerRow* choose(const StepSpec&, const TaskName&, const Workers&, const WorkerId& failedOn) const;
    bool isWithinMaximum(const JobRow&, const Demand&) const;
    void reserveInherited(Instant now, std::int64_t nowUnixMs);
    void begin(JobRow&, const TaskName&, WorkerRow&, std::uint32_t run, Instant now);

    JobBoard& board;
    std::vector<StartOrder> orders;
    /// What tasks may be using that an earlier placing daemon may have started on workers not reached yet.
    std::unordered_map<TeamId, Demand> inheritedUse;
};

} // namespace Greengage
