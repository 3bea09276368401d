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

/// All workers, with those that may be given work in order of free processors.
class WorkerTable {
public:
    /// Takes over a list. Returns the workers that have booted since they were last listed.
    std::vector<WorkerId> apply(const std::vector<WorkerRecord>&);

    /// The entry, or null. After a change of anything but `held` and `awaited` by hand, call `reindex`.
    WorkerEntry* find(const WorkerId&);
    std::unordered_map<WorkerId, WorkerEntry>& all() { return this->entries; }
    void reindex(WorkerEntry&);

    /// Counts an attempt's reservation in or out, as promised while it is awaiting and as held otherwise.
    void add(const Attempt&);
    void remove(const Attempt&);
    /// Counts the reservation of an attempt that was awaiting as held.
    void hold(const Attempt&);

    /// What all workers that may be given work have.
    const Resources& total() const { return this->totalCapacity; }
    /// Those that may be given work, by name.
    const std::set<WorkerId>& usable() const { return this->byName; }
    /// The largest amount of each kind that any listed worker has.
    Resources largest() const;

    /// A worker that is accepted and has the amount free: with `tightly` one with few processors free, otherwise the
    /// first by name. A few dozen candidates are looked at.
    WorkerEntry* findFit(const Resources&, bool tightly, const std::function<bool(const WorkerEntry&)>& accepts);

private:
    WorkerEntry* findFirstFit(const Resources&, const std::function<bool(const WorkerEntry&)>& accepts);

    std::unordered_map<WorkerId, WorkerEntry> entries;
    std::set<std::pair<double, WorkerId>> byFree;
    std::set<WorkerId> byName;
    Resources totalCapacity;
};

} // namespace Greengage
