// Purpose: ownership, timers and signals for the libevent loop that a process runs on.
// Dependencies: core, libevent.
#pragma once

#include <loop/memory/EventDeleter.h>
#include <loop/signals/SignalWatch.h>
#include <loop/timers/Timer.h>
