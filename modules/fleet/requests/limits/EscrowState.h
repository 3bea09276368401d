#pragma once

#include <core/time/Deadline.h>
#include <fleet/requests/limits/AllotmentBook.h>
#include <fleet/requests/limits/ExpiredIncarnation.h>
#include <fleet/requests/limits/TeamEscrow.h>

#include <cstdint>
#include <map>

namespace Greengage {

/// What this daemon knows of the allotments of the teams' limits, and the state of its own writes to them.
struct EscrowState {
    /// The newest book that has been read, and its version in the store. Before the first read it counts as absent; if
    /// it exists, the first write, which expects version 0, fails.
    AllotmentBook book;
    std::uint64_t version = 0;
    /// Whether the newest book could be parsed.
    bool readable = true;
    bool writeUnderWay = false;
    /// Whether a write of this daemon may still take effect.
    bool unsettled = false;
    /// Version that the newest write expected.
    std::uint64_t writeExpects = 0;
    /// Whether the write in progress was sent after the allotments had become void.
    bool writeRenews = false;
    /// Maximum of usable units of a team while a write that lowers its allotment is not settled.
    std::map<TeamId, int> ceilings;
    /// Set after a loss of contact during which others may have reclaimed the allotments of this daemon. A successful
    /// write clears it, because that proves that the book read last is current.
    bool isVoid = false;
    /// Until when contact with the store and the peers lasts, as computed in the last tick.
    Instant contactEnd = Instant::max();
    /// Whether any membership list that was read contained this incarnation, and whether the newest one does.
    bool wasMember = false;
    bool isMember = false;
    int failedWrites = 0;
    Deadline nextWriteAt;
    Deadline nextPlanAt;
    /// Until this time the allotments are planned again only if a request waits for units.
    Deadline quietUntil;
    std::map<TeamId, TeamEscrow> teams;
    std::map<IncarnationId, ExpiredIncarnation> expired;
    /// When a daemon that is shutting down stops waiting for its allotments to be handed back.
    Deadline handBackBy = Deadline::never();
};

} // namespace Greengage
