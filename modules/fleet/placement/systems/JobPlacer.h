#pragma once

#include <fleet/placement/model/Resources.h>

#include <vector>

namespace Greengage {

struct JobEntry;
struct PlacementTables;
struct TeamEntry;
struct WorkerEntry;

/// Places single jobs within one tick and remembers sizes that fitted on no worker.
class JobPlacer {
public:
    explicit JobPlacer(PlacementTables& tables)
        : tables(tables)
    {
    }

    /// Whether the team may start the job now under its upper limit, its share and what it may borrow beyond the share.
    bool mayStart(const TeamEntry&, const Resources& size) const;
    /// Starts the job on a worker with enough free capacity. Returns whether there was one.
    bool place(JobEntry&);
    /// Whether the worker may be given the job.
    static bool accepts(const WorkerEntry&, const JobEntry&);

private:
    PlacementTables& tables;
    std::vector<Resources> unplaceable;
};

} // namespace Greengage
