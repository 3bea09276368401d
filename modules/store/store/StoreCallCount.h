#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The number of calls of one kind, such as "write" or "lease/renew", that a client has made.
struct StoreCallCount {
    std::string kind;
    std::uint64_t count = 0;
};

} // namespace Greengage
