#pragma once

namespace Greengage {

/// Names of the RPC methods that daemons call on each other.
struct MethodNames {
    static constexpr const char* readState = "readState";
    static constexpr const char* fetchDocument = "fetchDocument";
};

} // namespace Greengage
