#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/messages/JobOutcome.h>
#include <fleet/placement/model/Job.h>

#include <optional>

namespace Greengage {

/// A job as it really is, with what has become of it.
struct FakeJob {
    Job job;
    Resources actual;
    Microseconds remaining {};
    Instant submittedAt;
    std::optional<Instant> startedAt;
    bool neverStarts = false;
    /// Whether a part of it has run that no checkpoint holds.
    bool hasUnsavedWork = false;
    std::optional<JobOutcome> outcome;
};

} // namespace Greengage
