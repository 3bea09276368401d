#pragma once

#include <config/model/Queue.h>
#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/requests/tables/RequestStage.h>

#include <cstdint>
#include <set>
#include <string>

namespace Greengage {

/// A request that this daemon has accepted and not yet answered.
struct RequestRow {
    RequestId id;
    QueueId queue;
    ServiceId service;
    /// Team of the request; empty on an open queue whose owner is not a team.
    TeamId team;
    /// Key with which it was admitted; empty on an open queue.
    KeyId key;
    /// Team, salt and digest of the key in the document at admission.
    std::string keyDigest;
    Priority priority = Priority::Normal;
    bool idempotent = false;
    std::string idempotencyKey;
    Instant arrivedAt {};
    Deadline deadline;
    /// When the newest attempt was sent.
    Instant sentAt {};
    RequestStage stage = RequestStage::Waiting;
    /// Whether the claim of a non-idempotent request has been won.
    bool claimed = false;
    /// Number of attempts so far; the newest attempt has this number.
    int attempts = 0;
    /// Whether an earlier attempt may have run the request.
    bool mayHaveRun = false;
    /// Whether the newest attempt was refused; the reason to report if there is no other.
    bool lastAttemptRefused = false;
    VmId endpoint;
    /// Endpoints at which this request has failed.
    std::set<VmId> tried;
    /// Whether the caller has left, so that no answer is needed.
    bool callerLeft = false;
};

} // namespace Greengage
