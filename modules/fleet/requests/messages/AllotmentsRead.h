#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The value under which the store keeps all daemons' allotments of the teams' limits, as read or as written by us.
struct AllotmentsRead {
    /// 0 if the key does not exist yet.
    std::uint64_t version = 0;
    std::string value;
    /// Whether this answers our own UpdateAllotments with success.
    bool ownWrite = false;
};

} // namespace Greengage
