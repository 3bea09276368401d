#pragma once

#include <config/model/Queue.h>
#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/placement/model/Resources.h>

#include <string>

namespace Greengage {

/// A unit of work for one worker, with the size and time that its team declares. Declared values may be far from the
/// actual ones.
struct Job {
    JobId id;
    TeamId team;
    /// Jobs of one team and kind are assumed to have similar ratios of actual to declared values.
    std::string kind;
    Priority priority = Priority::Normal;
    Resources declared;
    Seconds declaredRunTime { 60 };
    /// Whether it may be started again while an earlier attempt may still be running.
    bool idempotent = false;
    /// Whether it can be stopped and resumed later without losing its work.
    bool canCheckpoint = true;
};

} // namespace Greengage
