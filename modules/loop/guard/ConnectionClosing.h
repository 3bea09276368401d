#pragma once

#include <loop/guard/CloseReason.h>
#include <loop/guard/ConnectionPhase.h>

#include <cstddef>

namespace Greengage {

/// The guard's decision to close a connection, and the state that the connection was in.
template <typename Key> struct ConnectionClosing {
    Key connection;
    CloseReason reason;
    ConnectionPhase phase;
    std::size_t heldBytes;
};

} // namespace Greengage
