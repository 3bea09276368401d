#pragma once

#include "WaveMode.h"

#include <config/model/Document.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <store/vms/VmRecord.h>

#include <memory>
#include <vector>

namespace Greengage {

/// Chooses the VMs that a measured wave drains next: with the product's drain system, or with a simpler baseline under
/// the same budgets.
class WaveChooser {
public:
    explicit WaveChooser(WaveMode mode);

    void addRecord(const VmRecord& record) { this->records.push_back(record); }
    void addPool(const Service&, const Pool&);
    /// Starts a wave over all pools.
    void begin(int maxConcurrent);

    /// Adds the VMs to drain next to the ledger and returns them.
    std::vector<VmId> choose(Instant now);

    WaveMode mode() const { return this->waveMode; }
    MaintenanceLedger& ledger() { return this->waveLedger; }
    const Document& plan() const { return *this->document; }
    std::shared_ptr<const Document> sharedPlan() const { return this->document; }
    const std::vector<VmRecord>& vms() const { return this->records; }
    bool isDone() const { return this->waveLedger.vms.empty() && this->waveLedger.waves[0].remaining.empty(); }

private:
    WaveMode waveMode;
    std::shared_ptr<Document> document;
    std::vector<VmRecord> records;
    MaintenanceLedger waveLedger;
};

} // namespace Greengage
