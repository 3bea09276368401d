#pragma once

#include <fleet/requests/messages/RunningWork.h>
#include <store/vms/VmRecord.h>

#include <cstddef>
#include <map>

namespace Greengage {

/// An endpoint with eight slots. Its work runs on when a daemon dies.
class FakeEndpoint {
public:
    static constexpr std::size_t slots = 8;

    VmRecord vm;
    std::map<RequestId, RunningWork> running;
    /// Accepts connections and never answers.
    bool silent = false;
    /// How many requests it refused because every slot was in use.
    int refusals = 0;
};

} // namespace Greengage
