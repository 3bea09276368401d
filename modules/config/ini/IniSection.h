#pragma once

#include <config/ini/IniEntry.h>

#include <string>
#include <vector>

namespace Greengage {

/// One section of an INI text.
struct IniSection {
    /// The words between the brackets, separated by single spaces.
    std::string header;
    /// Line of the header, counted from 1; 0 for a section that is absent from the text.
    int line = 0;
    std::vector<IniEntry> entries;
};

} // namespace Greengage
