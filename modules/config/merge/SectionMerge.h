#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// The result of a three-way merge of two edits of a text. A section or comment that only one of them changed is taken
/// from that one; a section that both changed differently is a conflict. Comments never conflict: both versions are
/// kept.
struct SectionMerge {
    /// The merged text; meaningful only if there are no conflicts.
    std::string text;
    /// Headers of the sections that both edits changed differently, in the order of the merged text.
    std::vector<std::string> conflicts;

    /// Merges `mine`, which was edited from `base`, with `current`, the version that others have made of `base`
    /// meanwhile. Sections are in the order of `current`, or in the order of `mine` if only `mine` reordered them; a
    /// new section follows the section that it followed in its own text.
    static SectionMerge merge(std::string_view base, std::string_view mine, std::string_view current);
};

/// Returns the headers of the sections that were added, removed or altered between two texts. The comments directly
/// above a section are part of it.
std::vector<std::string> changedSections(std::string_view before, std::string_view after);

} // namespace Greengage
