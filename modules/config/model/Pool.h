#pragma once

#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// A set of VMs that do the same work. A VM stands in exactly one pool of a document; the parser refuses it in two.
struct Pool {
    PoolId name;
    std::string owner;
    /// The service that the pool's VMs are endpoints of; empty for a spare pool or a pool of workers.
    ServiceId service;
    std::vector<VmId> vms;
    /// Line of the section's header in the document, from 1.
    int line = 0;
};

} // namespace Greengage
