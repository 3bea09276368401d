// Purpose: ownership and timers for the libevent loop that a process runs on.
// Dependencies: core, libevent.
#pragma once

#include <loop/memory/EventDeleter.h>
#include <loop/timers/Timer.h>
