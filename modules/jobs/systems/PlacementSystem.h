#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/ResourceAmount.h>
#include <jobs/systems/StartOrder.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

class JobTables;
struct JobRow;
struct OccurrenceRow;
struct StepRow;
struct StepSpec;
struct TaskName;
struct WorkerRow;

/// Decides which waiting tasks start now, and on which workers. A queue can ask for several times the capacity of its
/// pool. Therefore jobs that can still be on time are placed first, and late jobs get the capacity that is left. One
/// team can also submit many times its usual amount. Therefore a team that uses more than its share of the fleet is
/// placed after the others.
class PlacementSystem {
public:
    /// How long a worker accepts a start order. Shorter than the shortest delay after which a network delivers an order
    /// that it held back, so that an order without an answer is not carried out late.
    static constexpr Milliseconds orderValidFor { 700 };

    /// Maximum time that a task waits for a worker near its data while other workers have capacity for it.
    static constexpr Milliseconds maxRackWait { 1500 };

    /// `farSlowdown` is the factor by which the run time of a task grows on a worker that is not near its data.
    explicit PlacementSystem(JobTables& tables, double farSlowdown = 2)
        : tables(tables)
        , farSlowdown(farSlowdown)
    {
    }

    /// Adds planned attempts to the job tables for all tasks that can start now, and returns the orders for them.
    /// `nowUnixMs` is the time of day, for due times and objectives.
    std::vector<StartOrder> place(Instant now, std::int64_t nowUnixMs);

    /// Whether the worker accepts new tasks.
    static bool acceptsTasks(const WorkerRow&, Instant now);

    /// Whether a task may start on the worker: one in quarantine takes long-running tasks that no other worker can.
    static bool mayStart(const WorkerRow&, bool isLongRunning, Instant now);

    /// Whether the worker has the free capacity and the label for one task of the step.
    static bool canHost(const WorkerRow&, const StepSpec&);

    /// The same for this task of the step, within the step's limit of tasks per worker.
    static bool canTake(const WorkerRow&, const StepSpec&, const TaskName&);

    static bool hasLabel(const WorkerRow&, const std::string& label);

    /// How many attempts of the task's step the worker has.
    static std::uint32_t countSiblings(const WorkerRow&, const TaskName&);

private:
    struct Candidate;
    using Workers = std::vector<WorkerRow*>;

    /// The workers of a pool that accept tasks, and the demands for which none of them had free capacity in this tick.
    struct Pool {
        Workers workers;
        /// Those that would accept tasks, but for a quarantine.
        Workers quarantined;
        std::vector<ResourceAmount> unplaceableDemands;
    };

    std::vector<Candidate> collectCandidates(Instant now) const;
    /// Marks the candidates whose teams use more of the fleet's capacity than their share. Shares follow the weights of
    /// the teams that use capacity or ask for it.
    void markTeamsOverShare(std::vector<Candidate>&) const;
    double weightOf(const TeamId&) const;
    void placeJob(JobRow&, Pool&);
    void placeStep(JobRow&, std::uint32_t occurrence, std::uint32_t step, Pool&);
    void placeGang(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&);
    /// Plans attempts of all tasks of the step on these workers, or of none. Returns whether it planned them.
    bool placeGangMembers(JobRow&, std::uint32_t occurrence, std::uint32_t step, const Workers&);
    /// Stops the remaining members of a gang that has lost some, since they would only wait for the lost ones.
    void stopGangMembers(StepRow&, const TaskName& step);
    /// Chooses among all workers of the pool. Free capacity only shrinks within a tick, so a demand that did not fit is
    /// not tried again.
    WorkerRow* chooseFromPool(const JobRow&, const TaskName&, Pool&) const;
    WorkerRow* chooseWorker(const JobRow&, const TaskName&, const Workers&) const;
    bool needsTicket(const JobRow&) const;
    /// Whether a task should wait for a worker near its data, because its job can still be on time, but not if the task
    /// runs elsewhere.
    bool shouldWaitForRack(const JobRow&, const TaskName&, const Workers&) const;
    void planAttempt(JobRow&, const TaskName&, WorkerRow&, std::uint32_t run);

    JobTables& tables;
    std::vector<StartOrder> orders;
    /// When the current tick began, and the time of day then.
    Instant tickAt;
    std::int64_t tickUnixMs = 0;
    double farSlowdown;
};

} // namespace Greengage
