#pragma once

#include <core/time/Deadline.h>
#include <fleet/requests/limits/AllotmentBook.h>
#include <fleet/requests/limits/ExpiredIncarnation.h>
#include <fleet/requests/limits/TeamEscrow.h>

#include <cstdint>
#include <map>

namespace Greengage {

/// What this daemon knows of the allotments of the teams' limits, and what it is doing to its own.
struct EscrowState {
    /// The newest book that has been read, and its version in the store. Until one has been read it counts as absent,
    /// which a write that expects version 0 finds out.
    AllotmentBook book;
    std::uint64_t version = 0;
    /// Whether the newest book could be understood.
    bool readable = true;
    bool writeUnderWay = false;
    /// Whether some write of ours may still take effect.
    bool unsettled = false;
    /// Version that the newest write expects.
    std::uint64_t writeExpects = 0;
    /// Whether the write under way was made after the allotments had become void.
    bool writeRenews = false;
    /// Most units of a team that may be used while a write that lowers them is not settled.
    std::map<TeamId, int> ceilings;
    /// Set after a loss of contact during which others may have reclaimed our allotments; cleared by a write that
    /// succeeds, which proves that what we have read is current.
    bool isVoid = false;
    /// End of the contact with the store and the peers, as of the last tick.
    Instant contactEnd = Instant::max();
    /// Whether a membership that was read has named this incarnation, and whether the newest one does.
    bool wasMember = false;
    bool isMember = false;
    int failedWrites = 0;
    Deadline nextWriteAt;
    Deadline nextPlanAt;
    /// Until then the allotments are planned anew only if somebody waits for units.
    Deadline quietUntil;
    std::map<TeamId, TeamEscrow> teams;
    std::map<IncarnationId, ExpiredIncarnation> expired;
    /// When a daemon that shuts down stops waiting for its allotments to be handed back.
    Deadline handBackBy = Deadline::never();
};

} // namespace Greengage
