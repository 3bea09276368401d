#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A section that a submission changes and that another change has altered differently since the base revision.
struct SectionConflict {
    std::string section;
    /// Author of the newest change to the section; empty if the record no longer lists that change.
    std::string changedBy;
    /// Revision created by that change; 0 if the author is empty.
    std::uint64_t revision = 0;

    friend bool operator==(const SectionConflict&, const SectionConflict&) = default;
};

} // namespace Greengage
