#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/messages/JobOutcome.h>
#include <fleet/placement/model/Job.h>

#include <optional>

namespace Greengage {

/// A job's actual behaviour and its outcome.
struct FakeJob {
    Job job;
    Resources actual;
    Microseconds remaining {};
    Instant submittedAt;
    std::optional<Instant> startedAt;
    bool neverStarts = false;
    /// Whether part of it has run since its last checkpoint.
    bool hasUnsavedWork = false;
    std::optional<JobOutcome> outcome;
};

} // namespace Greengage
