#pragma once

#include <core/errors/Result.h>
#include <fleet/maintenance/ledger/LedgerError.h>
#include <fleet/maintenance/ledger/VmMaintenance.h>
#include <fleet/maintenance/ledger/WaveProgress.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Key of the ledger in the platform's store.
inline constexpr std::string_view ledgerKey = "fleet/ledger";

/// The state of all maintenance: the VMs that it keeps out of service and the progress of each wave. The ledger is one
/// value in the store and changes only by compare-and-swap, so any daemon can continue from it.
struct MaintenanceLedger {
    /// Increases by one with each write; 0 for a ledger that has never been written.
    std::uint64_t revision = 0;
    /// Newest document revision on which a write was based. A daemon with an older document writes nothing.
    std::uint64_t documentRevision = 0;
    std::vector<VmMaintenance> vms;
    std::vector<WaveProgress> waves;

    VmMaintenance* find(const VmId&);
    const VmMaintenance* find(const VmId&) const;
    WaveProgress* find(const WaveId&);
    const WaveProgress* find(const WaveId&) const;
    void erase(const VmId&);

    /// The VMs that receive no new work.
    std::set<VmId> outOfService() const;

    bool operator==(const MaintenanceLedger&) const = default;

    std::string encode() const;
    /// Decodes a stored value. An empty text decodes to a ledger that has never been written.
    static Result<MaintenanceLedger, LedgerError> decode(const std::string& text);
};

} // namespace Greengage
