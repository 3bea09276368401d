#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// The address at which a worker accepts orders, and the id of the worker that is meant: any other worker that listens
/// there refuses them.
struct WorkerEndpoint {
    WorkerId id;
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
