// Purpose: RAII wrappers for libevent: ownership of its objects, timers, signal handlers, helpers for HTTP
// servers, and the guard that keeps the connections of listeners within limits.
// Dependencies: core, libevent.
#pragma once

#include <loop/guard/HttpConnectionGuard.h>
#include <loop/http/HttpBuffers.h>
#include <loop/http/OpenRequests.h>
#include <loop/memory/EventDeleter.h>
#include <loop/signals/SignalWatch.h>
#include <loop/timers/Timer.h>
