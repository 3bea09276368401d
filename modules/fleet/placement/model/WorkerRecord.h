#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// One entry of the list of workers.
struct WorkerRecord {
    WorkerId id;
    RackId rack;
    ZoneId zone;
    Resources capacity;
    /// Increases with each boot. Attempts of an earlier boot have ended.
    std::uint64_t boot = 0;
    /// Whether maintenance is draining it: it receives no new work and its tasks are checkpointed.
    bool isDraining = false;
};

} // namespace Greengage
