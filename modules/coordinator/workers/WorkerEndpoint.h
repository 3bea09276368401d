#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Where a worker takes orders, and which worker is meant: another one that answers there refuses.
struct WorkerEndpoint {
    WorkerId id;
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
