#pragma once

#include <config/model/Document.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>
#include <fleet/requests/tables/EndpointRow.h>
#include <fleet/requests/tables/PeerRow.h>
#include <fleet/requests/tables/RequestRow.h>
#include <fleet/requests/tables/UnknownWork.h>
#include <fleet/requests/tables/WorkLine.h>
#include <fleet/requests/tables/WorkLineKey.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Greengage {

/// All that the request plane knows. The systems read and change it within one tick.
struct RequestTables {
    /// This daemon's identity.
    PeerState self;
    /// The document in use; null until the first one has been applied.
    std::shared_ptr<const Document> document;
    std::map<RequestId, RequestRow> requests;
    /// Requests by the instant at which their deadline passes; may name requests that have ended.
    std::multimap<Instant, RequestId> deadlines;
    std::map<WorkLineKey, WorkLine> lines;
    std::map<IncarnationId, PeerRow> peers;
    /// Whether the membership has ever been read from the store.
    bool membersKnown = false;
    /// Newest revision of the document that has been heard of.
    std::uint64_t knownRevision = 0;
    /// When the question was sent whose answer from the store, ours or a peer's, is the newest.
    Instant confirmedAt = Instant::min();
    /// The same for this daemon's own questions.
    Instant storeAnsweredAt = Instant::min();
    std::map<VmId, EndpointRow> endpoints;
    std::vector<UnknownWork> unknownWork;
    bool shuttingDown = false;

    /// Looks up parts of the document in use; null if absent.
    const Queue* findQueue(const QueueId&) const;
    const Team* findTeam(const TeamId&) const;

    /// Units of a team's limit that this daemon uses now.
    int runningOf(const TeamId&) const;
};

} // namespace Greengage
