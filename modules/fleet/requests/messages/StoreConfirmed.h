#pragma once

#include <core/time/Instant.h>

#include <cstdint>

namespace Greengage {

/// The store answered a read of the document's revision.
struct StoreConfirmed {
    /// When the read was sent: the answer is at least as new as this.
    Instant askedAt;
    std::uint64_t documentRevision = 0;
};

} // namespace Greengage
