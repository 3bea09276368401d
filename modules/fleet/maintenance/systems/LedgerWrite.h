#pragma once

#include <fleet/maintenance/messages/WaveEvent.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// A write of the ledger that has been sent.
struct LedgerWrite {
    std::uint64_t expectedVersion = 0;
    std::string value;
    std::vector<WaveEvent> events;
    /// Whether its answer is still pending.
    bool isInFlight = true;
};

} // namespace Greengage
