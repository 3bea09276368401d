#pragma once

#include <loop/timers/Timer.h>
#include <store/vms/VmRecord.h>

#include <functional>
#include <memory>
#include <vector>

namespace Greengage {

class StoreClient;

/// Reads the platform's list of VMs every two seconds. A list that cannot be read leaves the last one as it is.
class VmListReader {
public:
    struct Handlers {
        /// The list differs from the one before.
        std::function<void(const std::vector<VmRecord>&)> changed;
        /// The list has been read and is the same as before.
        std::function<void()> confirmed;
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
