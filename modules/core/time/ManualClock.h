#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// A virtual clock for tests and measurements. Its time changes only through `advance`.
class ManualClock {
public:
    Instant current() const { return this->instant; }

    void advance(Microseconds step) { this->instant += step; }

private:
    Instant instant { Seconds(1) };
};

} // namespace Greengage
