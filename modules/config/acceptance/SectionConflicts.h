#pragma once

#include <config/acceptance/SectionConflict.h>

#include <vector>

namespace Greengage {

/// The submission conflicts with changes by others, so none of it is applied.
struct SectionConflicts {
    std::vector<SectionConflict> list;
};

} // namespace Greengage
