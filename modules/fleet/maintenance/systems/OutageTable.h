#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/systems/ServiceOutage.h>

#include <unordered_map>
#include <vector>

namespace Greengage {

class FleetView;
struct MaintenanceLedger;
struct Service;
struct VmMaintenance;

/// Counts the VMs that are out of service against the services' budgets. A VM that is to move counts for the service of
/// its old pool and for that of its new one.
class OutageTable {
public:
    /// Counts what the ledger holds out of service and every other VM that is not seen serving.
    OutageTable(Instant now, const FleetView&, const MaintenanceLedger&);

    /// Whether the budgets of the services and their rack and zone bounds let one more VM be taken out of service.
    bool allows(const VmMaintenance&) const;
    /// Counts a VM as taken out by plan; it was serving.
    void add(const VmMaintenance&);
    /// Counts a VM as put back into service.
    void remove(const VmMaintenance&);
    /// Whether more VMs are out than one of the services that the VM counts for may have out.
    bool isOverBudget(const VmMaintenance&) const;

private:
    std::vector<const Service*> servicesOf(const VmMaintenance&) const;
    void count(const VmMaintenance&, int change);

    const FleetView& view;
    std::unordered_map<ServiceId, ServiceOutage> outages;
};

} // namespace Greengage
