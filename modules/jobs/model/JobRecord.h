#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/JobSpec.h>
#include <jobs/model/QueuePolicy.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// An accepted job, as it is stored.
struct JobRecord {
    JobId id;
    QueueId queue;
    /// Empty for a job on a queue that is open to all teams.
    TeamId team;
    /// When a daemon received the submission, by the system clock of that daemon.
    std::int64_t receivedUnixMs = 0;
    JobSpec spec;
    /// The policy of the queue when the job was accepted. Jobs that the release before stored have none.
    std::optional<QueuePolicy> queuePolicy;
};

} // namespace Greengage
