#pragma once

#include <config/acceptance/SectionConflict.h>

#include <vector>

namespace Greengage {

/// The submission collides with changes by others; nothing of it is put in force.
struct SectionConflicts {
    std::vector<SectionConflict> list;
};

} // namespace Greengage
