#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Tell a worker to limit an attempt to a number of processors.
struct ThrottleTask {
    std::uint64_t attempt = 0;
    WorkerId worker;
    double processors = 0;
};

} // namespace Greengage
