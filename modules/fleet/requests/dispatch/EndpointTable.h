#pragma once

#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct EndpointsListed;

/// Updates the table of endpoints from the platform's list of VMs and the pools of the document.
class EndpointTable {
public:
    explicit EndpointTable(Tick&);

    void handle(const EndpointsListed&);
    /// Assigns services to endpoints after a new document.
    void assignServices();

private:
    Tick& tick;
};

} // namespace Greengage
