#pragma once

#include <string>

namespace Greengage {

/// A piece of a document's text that edits keep together: a section with the comment lines right above it, or comment
/// lines that stand alone between blank lines.
struct TextBlock {
    /// What the block is recognised by in other versions of the text: a section by its header, a comment by its words.
    /// No two blocks of one text have the same key.
    std::string key;
    /// Header of the section; empty for a comment.
    std::string header;
    /// The lines, each ended by a newline, without the blank lines before and after them.
    std::string text;
    int blankLinesBefore = 0;
};

} // namespace Greengage
