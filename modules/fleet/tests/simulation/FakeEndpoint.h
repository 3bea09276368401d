#pragma once

#include <fleet/requests/messages/RunningWork.h>
#include <store/vms/VmRecord.h>

#include <cstddef>
#include <map>

namespace Greengage {

/// An endpoint with eight slots. Its requests continue to run when a daemon is killed.
class FakeEndpoint {
public:
    static constexpr std::size_t slots = 8;

    VmRecord vm;
    std::map<RequestId, RunningWork> running;
    /// Whether it accepts connections and never answers.
    bool silent = false;
    /// Number of requests that it refused because all slots were in use.
    int refusals = 0;
};

} // namespace Greengage
