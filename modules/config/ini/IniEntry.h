#pragma once

#include <config/ini/Located.h>

#include <string>
#include <vector>

namespace Greengage {

/// One "key = value" entry of an INI section. Indented lines after it continue the value.
struct IniEntry {
    std::string key;
    /// Line of the key, counted from 1.
    int line = 0;
    /// The value: the rest of the key's line, followed by its continuation lines.
    std::vector<Located<std::string>> lines;
};

} // namespace Greengage
