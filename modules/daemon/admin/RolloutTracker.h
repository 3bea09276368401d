#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

class MemberTable;
class PeerTable;

/// Tells on which daemons a revision is in force: it is once each member has reported it as applied, or has not been
/// heard for so long that it may not act on older knowledge any more.
class RolloutJudge {
public:
    RolloutJudge(const MemberTable&, const PeerTable&, IncarnationId self);

    /// Names of the daemons that may still act on a revision older than `revision`, which was stored at `acceptedAt`.
    std::vector<std::string> behind(std::uint64_t revision, Instant acceptedAt, Instant now) const;

    /// The newest revision, up to our own `appliedRevision`, that every daemon heard of late has applied.
    std::uint64_t inForceRevision(std::uint64_t appliedRevision, Instant now) const;

private:
    const MemberTable& members;
    const PeerTable& peers;
    IncarnationId self;
};

} // namespace Greengage
