#pragma once

#include <cstdint>

namespace Greengage {

/// Returns the wall-clock time in milliseconds since 1970-01-01 UTC. It may jump and differs between machines, so use
/// it only for times at which work is due and for times shown to people.
std::int64_t unixMilliseconds();

} // namespace Greengage
