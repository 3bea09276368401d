#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A text that an operator asks to put in force.
struct DocumentSubmission {
    /// Chosen at random, once for each change. Submitting it again, through any daemon, makes the change at most once.
    std::string changeId;
    /// Who submits, as history and conflicts name them.
    std::string author;
    /// Revision that the text was edited from; 0 for a text written from nothing.
    std::uint64_t baseRevision = 0;
    std::string text;
};

} // namespace Greengage
