#pragma once

#include <loop/timers/Timer.h>
#include <store/vms/VmRecord.h>

#include <functional>
#include <memory>
#include <vector>

namespace Greengage {

class StoreClient;

/// Reads the platform's list of VMs every two seconds. After a failed read the last list stays in effect.
class VmListReader {
public:
    struct Handlers {
        /// Called when the list differs from the previous one.
        std::function<void(const std::vector<VmRecord>&)> onChanged;
        /// Called when the list was read and has not changed.
        std::function<void()> onUnchanged;
    };

    VmListReader(event_base&, StoreClient&, Handlers);

    void start() { this->read(); }

private:
    void read();

    StoreClient& store;
    Handlers handlers;
    std::shared_ptr<const std::vector<VmRecord>> newest;
    Timer timer;
};

} // namespace Greengage
