#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/LedgerWrite.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

struct LedgerRead;

/// This daemon's copy of the ledger, and the state of its own last write.
class LedgerReplica {
public:
    const MaintenanceLedger& ledger() const { return this->newest; }
    /// The copy is at least as new as the stored value was at this instant.
    Instant confirmedAt() const { return this->confirmed; }

    /// Applies a value unless it is older than the copy. Returns the events of this daemon's own write if the value
    /// shows that the write succeeded. A value that cannot be decoded is ignored and read again later.
    Result<std::vector<WaveEvent>, LedgerError> apply(Instant now, const LedgerRead&);
    /// Records that this daemon's write failed or its answer was lost: the copy must be read again.
    void recordWriteFailure();
    void recordReadFailure(Instant now);

    /// Whether the copy is known and no write is in flight.
    bool isReady() const { return this->isKnown && !(this->write && this->write->isInFlight); }
    /// Returns whether a read must be sent now and, if so, records it as sent.
    bool beginReadIfNeeded(Instant now, Instant neededSince);
    /// Whether the stored version is still the one that the last write expected, so that the write may yet take effect.
    bool mayLastWriteTakeEffect() const { return this->write && this->write->expectedVersion == this->version; }

    /// Starts a write and returns the version it expects.
    std::uint64_t beginWrite(std::string value, std::vector<WaveEvent>);

private:
    MaintenanceLedger newest;
    std::uint64_t version = 0;
    Instant confirmed = Instant::min();
    bool isKnown = false;
    bool isReadInFlight = false;
    Instant nextReadAt = Instant::min();
    std::optional<LedgerWrite> write;
};

} // namespace Greengage
