#pragma once

#include <loop/memory/EventDeleter.h>

#include <string>

namespace Greengage {

/// Creates a bufferevent on a new non-blocking TCP socket that is bound to a local address and any free port. Returns
/// null if the address cannot be bound.
EventPointer<bufferevent> makeBoundTransport(event_base&, const std::string& sourceAddress);

} // namespace Greengage
