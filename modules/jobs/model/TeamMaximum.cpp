#include <jobs/model/TeamMaximum.h>

#include <jobs/model/StepSpec.h>

namespace Greengage {

bool TeamMaximum::permits(const StepSpec& step, const ResourceAmount& use) const
{
    // The members of a gang that start before the last one.
    std::int64_t earlierMembers = step.gang ? static_cast<std::int64_t>(step.taskCount) - 1 : 0;
    // A resource that the task does not need cannot be exceeded by its start.
    auto isBelow = [earlierMembers](std::int64_t maximum, std::int64_t used, std::int64_t demand) {
        return !maximum || !demand || used + earlierMembers * demand < maximum;
    };
    return isBelow(this->amount.cpuMillis, use.cpuMillis, step.demand.cpuMillis)
        && isBelow(this->amount.memoryMegabytes, use.memoryMegabytes, step.demand.memoryMegabytes)
        && isBelow(this->amount.accelerators, use.accelerators, step.demand.accelerators);
}

} // namespace Greengage
