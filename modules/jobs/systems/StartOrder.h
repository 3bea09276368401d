#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/TaskName.h>

#include <cstdint>

namespace Greengage {

/// A decision to start a task on a worker. The attempt is already in the job tables.
struct StartOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
};

} // namespace Greengage
