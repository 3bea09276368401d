#pragma once

#include <config/model/Queue.h>
#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/placement/model/Resources.h>

#include <string>

namespace Greengage {

/// A piece of work for one worker, with what its team declares of it. Declared sizes and times may be far off.
struct Job {
    JobId id;
    TeamId team;
    /// Jobs of one team and kind are taken to be alike in how far their declarations are off.
    std::string kind;
    Priority priority = Priority::Normal;
    Resources declared;
    Seconds declaredRunTime { 60 };
    /// Whether it may be started a second time while the first may still be running.
    bool idempotent = false;
    /// Whether it can be stopped and go on later without losing its work.
    bool canCheckpoint = true;
};

} // namespace Greengage
