// Purpose: the tables and the systems that decide: requests, limits, freshness, maintenance and placement. It knows no
// socket, no clock and no log, so that others can embed it.
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
