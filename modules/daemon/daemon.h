// Purpose: greengaged, the entry daemon: one loop that fills the inboxes of the fleet's planes, runs their ticks and
// carries out what they ask for.
// Dependencies: core, loop, config, platform, metrics, fleet, mesh, gateway, CLI11.
#pragma once

#include <daemon/process/Daemon.h>
