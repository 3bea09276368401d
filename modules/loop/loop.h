// Purpose: ownership, timers, signals and parts of HTTP servers for the libevent loop that a process runs on.
// Dependencies: core, libevent.
#pragma once

#include <loop/http/HttpBuffers.h>
#include <loop/http/OpenRequests.h>
#include <loop/memory/EventDeleter.h>
#include <loop/signals/SignalWatch.h>
#include <loop/timers/Timer.h>
