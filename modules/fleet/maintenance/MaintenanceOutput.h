#pragma once

#include <fleet/maintenance/messages/CommandSettled.h>
#include <fleet/maintenance/messages/LedgerUnreadable.h>
#include <fleet/maintenance/messages/MoveVm.h>
#include <fleet/maintenance/messages/ReadLedger.h>
#include <fleet/maintenance/messages/RebootVm.h>
#include <fleet/maintenance/messages/UpdateLedger.h>
#include <fleet/maintenance/messages/WaveEvent.h>
#include <fleet/requests/messages/AskRunning.h>

#include <variant>

namespace Greengage {

/// Every output message of the maintenance plane.
using MaintenanceOutput
    = std::variant<ReadLedger, UpdateLedger, RebootVm, MoveVm, AskRunning, CommandSettled, WaveEvent, LedgerUnreadable>;

} // namespace Greengage
