#pragma once

#include <core/text/Identifier.h>
#include <store/vms/VmRecord.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// The platform's list of VMs was read, or the maintenance ledger changed.
struct EndpointsListed {
    std::vector<VmRecord> vms;
    /// VMs that maintenance keeps out of service: they get no new requests.
    std::set<VmId> draining;
    /// Revision of the maintenance ledger that `draining` was taken from; it is sent to peers.
    std::uint64_t ledgerRevision = 0;
};

} // namespace Greengage
