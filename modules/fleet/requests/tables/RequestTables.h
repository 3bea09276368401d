#pragma once

#include <config/keys/KeyVerifier.h>
#include <config/model/Document.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>
#include <fleet/requests/attempts/RetryBudget.h>
#include <fleet/requests/limits/EscrowState.h>
#include <fleet/requests/policy/RequestPolicy.h>
#include <fleet/requests/tables/EndpointRow.h>
#include <fleet/requests/tables/PeerRow.h>
#include <fleet/requests/tables/RequestRow.h>
#include <fleet/requests/tables/RunTimeEstimate.h>
#include <fleet/requests/tables/TeamQueue.h>
#include <fleet/requests/tables/TeamQueueKey.h>
#include <fleet/requests/tables/TeamUsage.h>
#include <fleet/requests/tables/UnknownWork.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// All state of the request plane. The systems read and change it within one tick.
struct RequestTables {
    /// This daemon's identity.
    PeerState self;
    RequestPolicy policy;
    /// The document in use; null until the first one has been applied.
    std::shared_ptr<const Document> document;
    /// Entries of the document in use, by name.
    std::map<QueueId, const Queue*> queues;
    std::map<TeamId, const Team*> teams;
    KeyVerifier keys;
    std::map<RequestId, RequestRow> requests;
    /// Requests by deadline; may contain requests that have ended.
    std::multimap<Instant, RequestId> deadlines;
    std::map<TeamQueueKey, TeamQueue> teamQueues;
    std::map<IncarnationId, PeerRow> peers;
    /// Whether a membership list has been read from the store.
    bool membersKnown = false;
    /// Newest revision of the document that this daemon knows of, applied or not.
    std::uint64_t knownRevision = 0;
    /// When the newest read that the store answered was sent, by this daemon or by a peer.
    Instant confirmedAt = Instant::min();
    /// The same for this daemon's own reads only.
    Instant storeAnsweredAt = Instant::min();
    /// Sums over the team queues of each team.
    std::map<TeamId, TeamUsage> usage;
    std::map<QueueId, RunTimeEstimate> runTimes;
    std::map<VmId, EndpointRow> endpoints;
    /// Whether the platform's list of VMs has been read.
    bool endpointsKnown = false;
    /// Revision of the maintenance ledger that the draining endpoints were taken from.
    std::uint64_t ledgerRevision = 0;
    std::vector<UnknownWork> unknownWork;
    std::map<ServiceId, RetryBudget> retryBudgets;
    /// Claims that this daemon won and did not use, by their key in the store, until they expire.
    std::map<std::string, Deadline> unusedClaims;
    EscrowState escrow;
    bool shuttingDown = false;
    /// Whether a shutdown has no request left to finish and no allotment left to hand back.
    bool idle = false;

    /// Replaces the document in use.
    void apply(std::shared_ptr<const Document>);

    /// Finds an entry of the document in use; null if absent.
    const Queue* findQueue(const QueueId&) const;
    const Team* findTeam(const TeamId&) const;

    TeamUsage usageOf(const TeamId&) const;
    bool hasWaitingRequests() const;
};

} // namespace Greengage
