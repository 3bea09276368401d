#pragma once

#include <string>
#include <string_view>

namespace Greengage {

/// The kind of a line of an INI text.
enum class IniLineKind {
    /// Empty, or a comment that starts with ';' or '#'.
    Blank,
    Header,
    /// A key with its value, the continuation of a value, or a line that is not valid INI.
    Other,
    /// Starts with '[', but is indented, unclosed, empty or followed by other text.
    BadHeader,
};

/// The classification of one line of an INI text.
struct IniLine {
    IniLineKind kind = IniLineKind::Blank;
    /// Whether the line starts with a space or a tab.
    bool indented = false;
    /// For a header, the words between the brackets, separated by single spaces.
    std::string header;
};

/// Classifies one line. The parser and the merge both use it, so that they divide a text into the same sections.
IniLine classifyIniLine(std::string_view text);

/// Returns the text without leading and trailing spaces, tabs, carriage returns and newlines.
std::string_view trimWhitespace(std::string_view text);

} // namespace Greengage
