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

/// All that the request plane knows. The systems read and change it within one tick.
struct RequestTables {
    /// This daemon's identity.
    PeerState self;
    RequestPolicy policy;
    /// The document in use; null until the first one has been applied.
    std::shared_ptr<const Document> document;
    /// Parts of the document in use, by name.
    std::map<QueueId, const Queue*> queues;
    std::map<TeamId, const Team*> teams;
    KeyVerifier keys;
    std::map<RequestId, RequestRow> requests;
    /// Requests by the instant at which their deadline passes; may name requests that have ended.
    std::multimap<Instant, RequestId> deadlines;
    std::map<TeamQueueKey, TeamQueue> teamQueues;
    std::map<IncarnationId, PeerRow> peers;
    /// Whether the membership has ever been read from the store.
    bool membersKnown = false;
    /// Newest revision of the document that has been heard of.
    std::uint64_t knownRevision = 0;
    /// When the question was sent whose answer from the store, ours or a peer's, is the newest.
    Instant confirmedAt = Instant::min();
    /// The same for this daemon's own questions.
    Instant storeAnsweredAt = Instant::min();
    /// The sums of the lines of each team.
    std::map<TeamId, TeamUsage> usage;
    std::map<QueueId, RunTimeEstimate> runTimes;
    std::map<VmId, EndpointRow> endpoints;
    /// Whether the platform's list has ever been read.
    bool endpointsKnown = false;
    /// Revision of the maintenance ledger that the draining endpoints were taken from.
    std::uint64_t ledgerRevision = 0;
    std::vector<UnknownWork> unknownWork;
    std::map<ServiceId, RetryBudget> retryBudgets;
    /// Claims that this daemon has won and not used, by their key in the store, until they are forgotten.
    std::map<std::string, Deadline> unusedClaims;
    EscrowState escrow;
    bool shuttingDown = false;
    /// Whether a shutdown has nothing left to finish or hand back.
    bool idle = false;

    /// Puts a document in use.
    void apply(std::shared_ptr<const Document>);

    /// Looks up parts of the document in use; null if absent.
    const Queue* findQueue(const QueueId&) const;
    const Team* findTeam(const TeamId&) const;

    TeamUsage usageOf(const TeamId&) const;
    bool hasWaitingRequests() const;
};

} // namespace Greengage
