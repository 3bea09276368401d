#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The stored allotments of all daemons, as read from the store or as written by this daemon.
struct AllotmentsRead {
    /// 0 if the key does not exist yet.
    std::uint64_t version = 0;
    std::string value;
    /// Whether this is the successful result of this daemon's UpdateAllotments.
    bool ownWrite = false;
};

} // namespace Greengage
