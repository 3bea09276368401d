// Purpose: greengaged, the entry daemon: one event loop that queues inputs for the planes of the fleet module, runs
// their ticks and executes their outputs.
// Dependencies: core, loop, config, platform, metrics, fleet, mesh, gateway, CLI11.
#pragma once

#include <daemon/process/Daemon.h>
