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

/// This daemon's copy of the ledger, and its own write of it.
class LedgerReplica {
public:
    const MaintenanceLedger& ledger() const { return this->newest; }
    /// The stored value is at least as new as this copy was at this instant.
    Instant confirmedAt() const { return this->confirmed; }

    /// Takes a value unless it is older than the copy. Returns the events of our own write if this shows that it
    /// succeeded. A value that cannot be decoded is left aside and read again later.
    Result<std::vector<WaveEvent>, LedgerError> apply(Instant now, const LedgerRead&);
    /// Our write failed or its answer was lost: the copy must be read again.
    void noteWriteFailed();
    void noteReadFailed(Instant now);

    /// Whether the copy is known and no write is under way.
    bool isReady() const { return this->isKnown && !(this->write && this->write->isUnderWay); }
    /// Whether a read has to be sent now; counts it as sent.
    bool takeReadRequest(Instant now, Instant neededSince);
    /// Whether the stored version is still the one that our last write expected, so that it may yet take effect.
    bool mayLastWriteTakeEffect() const { return this->write && this->write->expectedVersion == this->version; }

    /// Begins a write and returns the version it expects.
    std::uint64_t beginWrite(std::string value, std::vector<WaveEvent>);

private:
    MaintenanceLedger newest;
    std::uint64_t version = 0;
    Instant confirmed = Instant::min();
    bool isKnown = false;
    bool isReadUnderWay = false;
    Instant readAgainAt = Instant::min();
    std::optional<LedgerWrite> write;
};

} // namespace Greengage
