// Purpose: the tables and systems that decide over requests, limits, freshness, maintenance and placement. They do no
// input or output, read no clock and write no log, so that they can be embedded in other programs.
// Dependencies: core, the document model of config, the VM records of platform.
#pragma once

#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/plan/WavePlan.h>
#include <fleet/peers/PeerState.h>
#include <fleet/placement/PlacementPlane.h>
#include <fleet/requests/RequestInput.h>
#include <fleet/requests/RequestOutput.h>
#include <fleet/requests/RequestPlane.h>
