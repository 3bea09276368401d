#pragma once

#include <core/text/Identifier.h>
#include <store/vms/VmRecord.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// The platform's list of VMs has been read, or the maintenance ledger has changed.
struct EndpointsListed {
    std::vector<VmRecord> vms;
    /// VMs that maintenance holds out of service: they get no new work.
    std::set<VmId> draining;
    /// Revision of the maintenance ledger that `draining` was taken from; peers are told of it.
    std::uint64_t ledgerRevision = 0;
};

} // namespace Greengage
