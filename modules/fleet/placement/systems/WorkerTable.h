#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/systems/WorkerEntry.h>

#include <functional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Greengage {

struct Attempt;

/// All workers, with an index of those that may receive work by free processors.
class WorkerTable {
public:
    /// Applies a list of workers. Returns those that have booted since they were last listed.
    std::vector<WorkerId> apply(const std::vector<WorkerRecord>&);

    /// The entry, or null. After changing anything in it but `held` and `awaited`, call `reindex`.
    WorkerEntry* find(const WorkerId&);
    std::unordered_map<WorkerId, WorkerEntry>& all() { return this->entries; }
    void reindex(WorkerEntry&);

    /// Adds or removes an attempt's reservation: in `awaited` while the attempt is awaiting capacity, in `held`
    /// otherwise.
    void add(const Attempt&);
    void remove(const Attempt&);
    /// Moves the reservation of an attempt that was awaiting capacity from `awaited` to `held`.
    void markHeld(const Attempt&);

    /// Total capacity of the workers that may receive work.
    const Resources& total() const { return this->totalCapacity; }
    /// The workers that may receive work, ordered by name.
    const std::set<WorkerId>& usable() const { return this->byName; }
    /// The largest amount of each kind of resource that any listed worker has.
    Resources largest() const;

    /// Finds a worker that is accepted and has the amount free: with `tightly` one with few free processors, examining
    /// at most a few dozen candidates, otherwise the first by name.
    WorkerEntry* findFit(const Resources&, bool tightly, const std::function<bool(const WorkerEntry&)>& accepts);

private:
    WorkerEntry* findFirstFit(const Resources&, const std::function<bool(const WorkerEntry&)>& accepts);

    std::unordered_map<WorkerId, WorkerEntry> entries;
    std::set<std::pair<double, WorkerId>> byFree;
    std::set<WorkerId> byName;
    Resources totalCapacity;
};

} // namespace Greengage
