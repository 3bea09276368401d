#pragma once

#include <core/time/Instant.h>

#include <functional>

struct event_base;

namespace Greengage {

/// Calls back once from the loop, after the delay, as the answer to a call would. Programs that run in virtual time
/// link a definition of their own.
void after(event_base& base, Milliseconds delay, std::function<void()> action);

} // namespace Greengage
