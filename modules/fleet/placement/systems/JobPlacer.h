#pragma once

#include <fleet/placement/model/Resources.h>

#include <vector>

namespace Greengage {

struct JobEntry;
struct PlacementTables;
struct TeamEntry;
struct WorkerEntry;

/// Finds places for single jobs within one tick, and remembers sizes that found none.
class JobPlacer {
public:
    explicit JobPlacer(PlacementTables& tables)
        : tables(tables)
    {
    }

    /// Whether the team may begin the job now: its upper limit, its share, and what it may borrow beyond that.
    bool mayBegin(const TeamEntry&, const Resources& size) const;
    /// Begins the job on a worker that has the space. Returns whether it found one.
    bool place(JobEntry&);
    /// Whether the worker may be given the job.
    static bool accepts(const WorkerEntry&, const JobEntry&);

private:
    PlacementTables& tables;
    std::vector<Resources> unplaceable;
};

} // namespace Greengage
