#pragma once

#include <config/model/DocumentRecord.h>
#include <fleet/peers/PeerState.h>
#include <measure/capacity/FleetSize.h>
#include <store/vms/VmRecord.h>

#include <string>
#include <vector>

namespace Greengage {

/// Generates the inputs of a daemon in a fleet of a given size.
class SyntheticFleet {
public:
    explicit SyntheticFleet(FleetSize);

    /// The operators' document, with one queue for each service and one key for each team.
    std::string documentText() const;
    DocumentRecord documentRecord() const;
    std::vector<VmRecord> vms() const;
    /// The body of the platform's answer to a request for the VM list.
    std::string vmListJson() const;
    /// The state that daemon `index` sends to its peers while every team runs work on one queue.
    PeerState peerState(int index) const;
    static IncarnationId incarnation(int index);

private:
    std::string poolSections() const;
    std::string teamSections() const;

    FleetSize size;
};

} // namespace Greengage
