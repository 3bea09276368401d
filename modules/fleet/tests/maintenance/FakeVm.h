#pragma once

#include <core/time/Instant.h>
#include <store/vms/VmRecord.h>

#include <vector>

namespace Greengage {

/// A VM of the fake platform.
struct FakeVm {
    VmRecord record;
    bool isUp = true;
    bool isDown(Instant now) const { return !this->isUp || now < this->rebootingUntil; }
    Instant downSince = Instant::max();
    Instant failedUntil = Instant::min();
    Instant rebootingUntil = Instant::min();
    std::uint64_t operation = 0;
    int reboots = 0;
    /// When each piece of running work ends.
    std::vector<Instant> work;
};

} // namespace Greengage
