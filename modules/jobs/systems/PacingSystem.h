#pragma once

#include <core/time/Instant.h>

namespace Greengage {

class JobBoard;
struct WorkerRow;

/// Decides at which share of their speed filling tasks work beside tasks that serve. It answers a load in which filling
/// tasks slow the serving ones of the same worker down, by amounts that change within seconds: a serving task over its
/// target stops the fillers beside it at once, and they come back in steps while it stays well below.
class PacingSystem {
public:
    /// A serving task within this part of its target, in percent, has its fillers slowed by one step.
    static constexpr int tensePercent = 85;
    /// Below this part of the target, the fillers gain one step.
    static constexpr int calmPercent = 60;
    static constexpr int step = 25;
    /// Between two changes: the workers' figures cover half a second, and a report may be a second old.
    static constexpr Milliseconds settlesWithin { 1500 };
    static constexpr int wholeSpeed = 100;

    explicit PacingSystem(JobBoard& board)
        : board(board)
    {
    }

    /// Sets the pace that each filling attempt should have.
    void advance(Instant now);

private:
    /// The worst tail of the worker's serving tasks, in percent of its target.
    static int tension(const WorkerRow&);
    static void setPace(WorkerRow&, int tension, Instant now);

    JobBoard& board;
};

} // namespace Greengage
