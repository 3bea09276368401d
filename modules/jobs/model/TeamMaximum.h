#pragma once

#include <jobs/model/ResourceAmount.h>

namespace Greengage {

struct StepSpec;

/// What a team may have running across all pools. A task may start while the team uses less than the maximum, whatever
/// the size of the task: none waits for good because other tasks of the team leave less than its size free, and the
/// team exceeds its maximum by less than one task. Zero in a resource means no limit.
class TeamMaximum {
public:
    explicit TeamMaximum(const ResourceAmount& amount)
        : amount(amount)
    {
    }

    /// Whether a task of the step may start, or the whole gang one after the other, while the team uses `use`.
    bool permits(const StepSpec&, const ResourceAmount& use) const;

private:
    ResourceAmount amount;
};

} // namespace Greengage
