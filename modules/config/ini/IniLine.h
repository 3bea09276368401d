#pragma once

#include <string>
#include <string_view>

namespace Greengage {

/// What kind of line stands in an INI text.
enum class IniLineKind {
    /// Empty, or a comment that starts with ';' or '#'.
    Blank,
    Header,
    /// A key with its value, the continuation of a value, or a line that is not INI.
    Other,
    /// Starts with a bracket, but is indented, unclosed, empty, or has text behind it.
    BadHeader,
};

/// One line of an INI text, told apart by its first characters.
struct IniLine {
    IniLineKind kind = IniLineKind::Blank;
    /// Whether the line starts with a space or a tab.
    bool indented = false;
    /// For a header, the words between its brackets, separated by single spaces.
    std::string header;
};

/// Tells what kind of line `text` is. Both the parser and the merge divide a text into sections by this.
IniLine classifyIniLine(std::string_view text);

/// The text without the spaces, tabs and carriage returns at its ends.
std::string_view trimWhitespace(std::string_view text);

} // namespace Greengage
