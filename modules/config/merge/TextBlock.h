#pragma once

#include <string>

namespace Greengage {

/// A part of a document's text that is merged as a unit: a section with the comment lines directly above it, or a group
/// of comment lines between blank lines that belongs to no section.
struct TextBlock {
    /// Identifies the block in other versions of the text: a section by its header, a comment by its text. It is unique
    /// within a text.
    std::string key;
    /// Header of the section; empty for a comment.
    std::string header;
    /// The lines, each ending with a newline, without the blank lines before and after them.
    std::string text;
    int blankLinesBefore = 0;
};

} // namespace Greengage
