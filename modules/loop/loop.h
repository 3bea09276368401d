// Purpose: RAII wrappers for libevent: ownership of its objects, timers, signal handlers and helpers for HTTP servers.
// Dependencies: core, libevent.
#pragma once

#include <loop/http/HttpBuffers.h>
#include <loop/http/OpenRequests.h>
#include <loop/memory/EventDeleter.h>
#include <loop/signals/SignalWatch.h>
#include <loop/timers/Timer.h>
