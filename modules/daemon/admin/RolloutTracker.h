#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

class MemberTable;
class PeerTable;

/// Determines which daemons have a revision in force. A revision is in force once every member has reported it as
/// applied, or was last seen so long ago that it must have stopped acting on older revisions.
class RolloutTracker {
public:
    RolloutTracker(const MemberTable&, const PeerTable&, IncarnationId self);

    /// Names of the daemons that may still act on a revision older than `revision`, which was stored at `acceptedAt`.
    std::vector<std::string> daemonsBehind(std::uint64_t revision, Instant acceptedAt, Instant now) const;

    /// The newest revision, at most this daemon's own `appliedRevision`, that every recently seen daemon has applied.
    std::uint64_t inForceRevision(std::uint64_t appliedRevision, Instant now) const;

private:
    const MemberTable& members;
    const PeerTable& peers;
    IncarnationId self;
};

} // namespace Greengage
