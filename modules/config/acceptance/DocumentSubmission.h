#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A new text of the document that an operator submits.
struct DocumentSubmission {
    /// Random id of the change. Submissions with the same id, through any daemon, apply the change at most once.
    std::string changeId;
    /// Name of the submitter, as the history and conflict reports show it.
    std::string author;
    /// Revision on which the text is based; 0 if it is not based on an earlier text.
    std::uint64_t baseRevision = 0;
    std::string text;
};

} // namespace Greengage
