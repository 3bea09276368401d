#pragma once

#include <core/time/Deadline.h>

#include <core/text/Identifier.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// An order of the operators to take each of a set of VMs down for maintenance.
struct MaintenanceWave {
    std::int64_t number = 0;
    std::vector<VmId> vms;
    /// How many of these VMs may be down at a time.
    std::uint32_t maximum = 1;
    /// When this daemon learned of the wave.
    Instant receivedAt;
    /// When the maintenance of all VMs is to have begun.
    Deadline dueBy;
    /// VMs whose maintenance has begun or is complete.
    std::set<VmId> done;
    /// VMs that the listings lack, of which only an order can show whether they have left the fleet.
    std::set<VmId> unlisted;
};

} // namespace Greengage
