#pragma once

#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// A set of VMs that do the same work. The parser rejects a document that lists a VM more than once.
struct Pool {
    PoolId name;
    std::string owner;
    /// The service whose endpoints run on the pool's VMs; empty for a spare pool or a pool of workers.
    ServiceId service;
    std::vector<VmId> vms;
    /// Line of the section's header in the document, counted from 1.
    int line = 0;
};

} // namespace Greengage
