#pragma once

#include <cstdint>

namespace Greengage {

/// The time of day in milliseconds since 1970. It may step and differs between machines, so it is only for due times
/// and for what people read.
std::int64_t unixMilliseconds();

} // namespace Greengage
