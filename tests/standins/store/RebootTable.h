#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// The reboots that the platform has accepted. Each operation number of a VM is carried out at most once.
class RebootTable {
public:
    struct Reboot {
        std::uint64_t operation = 0;
        Deadline doneAt;
        bool reported = false;
    };

    /// Accepts a reboot if its operation number is above that of the VM's newest reboot; returns whether it was
    /// accepted.
    bool accept(const std::string& vm, std::uint64_t operation, Deadline doneAt)
    {
        Reboot& newest = this->reboots[vm];
        if (operation <= newest.operation)
            return false;
        newest = { operation, doneAt, false };
        return true;
    }

    const Reboot& newest(const std::string& vm) { return this->reboots[vm]; }

    /// The VMs whose reboot has ended since the previous call.
    std::vector<std::string> takeCompleted(Instant now)
    {
        std::vector<std::string> ended;
        for (auto& [vm, reboot] : this->reboots) {
            if (reboot.reported || reboot.operation == 0 || !reboot.doneAt.hasPassed(now))
                continue;
            reboot.reported = true;
            ended.push_back(vm);
        }
        return ended;
    }

private:
    std::map<std::string, Reboot> reboots;
};

} // namespace Greengage
