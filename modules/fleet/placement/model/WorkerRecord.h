#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// One worker as listed.
struct WorkerRecord {
    WorkerId id;
    RackId rack;
    ZoneId zone;
    Resources capacity;
    /// Grows with each boot. Work of an earlier boot has ended.
    std::uint64_t boot = 0;
    /// Whether maintenance is taking it out of service: it gets nothing new and its tasks are checkpointed.
    bool isDraining = false;
};

} // namespace Greengage
