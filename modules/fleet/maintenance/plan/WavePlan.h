#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/plan/WavePlanStep.h>

#include <memory>
#include <vector>

namespace Greengage {

struct Document;
struct VmRecord;
struct Wave;

/// The result of a dry run of a wave, assuming that no VM fails and each takes the expected time.
struct WavePlan {
    /// In the order in which the VMs are taken out of service.
    std::vector<WavePlanStep> steps;
    /// VMs that the platform does not list as live, or that no budget allows out of service; the wave would wait for
    /// them.
    std::vector<VmId> waiting;
    Seconds duration {};
    /// The minimum time that the budgets and the expected time per VM allow in any order.
    Seconds lowerBound {};
    /// The maximum number of VMs out of service at once: the spare capacity to provide while the wave runs.
    int mostOut = 0;
};

/// Plans a wave of the document over the listed VMs, each expected to be out of service for `perVm`.
WavePlan planWave(std::shared_ptr<const Document>, const std::vector<VmRecord>&, const Wave&, Seconds perVm);

} // namespace Greengage
