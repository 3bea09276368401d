#pragma once

#include <fleet/maintenance/messages/LedgerRead.h>
#include <fleet/maintenance/messages/LedgerReadFailed.h>
#include <fleet/maintenance/messages/LedgerWriteFailed.h>
#include <fleet/maintenance/messages/RebootReported.h>
#include <fleet/maintenance/messages/WaveCommanded.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerHeard.h>
#include <fleet/requests/messages/RunningReported.h>

#include <variant>

namespace Greengage {

/// Every input message of the maintenance plane. PeerHeard and MembersListed include this daemon itself.
using MaintenanceInput = std::variant<DocumentApplied, EndpointsListed, MembersListed, PeerHeard, RunningReported,
    LedgerRead, LedgerReadFailed, LedgerWriteFailed, RebootReported, WaveCommanded>;

} // namespace Greengage
