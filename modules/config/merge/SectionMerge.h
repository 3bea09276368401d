#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Combines two edits of one text. Sections and comments that only one of the edits touched are taken from it; a
/// section that both changed differently is a conflict. Comments never conflict: both versions stay.
struct SectionMerge {
    /// The combined text; of use only if there are no conflicts.
    std::string text;
    /// Headers of the sections that both edits changed, in the order of the current text.
    std::vector<std::string> conflicts;

    /// `base` is the text that `mine` was edited from, and `current` what others have made of it meanwhile. Sections
    /// stay in the order of `current`, or in that of `mine` if only it reordered them; a new section follows the one
    /// that it followed in its own text.
    static SectionMerge merge(std::string_view base, std::string_view mine, std::string_view current);
};

/// Headers of the sections that differ between two texts: added, altered (comments right above included) or removed.
std::vector<std::string> changedSections(std::string_view before, std::string_view after);

} // namespace Greengage
