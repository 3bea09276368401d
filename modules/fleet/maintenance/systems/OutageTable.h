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

/// Counts the VMs out of service against the services' budgets. A VM that is being moved counts for the service of its
/// old pool and for that of its new one.
class OutageTable {
public:
    /// Counts the VMs that the ledger keeps out of service and every other VM that is not known to be serving.
    OutageTable(Instant now, const FleetView&, const MaintenanceLedger&);

    /// Whether the budgets of the services and their rack and zone bounds allow one more VM out of service.
    bool allows(const VmMaintenance&) const;
    /// Counts a serving VM as taken out of service by plan.
    void add(const VmMaintenance&);
    /// Counts a VM as returned to service.
    void remove(const VmMaintenance&);
    /// Whether one of the services that the VM counts for has more VMs out of service than its budget allows.
    bool isOverBudget(const VmMaintenance&) const;

private:
    std::vector<const Service*> servicesOf(const VmMaintenance&) const;
    void count(const VmMaintenance&, int change);

    const FleetView& view;
    std::unordered_map<ServiceId, ServiceOutage> outages;
};

} // namespace Greengage
