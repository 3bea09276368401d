#pragma once

#include <loop/timers/Timer.h>
#include <platform/vms/VmRecord.h>

#include <functional>
#include <memory>
#include <vector>

namespace Greengage {

class StoreClient;

/// Reads the platform's list of VMs every two seconds. A list that cannot be read leaves the last one as it is.
class VmListReader {
public:
    /// Called with each list that differs from the one before.
    using Listed = std::function<void(const std::vector<VmRecord>&)>;

    VmListReader(event_base&, StoreClient&, Listed listed);

    void start() { this->read(); }

private:
    void read();

    StoreClient& store;
    Listed listed;
    std::shared_ptr<const std::vector<VmRecord>> newest;
    Timer timer;
};

} // namespace Greengage
