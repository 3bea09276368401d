#pragma once

#include <config/merge/SectionChange.h>

#include <string_view>
#include <vector>

namespace Greengage {

/// Compares two texts of the document by section and key.
class DocumentDiff {
public:
    /// The sections that differ, in the order of `after`, with those that it lacks where they stood in `before`.
    static std::vector<SectionChange> compare(std::string_view before, std::string_view after);
};

} // namespace Greengage
