#pragma once

#include <config/merge/SectionChange.h>

#include <string_view>
#include <vector>

namespace Greengage {

/// Compares two texts of the document by section and key.
class DocumentDiff {
public:
    /// Returns the sections that differ, in the order of `after`. Sections that `after` lacks keep their position
    /// relative to their neighbours in `before`.
    static std::vector<SectionChange> compare(std::string_view before, std::string_view after);
};

} // namespace Greengage
