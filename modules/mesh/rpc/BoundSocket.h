#pragma once

#include <loop/memory/EventDeleter.h>

#include <string>

namespace Greengage {

/// A transport on a new non-blocking TCP socket that is bound to a local address, with any port; null if the address
/// cannot be bound.
EventPointer<bufferevent> makeBoundTransport(event_base&, const std::string& sourceAddress);

} // namespace Greengage
