#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Ask an endpoint what it is running; answered with RunningReported, or not at all.
struct AskRunning {
    VmId endpoint;
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
