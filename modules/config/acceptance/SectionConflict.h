#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A section that a submission changes and that another operator has changed differently since its base revision.
struct SectionConflict {
    std::string section;
    /// Author of the newest change of the section; empty if the line of changes does not reach back to it.
    std::string changedBy;
    /// Revision that this change made; 0 with an empty author.
    std::uint64_t revision = 0;

    friend bool operator==(const SectionConflict&, const SectionConflict&) = default;
};

} // namespace Greengage
