#pragma once

#include <config/model/Queue.h>
#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/requests/tables/RequestStage.h>

#include <cstdint>
#include <set>
#include <string>

namespace Greengage {

/// One request that this daemon has accepted and not yet answered.
struct RequestRow {
    RequestId id;
    QueueId queue;
    ServiceId service;
    /// Team whose work it is; empty for work of an open queue whose owner is no team.
    TeamId team;
    /// Key under which it was admitted; empty on an open queue.
    KeyId key;
    /// What the key stood for in the document when it was shown.
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
    /// Whether some earlier attempt may have run it.
    bool mayHaveRun = false;
    /// How the newest attempt failed, as the reason to report if there is no other.
    bool lastAttemptRefused = false;
    VmId endpoint;
    /// Endpoints that have failed this request.
    std::set<VmId> tried;
    /// Nobody waits for the answer any more.
    bool callerLeft = false;
};

} // namespace Greengage
