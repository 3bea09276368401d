#pragma once

namespace Greengage {

/// Names of the methods that daemons call on each other.
struct MethodNames {
    static constexpr const char* exchangeState = "exchangeState";
    static constexpr const char* fetchDocument = "fetchDocument";
};

} // namespace Greengage
