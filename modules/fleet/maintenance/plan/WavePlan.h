#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/plan/WavePlanStep.h>

#include <memory>
#include <vector>

namespace Greengage {

struct Document;
struct VmRecord;
struct Wave;

/// A dry run of a wave: what it would do if no VM failed and each took the expected time.
struct WavePlan {
    /// In the order in which the VMs are taken.
    std::vector<WavePlanStep> steps;
    /// VMs that the platform does not list as live, or that no budget lets out; the wave would wait for them.
    std::vector<VmId> waiting;
    Seconds duration {};
    /// Least time that the budgets and the expected time for a VM allow in any order.
    Seconds lowerBound {};
    /// Most VMs out of service at once: the buffer to hold while the wave runs.
    int mostOut = 0;
};

/// Plans a wave of the document over the listed VMs, each expected to be out of service for `perVm`.
WavePlan planWave(std::shared_ptr<const Document>, const std::vector<VmRecord>&, const Wave&, Seconds perVm);

} // namespace Greengage
